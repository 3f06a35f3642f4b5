"""Time limits for the steps of one greenlet, optimized for limits that rarely expire.

Used for reading and writing connections: a step that takes too long raises an error in its
greenlet.
"""

import math
from typing import Any

import gevent

from merlinstand.common.boot_clock import boot_seconds
from merlinstand.runtime import suspension


class Watchdog:
    """Raises an error in its greenlet when a step takes too long.

    `gevent.Timeout` starts and stops a timer for each step. Here a new limit is usually just an
    assignment: the running timer is kept, and if it fires before the current deadline, it is
    restarted for the remaining time.
    """

    __slots__ = ("_deadline", "_error", "_fires_at", "_greenlet", "_loop", "_timer")

    def __init__(self) -> None:
        """Create a watchdog for the calling greenlet, initially without a limit."""
        self._greenlet = gevent.getcurrent()
        self._loop = gevent.get_hub().loop
        self._deadline = math.inf
        self._fires_at = math.inf
        self._error: type[BaseException] = TimeoutError
        self._timer: Any = None

    def set_limit(self, seconds: float, error: type[BaseException]) -> None:
        """Start a step; replaces the limit of the previous step.

        Args:
            seconds: Maximum duration from now.
            error: Raised in the greenlet, wherever it waits, when the limit expires.
        """
        now = boot_seconds()
        self._deadline = now + seconds
        self._error = error
        if self._fires_at > self._deadline:
            self._arm(seconds, now)

    @property
    def remaining_seconds(self) -> float:
        """Time until the limit expires; infinite without a limit."""
        return max(0.0, self._deadline - boot_seconds())

    def clear_limit(self) -> None:
        """End the step and its limit."""
        self._deadline = math.inf

    def close(self) -> None:
        """Clear the limit and stop the timer."""
        self._deadline = math.inf
        self._disarm()

    def _arm(self, seconds: float, now: float) -> None:
        self._disarm()
        self._fires_at = now + seconds
        self._timer = self._loop.timer(seconds)
        self._timer.start(self._fire, update=True)
        suspension.current_watch().subscribe(self)

    def on_suspended(self, suspended_seconds: float) -> None:
        """Restart the timer after a suspension, in which the limit may have expired."""
        now = boot_seconds()
        self._arm(max(0.0, self._fires_at - now), now)

    def _disarm(self) -> None:
        if self._timer is not None:
            self._timer.stop()
            self._timer.close()
            self._timer = None
            suspension.current_watch().unsubscribe(self)
        self._fires_at = math.inf

    def _fire(self) -> None:
        self._disarm()
        if self._deadline == math.inf:
            return
        now = boot_seconds()
        left = self._deadline - now
        if left > 0:
            self._arm(left, now)
            return
        self._deadline = math.inf
        # Thrown directly from the loop, not by a callback: in between, the greenlet could have
        # moved on to another step, to which this limit does not apply.
        self._greenlet.throw(self._error())
