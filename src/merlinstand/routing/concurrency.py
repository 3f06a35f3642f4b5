"""How many requests one daemon may have in flight at one replica.

Begins at the pool's `maximum_concurrency`; a refusal lowers it to a share of what was in flight,
each success raises it by one request a limit's worth of successes (additive increase,
multiplicative decrease). Owns the limit; the owner counts what is in flight.
"""

DECREASE_FACTOR = 0.7
"""What is left of the requests in flight as limit after a refusal."""


class ConcurrencyLimit:
    """Additive increase on success, multiplicative decrease on refusal."""

    __slots__ = ("_maximum", "_value")

    def __init__(self, maximum: int) -> None:
        """Start at the maximum."""
        self._maximum = max(1, maximum)
        self._value = float(self._maximum)

    @property
    def value(self) -> int:
        """The limit in force, at least 1."""
        return int(self._value)

    def set_maximum(self, maximum: int) -> None:
        """Follow a changed configuration."""
        was_at_maximum = self._value >= self._maximum
        self._maximum = max(1, maximum)
        if was_at_maximum:
            self._value = float(self._maximum)
        self._value = min(self._value, float(self._maximum))

    def record_success(self) -> None:
        """A request came to a good end."""
        if self._value < self._maximum:
            self._value = min(self._value + 1.0 / self._value, float(self._maximum))

    def record_refusal(self, in_flight: int) -> None:
        """The replica refused a request while so many were in flight there."""
        self._value = max(1.0, min(self._value, in_flight * DECREASE_FACTOR))
