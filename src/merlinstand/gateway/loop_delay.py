"""Lag of the event loop, as a signal of overload that request counts do not show."""


class LoopDelay:
    """Measures how late a periodic timer fires.

    The process has a single thread, so a late timer means that events queue up in front of the
    reducer, and each request waits equally long before it is handled.
    """

    __slots__ = ("_due_at", "seconds")

    def __init__(self) -> None:
        """Create a measurement; the lag is 0 until the timer first fires late."""
        self._due_at: float | None = None
        self.seconds = 0.0
        """How late the last timer fired."""

    def record_timer_set(self, now: float, delay_seconds: float) -> None:
        """Record that the timer was set to fire in `delay_seconds`."""
        self._due_at = now + delay_seconds

    def record_timer_fired(self, now: float) -> None:
        """Record that the timer fired, and update the lag."""
        if self._due_at is not None:
            self.seconds = max(0.0, now - self._due_at)
