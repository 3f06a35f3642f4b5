"""The reducer interface that hosts run.

Implemented by every daemon and every stand-in of the laboratory; hosted by `runtime.host` and by
the simulator.
"""

from collections.abc import Sequence
from typing import Protocol

from merlinstand.kernel.effects import Effect
from merlinstand.kernel.events import Event, Started


class Reducer(Protocol):
    """One process's decisions.

    A reducer owns its state and reads no clock, socket, disk or random source: time,
    seeds and completions arrive as arguments. A host calls `start` once, then `reduce`
    for every event, one at a time, and performs the returned effects in order.
    """

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Begin from what the disk held.

        Args:
            event: Identity, incarnation, random seed and recovered durable state.
            now: Local monotonic time in seconds. Machines' clocks may differ by any
                offset and drift within `constants.MAXIMUM_CLOCK_DRIFT`.

        Returns:
            Effects to perform in order.
        """
        ...

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Take one event and decide what to do.

        Args:
            event: What happened.
            now: Local monotonic time in seconds.

        Returns:
            Effects to perform in order.
        """
        ...
