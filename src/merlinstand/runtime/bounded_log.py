"""Bounds the log lines of events that may occur thousands of times a second."""

from collections.abc import Callable, Hashable

from merlinstand.common.boot_clock import boot_seconds

LINES_PER_SECOND = 5
"""Maximum log lines a second of each kind."""


class LineLimit:
    """Decides which events are logged, and counts the others."""

    def __init__(self, clock: Callable[[], float] = boot_seconds) -> None:
        """Start without events.

        Args:
            clock: Returns local time in seconds.
        """
        self._clock = clock
        self._second = 0
        self._written: dict[Hashable, int] = {}
        """Lines of the current second."""
        self._omitted: dict[Hashable, int] = {}
        """Events that were not logged since the last line."""

    def take(self, kind: Hashable) -> int | None:
        """Return how many events of a kind were omitted since its last line; None to omit this one.

        Args:
            kind: One of a small fixed set.
        """
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._written.clear()
        if self._written.get(kind, 0) >= LINES_PER_SECOND:
            self._omitted[kind] = self._omitted.get(kind, 0) + 1
            return None
        self._written[kind] = self._written.get(kind, 0) + 1
        return self._omitted.pop(kind, 0)
