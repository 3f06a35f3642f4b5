"""The reducer interface, implemented by every daemon and every stand-in for an external system.

Reducers are run by `runtime.host` and by the simulator.
"""

from collections.abc import Sequence
from typing import Protocol

from merlinstand.kernel.effects import Effect
from merlinstand.kernel.events import Event, Started


class Reducer(Protocol):
    """The decision logic of one process.

    A reducer owns its state and does no I/O: it reads no clock, socket, disk or random source.
    Times, seeds and results of effects are passed in. A host calls `start` once, then `reduce` for
    every event, one at a time, and performs the returned effects in order.
    """

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Start from the recovered state.

        Args:
            event: Identity, storage incarnation, random seed and durable state recovered from disk.
            now: Local monotonic time in seconds. Clocks of different machines have
                arbitrary offsets and drift within `constants.MAXIMUM_CLOCK_DRIFT`.

        Returns:
            Effects to perform in order.
        """
        ...

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Handle one event.

        Args:
            event: The event to handle.
            now: Local monotonic time in seconds.

        Returns:
            Effects to perform in order.
        """
        ...
