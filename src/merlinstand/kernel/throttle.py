"""Limits how often an operation runs, to batch many small changes.

After an idle interval the operation runs at once; otherwise it runs once per interval for all
changes in it. This module only decides when: the owner stores the pending changes.
"""

from collections.abc import Callable

from merlinstand.kernel.effects import Effect, SetTimer


class Throttle:
    """The time of an operation's last run, and the timer that delays the next one."""

    def __init__(self, timer_name: str, interval_seconds: float) -> None:
        """Create a throttle whose first run is not delayed.

        Args:
            timer_name: Timer at which the owner must run the operation.
            interval_seconds: Minimum time between two runs.
        """
        self._timer_name = timer_name
        self._interval_seconds = interval_seconds
        self._last_run_at = float("-inf")

    def reset(self) -> None:
        """Do not delay the next run."""
        self._last_run_at = float("-inf")

    def record_run(self, now: float) -> None:
        """Record that the operation runs now; must be called at every run, whatever caused it."""
        self._last_run_at = now

    def run_or_schedule(self, run: Callable[[float], list[Effect]], now: float) -> list[Effect]:
        """Run the operation now, or set the timer for the end of the interval.

        The owner calls this only for the first pending change: changes that arrive while the timer
        is set are handled in the same run.

        Args:
            run: The operation, called with the local time; it must call `record_run`.
            now: Local time in seconds.
        """
        wait_seconds = self._last_run_at + self._interval_seconds - now
        if wait_seconds <= 0.0:
            return run(now)
        return [SetTimer(self._timer_name, wait_seconds)]
