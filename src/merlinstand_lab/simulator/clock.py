"""The virtual clock: callbacks on simpy's event queue, without simpy processes."""

from collections.abc import Callable
from typing import Any

import simpy
from simpy.events import Event as SimpyEvent


def _run_scheduled(event: Any) -> None:
    event.function(*event.arguments)


_RUN_CALLBACKS = (_run_scheduled,)


class ScheduledCall(SimpyEvent):
    """One function call that comes due on the virtual clock."""

    _ok = True
    _value = None

    def __init__(self, function: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        # simpy's own constructor is skipped: it allocates a list for every event.
        self.callbacks = _RUN_CALLBACKS  # type: ignore[assignment]
        self.function = function
        self.arguments = arguments


class VirtualClock:
    """True time of a simulation, in seconds from 0."""

    def __init__(self) -> None:
        self.environment = simpy.Environment(0.0)

    @property
    def now(self) -> float:
        """Return the present true time in seconds."""
        return float(self.environment._now)

    def call_after(
        self, delay_seconds: float, function: Callable[..., None], *arguments: Any
    ) -> None:
        """Call a function after a delay; equal times keep the order of scheduling."""
        self.environment.schedule(ScheduledCall(function, arguments), delay=delay_seconds)

    def call_at(self, time: float, function: Callable[..., None], *arguments: Any) -> None:
        """Call a function at a true time, or now if that has passed."""
        delay = time - self.environment._now
        self.environment.schedule(
            ScheduledCall(function, arguments), delay=delay if delay > 0.0 else 0.0
        )

    def run_until(self, time: float) -> None:
        """Run everything that comes due before a time."""
        if time > self.environment._now:
            self.environment.run(until=time)


SHORTEST_DELAY_SECONDS = 1e-9
"""Seconds; chosen, not measured."""


class LocalClock:
    """A machine's monotonic clock: any offset and a bounded rate error."""

    def __init__(self, clock: VirtualClock, offset_seconds: float, drift: float) -> None:
        """Start a local clock.

        Args:
            clock: True time.
            offset_seconds: Local time at true time 0.
            drift: Rate error as a fraction; positive runs fast.
        """
        self._environment = clock.environment
        self.offset_seconds = offset_seconds
        self.rate = 1.0 + drift

    def stand_still(self, seconds: float) -> None:
        """Leave a span of true time out, as a steady clock does with a suspension."""
        self.offset_seconds -= seconds * self.rate

    def now(self) -> float:
        """Return local time in seconds."""
        return self.offset_seconds + float(self._environment._now) * self.rate

    def true_delay(self, local_delay_seconds: float) -> float:
        """Return how much true time passes during a local delay."""
        if local_delay_seconds <= 0.0:
            return 0.0
        # What rounding leaves of a delay must not be lost again: it would never be over.
        return max(SHORTEST_DELAY_SECONDS, local_delay_seconds / self.rate)
