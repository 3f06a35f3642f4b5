"""Sums with exponential decay: older amounts count less."""

import math

WINDOW_SECONDS = 0.5
"""Time in which a sum decays to 1/e. A shorter window contains too few responses of a backend to
estimate the backend's speed; a longer window follows a surge too late."""


def decay_factor(elapsed_seconds: float, window_seconds: float = WINDOW_SECONDS) -> float:
    """Return the factor, 0 to 1, by which a sum decays within the elapsed time."""
    return math.exp(-max(0.0, elapsed_seconds) / window_seconds)


class DecayingSum:
    """A sum whose amounts decay exponentially with time."""

    __slots__ = ("_updated_at", "_value", "_window_seconds")

    def __init__(self, now: float, window_seconds: float = WINDOW_SECONDS) -> None:
        """Start with a sum of 0.

        Args:
            now: Local time.
            window_seconds: Time in which the sum decays to 1/e.
        """
        self._value = 0.0
        self._updated_at = now
        self._window_seconds = window_seconds

    def add(self, amount: float, now: float) -> None:
        """Add an amount at a local time."""
        self._decay(now)
        self._value += amount

    def value(self, now: float) -> float:
        """Return the decayed sum."""
        self._decay(now)
        return self._value

    def per_second(self, now: float) -> float:
        """Return the rate at which amounts are added, per second."""
        return self.value(now) / self._window_seconds

    def _decay(self, now: float) -> None:
        self._value *= decay_factor(now - self._updated_at, self._window_seconds)
        self._updated_at = max(self._updated_at, now)
