"""Adaptive limit on the requests that one daemon has in flight at one replica (AIMD).

The limit starts at the pool's `maximum_concurrency`. A refusal lowers the limit to a fraction of
the requests in flight; as many successes as the limit raise it by 1. The owner counts the requests
in flight.
"""

DECREASE_FACTOR = 0.7
"""Limit after a refusal, as a fraction of the requests in flight."""


class ConcurrencyLimit:
    """Concurrency limit with additive increase and multiplicative decrease (AIMD)."""

    __slots__ = ("_maximum", "_value")

    def __init__(self, maximum: int) -> None:
        """Create a limit that starts at `maximum`; a maximum below 1 counts as 1."""
        self._maximum = max(1, maximum)
        self._value = float(self._maximum)

    @property
    def value(self) -> int:
        """Current limit in requests, at least 1."""
        return int(self._value)

    def set_maximum(self, maximum: int) -> None:
        """Change the maximum; a limit that was at the old maximum moves to the new one."""
        was_at_maximum = self._value >= self._maximum
        self._maximum = max(1, maximum)
        if was_at_maximum:
            self._value = float(self._maximum)
        self._value = min(self._value, float(self._maximum))

    def record_success(self) -> None:
        """Record a successful request: raises the limit by 1 divided by the limit."""
        if self._value < self._maximum:
            self._value = min(self._value + 1.0 / self._value, float(self._maximum))

    def record_refusal(self, in_flight: int) -> None:
        """Record a refusal while `in_flight` requests of this daemon were at the replica."""
        self._value = max(1.0, min(self._value, in_flight * DECREASE_FACTOR))
