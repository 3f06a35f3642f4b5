"""How far behind the process's loop is: the overload that no table of requests shows."""


class LoopDelay:
    """Compares when a periodic timer was due with when it fired.

    One thread does everything, so a timer that fires late means that work piles up before the
    reducer: every request waits that long before it is even looked at.
    """

    __slots__ = ("_due_at", "seconds")

    def __init__(self) -> None:
        """Start without delay."""
        self._due_at: float | None = None
        self.seconds = 0.0
        """How late the last timer was."""

    def record_timer_set(self, now: float, delay_seconds: float) -> None:
        """The timer was set."""
        self._due_at = now + delay_seconds

    def record_timer_fired(self, now: float) -> None:
        """The timer fired."""
        if self._due_at is not None:
            self.seconds = max(0.0, now - self._due_at)
