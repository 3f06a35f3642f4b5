"""Named timers on the gevent loop.

Performs `SetTimer` and `CancelTimer`. Delays use `common/boot_clock`, which includes suspensions of
the machine. The loop's timers don't, so they are rescheduled when `suspension` reports one.
"""

from collections.abc import Callable
from typing import Any

import gevent
import msgspec

from merlinstand.common.boot_clock import boot_seconds
from merlinstand.runtime import suspension

ORDERING_STEP_SECONDS = 1e-6
"""Interval between timers that came due during a suspension, which preserves their order."""


class _Timer(msgspec.Struct):
    """A pending timer."""

    due_at: float
    """Boot clock time, in seconds."""
    watcher: Any


class Timers:
    """A set of pending timers, at most one for each name."""

    def __init__(self, on_fired: Callable[[str], None]) -> None:
        """Create an empty set.

        Args:
            on_fired: Called from the event loop with the timer's name; must not block.
        """
        self._on_fired = on_fired
        self._loop = gevent.get_hub().loop
        self._pending: dict[str, _Timer] = {}
        self._suspension_watch = suspension.current_watch()
        self._suspension_watch.subscribe(self)

    def set(self, name: str, delay_seconds: float) -> None:
        """Start a timer, replacing a pending one of the same name; negative delays count as 0."""
        self.cancel(name)
        delay_seconds = max(delay_seconds, 0.0)
        due_at = boot_seconds() + delay_seconds
        self._pending[name] = _Timer(due_at, self._start(name, delay_seconds))

    def _start(self, name: str, delay_seconds: float) -> Any:
        watcher = self._loop.timer(delay_seconds)
        # The loop caches its time; without the update, the delay would start at the
        # beginning of the current loop iteration and the timer would fire early.
        watcher.start(self._fire, name, update=True)
        return watcher

    def on_suspended(self, suspended_seconds: float) -> None:
        """Reschedule all timers; those that came due meanwhile fire now, in order."""
        now = boot_seconds()
        pending = sorted(self._pending.items(), key=lambda item: item[1].due_at)
        for position, (name, timer) in enumerate(pending):
            _stop_watcher(timer.watcher)
            delay_seconds = max(timer.due_at - now, position * ORDERING_STEP_SECONDS)
            timer.watcher = self._start(name, delay_seconds)

    def cancel(self, name: str) -> None:
        """Cancel a pending timer, if there is one."""
        timer = self._pending.pop(name, None)
        if timer is not None:
            _stop_watcher(timer.watcher)

    def close(self) -> None:
        """Cancel all timers."""
        self._suspension_watch.unsubscribe(self)
        for name in list(self._pending):
            self.cancel(name)

    def _fire(self, name: str) -> None:
        self.cancel(name)
        self._on_fired(name)


def _stop_watcher(watcher: Any) -> None:
    watcher.stop()
    watcher.close()
