"""Tells whether a daemon that sends requests may have died recently.

The requests that such a daemon had at a crashed backend may be known to no other process. Soft
state of the control leader: a new leader can't tell who died before its term, so it assumes that a
daemon did.
"""

from collections.abc import Callable, Iterable

from merlinstand.quarantine.rules import LOST_SENDER_SECONDS, SENDER_SILENCE_SECONDS


class LostSenders:
    """The last time at which the control leader lost a daemon."""

    def __init__(self, silences: Callable[[float], Iterable[float]]) -> None:
        """Create without any known loss.

        Args:
            silences: Returns, at a local time, the seconds since each daemon was last heard.
        """
        self._silences = silences
        self._lost_at = float("-inf")

    def begin(self, now: float) -> None:
        """Start a leadership."""
        self._lost_at = now

    def record_restart(self, now: float) -> None:
        """Record a daemon that holds nothing of the directory: its previous run has ended."""
        self._lost_at = now

    def may_have_died(self, now: float) -> bool:
        """Whether a daemon may have died in the last `LOST_SENDER_SECONDS`."""
        if now - self._lost_at <= LOST_SENDER_SECONDS:
            return True
        return any(
            SENDER_SILENCE_SECONDS < silence <= LOST_SENDER_SECONDS + SENDER_SILENCE_SECONDS
            for silence in self._silences(now)
        )
