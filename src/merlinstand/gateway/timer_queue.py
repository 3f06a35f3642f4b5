"""Many deadlines behind one host timer."""

import enum

from merlinstand.common.removable_heap import RemovableHeap
from merlinstand.kernel.effects import Effect, SetTimer

TIMER_QUEUE_TIMER = "gateway.agenda"
_TOLERANCE_SECONDS = 1e-6
"""A key due this little after `now` is taken as due: a host's timer may fire a rounding error
early, and would otherwise be set again for nothing. Chosen, not measured."""


class TimerKind(enum.IntEnum):
    """What is to be done at a time."""

    DEADLINE = 0
    """A request's deadline."""
    QUEUE_WAIT = 1
    """A request waited as long as it may in its queue."""
    RESUME = 2
    """A begun stream looks for an engine to go on with."""
    DISPATCH_QUEUED = 3
    """A pool's queue may go on after a pause."""
    HEDGE = 4
    """A lookup is slow: another replica is asked too."""


TimerKey = tuple[TimerKind, int]
"""What to do, and the number of the exchange or pool state concerned."""


class TimerQueue:
    """Keys with due times; one host timer for the earliest.

    Setting and cancelling a host timer for every request would cost two effects each; most
    deadlines never come due.
    """

    def __init__(self) -> None:
        """Make an empty agenda."""
        self._heap: RemovableHeap[TimerKey] = RemovableHeap()
        self._timer_at: float | None = None

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._heap)

    def schedule(self, key: TimerKey, at: float) -> None:
        """Set or move a key's due time."""
        self._heap.put(key, at)

    def cancel(self, key: TimerKey) -> None:
        """Forget a key; harmless if there is none."""
        self._heap.remove(key)

    def on_host_timer(self) -> None:
        """The host timer fired."""
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
        """Set the host timer if the earliest key is due before it would fire."""
        head = self._heap.first()
        if head is None:
            return
        at = head[0]
        if self._timer_at is not None and self._timer_at <= at:
            return
        self._timer_at = at
        out.append(SetTimer(TIMER_QUEUE_TIMER, max(0.0, at - now)))
