"""Detects that the machine was suspended, so that timers can be rescheduled.

The event loop's timers use the monotonic clock, which stops during a suspension, so they would fire
late. Code with running timers subscribes to the watch of its loop and reschedules them on resume.

Each event loop has one `SuspensionWatch`, created at first use. It compares the two clocks of
`common/boot_clock`, whose difference is the time for which the machine was suspended.
"""

import weakref
from typing import Any, Protocol

import gevent

from merlinstand.common.boot_clock import boot_seconds, monotonic_seconds

CHECK_INTERVAL_SECONDS = 0.25
"""Interval of checks while no events occur: a quarter of the shortest relevant time limit between
machines. Each event triggers a check, too."""
MINIMUM_SUSPENSION_SECONDS = 0.05
"""Shorter suspensions are ignored, since they affect no time limit."""
CLOCK_READ_LIMIT_SECONDS = 0.005
"""Two clock readings count as simultaneous if they took no longer than this; the process may be
preempted between them."""


class SuspensionListener(Protocol):
    """An object to be notified of suspensions, such as one with timers on the loop."""

    def on_suspended(self, suspended_seconds: float) -> None:
        """Handle a suspension of this length, which running timers have not counted."""
        ...


class SuspensionWatch:
    """Monitors the difference between the two clocks for one event loop."""

    def __init__(self) -> None:
        """Record the current difference."""
        self._offset = _offset()
        self._listeners: set[SuspensionListener] = set()
        self._timer: Any = None

    def subscribe(self, listener: SuspensionListener) -> None:
        """Notify a listener of suspensions from now on."""
        self._listeners.add(listener)
        if self._timer is None:
            self._timer = gevent.get_hub().loop.timer(
                CHECK_INTERVAL_SECONDS, CHECK_INTERVAL_SECONDS, ref=False
            )
            self._timer.start(self.now)

    def unsubscribe(self, listener: SuspensionListener) -> None:
        """Stop notifying a listener."""
        self._listeners.discard(listener)
        if not self._listeners and self._timer is not None:
            self._timer.stop()
            self._timer.close()
            self._timer = None

    def now(self) -> float:
        """Return the boot clock in seconds, after notifying listeners of any suspension."""
        steady = monotonic_seconds()
        now = boot_seconds()
        if now - steady - self._offset >= MINIMUM_SUSPENSION_SECONDS:
            self._notify(_offset())
        return now

    def _notify(self, offset: float) -> None:
        suspended_seconds = offset - self._offset
        if suspended_seconds < MINIMUM_SUSPENSION_SECONDS:
            return
        self._offset = offset
        for listener in list(self._listeners):
            listener.on_suspended(suspended_seconds)


def _offset() -> float:
    """Return the time suspended since boot, in seconds, plus a constant."""
    while True:
        before = monotonic_seconds()
        offset = boot_seconds() - before
        if monotonic_seconds() - before <= CLOCK_READ_LIMIT_SECONDS:
            return offset


_watches: "weakref.WeakKeyDictionary[Any, SuspensionWatch]" = weakref.WeakKeyDictionary()


def current_watch() -> SuspensionWatch:
    """Return the watch of the calling thread's event loop."""
    hub = gevent.get_hub()
    watch = _watches.get(hub)
    if watch is None:
        watch = _watches[hub] = SuspensionWatch()
    return watch
