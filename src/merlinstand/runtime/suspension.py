"""Notices that the machine was suspended, and has timers set anew.

The loop's timers go by the steady clock and would fire late by the time of the suspension. Whoever
has timers running subscribes to the watch of its loop, and sets them anew when the machine runs on.

One `SuspensionWatch` for each event loop, made at first use and kept as long as its loop. It relies
on `common/boot_clock`, whose two clocks differ by the time for which the machine was suspended.
"""

import weakref
from typing import Any, Protocol

import gevent

from merlinstand.common.boot_clock import boot_seconds, monotonic_seconds

CHECK_INTERVAL_SECONDS = 0.25
"""How often it is looked at while nothing else happens: a quarter of the shortest time limits that
matter between machines. Each event looks, too."""
MINIMUM_SUSPENSION_SECONDS = 0.05
"""A shorter suspension makes no difference to any limit. Chosen, not measured."""
CLOCK_READ_LIMIT_SECONDS = 0.005
"""Two clocks count as read at the same time if that took no longer: a process may lose the
processor in between. Chosen, not measured."""


class SuspensionListener(Protocol):
    """Something with timers on the loop, or that wants to know."""

    def on_suspended(self, suspended_seconds: float) -> None:
        """So much more time has passed than timers know of."""
        ...


class SuspensionWatch:
    """Watches the difference between the two clocks for one event loop."""

    def __init__(self) -> None:
        """Begin with the present difference."""
        self._offset = _offset()
        self._listeners: set[SuspensionListener] = set()
        self._timer: Any = None

    def subscribe(self, listener: SuspensionListener) -> None:
        """Tell a listener of suspensions from now on."""
        self._listeners.add(listener)
        if self._timer is None:
            self._timer = gevent.get_hub().loop.timer(
                CHECK_INTERVAL_SECONDS, CHECK_INTERVAL_SECONDS, ref=False
            )
            self._timer.start(self.now)

    def unsubscribe(self, listener: SuspensionListener) -> None:
        """Tell a listener no more."""
        self._listeners.discard(listener)
        if not self._listeners and self._timer is not None:
            self._timer.stop()
            self._timer.close()
            self._timer = None

    def now(self) -> float:
        """Give the time that limits go by, in seconds; listeners are told of a suspension first."""
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
    """For how long the machine was suspended since its start, but for a constant."""
    while True:
        before = monotonic_seconds()
        offset = boot_seconds() - before
        if monotonic_seconds() - before <= CLOCK_READ_LIMIT_SECONDS:
            return offset


_watches: "weakref.WeakKeyDictionary[Any, SuspensionWatch]" = weakref.WeakKeyDictionary()


def current_watch() -> SuspensionWatch:
    """Give the watch of the calling thread's event loop."""
    hub = gevent.get_hub()
    watch = _watches.get(hub)
    if watch is None:
        watch = _watches[hub] = SuspensionWatch()
    return watch
