"""Named timers on the gevent loop."""

from collections.abc import Callable
from typing import Any

import gevent


class Timers:
    """Keeps at most one pending timer for each name."""

    def __init__(self, on_fired: Callable[[str], None]) -> None:
        """Create an empty set.

        Args:
            on_fired: Called from the loop with the timer's name; must not block.
        """
        self._on_fired = on_fired
        self._loop = gevent.get_hub().loop
        self._watchers: dict[str, Any] = {}

    def set(self, name: str, delay_seconds: float) -> None:
        """Start a timer, replacing a pending one of that name."""
        self.cancel(name)
        watcher = self._loop.timer(max(delay_seconds, 0.0))
        self._watchers[name] = watcher
        # The loop caches its time; without the update a delay would be counted from
        # the start of the present turn of the loop and fire early.
        watcher.start(self._fire, name, update=True)

    def cancel(self, name: str) -> None:
        """Forget a pending timer, if there is one."""
        watcher = self._watchers.pop(name, None)
        if watcher is not None:
            watcher.stop()
            watcher.close()

    def close(self) -> None:
        """Forget all timers."""
        for name in list(self._watchers):
            self.cancel(name)

    def _fire(self, name: str) -> None:
        self.cancel(name)
        self._on_fired(name)
