"""Sums that forget: what was added counts less the longer ago it was."""

import math

WINDOW_SECONDS = 0.5
"""Time in which a sum fades to 1/e. A shorter one holds too few answers of a server to tell its
speed; a longer one follows a crowd too late."""


def decay_factor(elapsed_seconds: float, window_seconds: float = WINDOW_SECONDS) -> float:
    """How much of a sum is left after a time."""
    return math.exp(-max(0.0, elapsed_seconds) / window_seconds)


class DecayingSum:
    """One sum."""

    __slots__ = ("_updated_at", "_value", "_window_seconds")

    def __init__(self, now: float, window_seconds: float = WINDOW_SECONDS) -> None:
        """Begin with nothing.

        Args:
            now: Local time.
            window_seconds: Time in which the sum fades to 1/e.
        """
        self._value = 0.0
        self._updated_at = now
        self._window_seconds = window_seconds

    def add(self, amount: float, now: float) -> None:
        """Add what came at a local time."""
        self._decay(now)
        self._value += amount

    def value(self, now: float) -> float:
        """What is left of it."""
        self._decay(now)
        return self._value

    def per_second(self, now: float) -> float:
        """The rate at which it is added to."""
        return self.value(now) / self._window_seconds

    def _decay(self, now: float) -> None:
        self._value *= decay_factor(now - self._updated_at, self._window_seconds)
        self._updated_at = max(self._updated_at, now)
