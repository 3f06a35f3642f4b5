"""The minimum of recent values, in constant space.

For measurements that disturbances can only increase, such as latencies: the minimum over some
seconds estimates the undisturbed value.
"""

import msgspec


class RecentMinimum(msgspec.Struct):
    """The minimum value of the current time window and of the previous one."""

    window_seconds: float
    """Length of a window, in seconds. A value counts for one to two windows."""
    current: float = 0.0
    """Minimum of the current window; 0 if it has no value."""
    previous: float = 0.0
    """Minimum of the previous window; 0 if it has no value."""
    window_end: float = float("-inf")
    """Local time at which the current window ends."""

    def record(self, value: float, now: float) -> None:
        """Add a value.

        Args:
            value: Must be above 0.
            now: Local time in seconds.
        """
        if now >= self.window_end:
            is_next_window = now < self.window_end + self.window_seconds
            self.previous = self.current if is_next_window else 0.0
            self.current = value
            self.window_end = now + self.window_seconds
        self.current = min(self.current, value)

    @property
    def value(self) -> float:
        """The minimum of both windows; 0 if there is no value."""
        return min(self.current, self.previous) if self.previous else self.current
