"""Whether a daemon that sends requests may have died lately: asked when a server has crashed.

What such a daemon had at the server may be known to nobody. Owned by the control leader and soft: a
new leadership can't tell who died before it, and takes it that somebody did.
"""

from collections.abc import Callable, Iterable

from merlinstand.quarantine.rules import LOST_SENDER_SECONDS, SENDER_SILENCE_SECONDS


class LostSenders:
    """When the control leader last saw a daemon go."""

    def __init__(self, silences: Callable[[float], Iterable[float]]) -> None:
        """Begin with none known.

        Args:
            silences: Gives, at a local time, how many seconds ago each daemon was heard.
        """
        self._silences = silences
        self._lost_at = float("-inf")

    def begin(self, now: float) -> None:
        """A leadership begins."""
        self._lost_at = now

    def record_restart(self, now: float) -> None:
        """A daemon reports that holds nothing of the directory: its last run has ended."""
        self._lost_at = now

    def may_have_died(self, now: float) -> bool:
        """Whether a daemon may have died in the last `LOST_SENDER_SECONDS`."""
        if now - self._lost_at <= LOST_SENDER_SECONDS:
            return True
        return any(
            SENDER_SILENCE_SECONDS < silence <= LOST_SENDER_SECONDS + SENDER_SILENCE_SECONDS
            for silence in self._silences(now)
        )
