"""Notices that the machine was suspended, and lets timers catch up.

The loop's timers go by the steady clock and would fire late by the time of the suspension. Whoever
has timers running follows the watch of its loop, and sets them anew when the machine has woken up.
"""

import weakref
from typing import Any, Protocol

import gevent

from merlinstand.common.boot_clock import boot_seconds, steady_seconds

LOOK_SECONDS = 0.25
"""How often it is looked at while nothing else happens: a quarter of the shortest time limits that
matter between machines. Each event looks, too."""
SHORTEST_SECONDS = 0.05
"""A shorter suspension makes no difference to any limit."""
READ_SECONDS = 0.005
"""Two clocks count as read at the same time if that took no longer: a process may lose the
processor in between."""


class Follower(Protocol):
    """Something with timers on the loop, or that wants to know."""

    def catch_up(self, suspended_seconds: float) -> None:
        """So much more time has passed than timers know of."""
        ...


class WakeUp:
    """Watches the difference between the two clocks for one event loop."""

    def __init__(self) -> None:
        """Begin with the present difference."""
        self._offset = _offset()
        self._followers: set[Follower] = set()
        self._timer: Any = None

    def follow(self, follower: Follower) -> None:
        """Have a follower told of suspensions from now on."""
        self._followers.add(follower)
        if self._timer is None:
            self._timer = gevent.get_hub().loop.timer(LOOK_SECONDS, LOOK_SECONDS, ref=False)
            self._timer.start(self.now)

    def leave(self, follower: Follower) -> None:
        """Tell a follower no more."""
        self._followers.discard(follower)
        if not self._followers and self._timer is not None:
            self._timer.stop()
            self._timer.close()
            self._timer = None

    def now(self) -> float:
        """Give the time that limits go by, in seconds; followers are told of a suspension first."""
        steady = steady_seconds()
        now = boot_seconds()
        if now - steady - self._offset >= SHORTEST_SECONDS:
            self._note(_offset())
        return now

    def _note(self, offset: float) -> None:
        suspended_seconds = offset - self._offset
        if suspended_seconds < SHORTEST_SECONDS:
            return
        self._offset = offset
        for follower in list(self._followers):
            follower.catch_up(suspended_seconds)


def _offset() -> float:
    """For how long the machine was suspended since its start, but for a constant."""
    while True:
        before = steady_seconds()
        offset = boot_seconds() - before
        if steady_seconds() - before <= READ_SECONDS:
            return offset


_watches: "weakref.WeakKeyDictionary[Any, WakeUp]" = weakref.WeakKeyDictionary()


def of_this_loop() -> WakeUp:
    """Give the watch of the calling thread's event loop."""
    hub = gevent.get_hub()
    watch = _watches.get(hub)
    if watch is None:
        watch = _watches[hub] = WakeUp()
    return watch
