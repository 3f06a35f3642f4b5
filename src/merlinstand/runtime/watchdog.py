"""Time limits for one greenlet that change at every step but seldom run out.

Used by whoever reads or writes a connection: a step that takes too long raises an error there.
"""

import math
from typing import Any

import gevent

from merlinstand.common.boot_clock import boot_seconds
from merlinstand.runtime import suspension


class Watchdog:
    """Raises an error in its greenlet when a step takes too long.

    `gevent.Timeout` starts and stops a timer for each step. Here a new limit is mostly one
    assignment: the timer stays as it is, and when it fires before the present limit it is
    set again for the rest.
    """

    __slots__ = ("_deadline", "_error", "_fires_at", "_greenlet", "_loop", "_timer")

    def __init__(self) -> None:
        """Watch over the calling greenlet, without a limit at first."""
        self._greenlet = gevent.getcurrent()
        self._loop = gevent.get_hub().loop
        self._deadline = math.inf
        self._fires_at = math.inf
        self._error: type[BaseException] = TimeoutError
        self._timer: Any = None

    def set_limit(self, seconds: float, error: type[BaseException]) -> None:
        """Begin a step; replaces the limit of the step before.

        Args:
            seconds: Longest duration from now.
            error: Raised in the greenlet, wherever it waits, when time is up.
        """
        now = boot_seconds()
        self._deadline = now + seconds
        self._error = error
        if self._fires_at > self._deadline:
            self._arm(seconds, now)

    def clear_limit(self) -> None:
        """End the step."""
        self._deadline = math.inf

    def close(self) -> None:
        """End watching."""
        self._deadline = math.inf
        self._disarm()

    def _arm(self, seconds: float, now: float) -> None:
        self._disarm()
        self._fires_at = now + seconds
        self._timer = self._loop.timer(seconds)
        self._timer.start(self._fire, update=True)
        suspension.current_watch().subscribe(self)

    def on_suspended(self, suspended_seconds: float) -> None:
        """The machine was suspended: the step's time may be over."""
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
        # Thrown from the loop itself, not by way of a callback: between the two the
        # greenlet could have come to another step, which this limit does not concern.
        self._greenlet.throw(self._error())
