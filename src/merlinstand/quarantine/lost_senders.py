"""Tells whether a daemon that sends requests may have died recently.

If a daemon died, no other process may know which requests it had in flight at a crashed backend.
Soft state of the control leader: a new leader can't tell which daemons died before its term, so it
assumes that one did.
"""

from collections.abc import Callable, Iterable

from merlinstand.quarantine.rules import LOST_SENDER_SECONDS, SENDER_SILENCE_SECONDS


class LostSenders:
    """The last time at which the control leader lost a daemon."""

    def __init__(self, silences: Callable[[float], Iterable[float]]) -> None:
        """Start without any known loss.

        Args:
            silences: Returns, at a local time, the seconds since the last message of each daemon.
        """
        self._silences = silences
        self._lost_at = float("-inf")

    def begin(self, now: float) -> None:
        """Start a leadership, assuming that a daemon has just died."""
        self._lost_at = now

    def record_restart(self, now: float) -> None:
        """Record that a daemon restarted, as shown by its empty copy of the directory."""
        self._lost_at = now

    def may_have_died(self, now: float) -> bool:
        """Whether a daemon may have died in the last `LOST_SENDER_SECONDS`."""
        if now - self._lost_at <= LOST_SENDER_SECONDS:
            return True
        return any(
            SENDER_SILENCE_SECONDS < silence <= LOST_SENDER_SECONDS + SENDER_SILENCE_SECONDS
            for silence in self._silences(now)
        )
