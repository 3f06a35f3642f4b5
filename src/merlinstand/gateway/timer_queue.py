"""A queue of deadlines that share one host timer."""

import enum

from merlinstand.common.removable_heap import RemovableHeap
from merlinstand.kernel.effects import Effect, SetTimer

TIMER_QUEUE_TIMER = "gateway.agenda"
_TOLERANCE_SECONDS = 1e-6
"""A key that is due at most this long after `now` counts as due, since a host's timer may fire
early by a rounding error and would otherwise be set again."""


class TimerKind(enum.IntEnum):
    """What happens when a key is due."""

    DEADLINE = 0
    """A request's deadline."""
    QUEUE_WAIT = 1
    """A queued request has waited for its maximum time."""
    RESUME = 2
    """An interrupted generation looks for an engine to resume on."""
    DISPATCH_QUEUED = 3
    """Queued requests of a pool are dispatched again."""
    HEDGE = 4
    """A slow lookup is sent to a second replica."""


TimerKey = tuple[TimerKind, int]
"""Kind of the timer, and number of the exchange or, for `DISPATCH_QUEUED`, of the pool state."""


class TimerQueue:
    """Keys with due times, and one host timer for the earliest of them.

    Most deadlines are cancelled before they are due, and setting and cancelling a host timer for
    each request would cost two effects per request.
    """

    def __init__(self) -> None:
        """Create a queue; call `set_host_timer` after keys were scheduled."""
        self._heap: RemovableHeap[TimerKey] = RemovableHeap()
        self._timer_at: float | None = None

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._heap)

    def schedule(self, key: TimerKey, at: float) -> None:
        """Set or move a key's due time."""
        self._heap.put(key, at)

    def cancel(self, key: TimerKey) -> None:
        """Remove a key, if it is scheduled."""
        self._heap.remove(key)

    def on_host_timer(self) -> None:
        """Record that the host timer fired, so that `set_host_timer` sets it again."""
        self._timer_at = None

    def pop_due(self, now: float) -> list[TimerKey]:
        """Remove and return all keys due at `now`, earliest first."""
        due: list[TimerKey] = []
        while True:
            head = self._heap.first()
            if head is None or head[0] > now + _TOLERANCE_SECONDS:
                return due
            self._heap.pop()
            due.append(head[1])

    def set_host_timer(self, now: float, out: list[Effect]) -> None:
        """Set the host timer if it is unset or would fire after the earliest key is due."""
        head = self._heap.first()
        if head is None:
            return
        at = head[0]
        if self._timer_at is not None and self._timer_at <= at:
            return
        self._timer_at = at
        out.append(SetTimer(TIMER_QUEUE_TIMER, max(0.0, at - now)))
