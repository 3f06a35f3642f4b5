"""The lowest of the values seen lately, in constant space.

For measures that disturbances only raise: what was lowest within some seconds shows what holds
beneath them. Owned by whoever notes the values; time is handed in.
"""

import msgspec


class RecentMinimum(msgspec.Struct):
    """The lowest value of the present stretch of time and of the one before it."""

    window_seconds: float
    """A value counts for one to two of these stretches."""
    current: float = 0.0
    """Lowest in the present stretch; 0 if none was noted."""
    previous: float = 0.0
    """The same of the stretch before."""
    window_end: float = float("-inf")
    """End of the present stretch."""

    def record(self, value: float, now: float) -> None:
        """Take a value in.

        Args:
            value: Above 0.
            now: Local time.
        """
        if now >= self.window_end:
            is_next = now < self.window_end + self.window_seconds
            self.previous = self.current if is_next else 0.0
            self.current = value
            self.window_end = now + self.window_seconds
        self.current = min(self.current, value)

    @property
    def value(self) -> float:
        """The lowest value lately; 0 if none was noted."""
        return min(self.current, self.previous) if self.previous else self.current
