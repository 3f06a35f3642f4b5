"""Limits how often something happens: at once after a quiet time, else once a pause for all of it.

What comes alone is not delayed; what comes in bursts is done once for the whole burst. Used by
whoever batches many small changes, on the leader and on other replicas. The owner decides whether
there is anything to do, and keeps it until then; here stands only when.
"""

from collections.abc import Callable

from merlinstand.kernel.effects import Effect, SetTimer


class Throttle:
    """When an act was last done, and the timer that puts the next one off."""

    def __init__(self, timer_name: str, interval_seconds: float) -> None:
        """Begin after a quiet time.

        Args:
            timer: Name of the timer at which the owner acts.
            pause_seconds: Shortest time between two acts.
        """
        self._timer = timer_name
        self._pause_seconds = interval_seconds
        self._acted_at = float("-inf")

    def reset(self) -> None:
        """Act at once the next time."""
        self._acted_at = float("-inf")

    def record_run(self, now: float) -> None:
        """The act is done at this local time; the owner calls it at each act, however begun."""
        self._acted_at = now

    def run_or_schedule(self, run: Callable[[float], list[Effect]], now: float) -> list[Effect]:
        """Act now, or set the timer for the end of the pause.

        The owner calls this for the first thing to do alone: while it waits for the timer, more
        things to do only join the first.

        Args:
            act: What is done, given the local time; it calls `note_act`.
            now: Local time in seconds.
        """
        wait_seconds = self._acted_at + self._pause_seconds - now
        if wait_seconds <= 0.0:
            return run(now)
        return [SetTimer(self._timer, wait_seconds)]
