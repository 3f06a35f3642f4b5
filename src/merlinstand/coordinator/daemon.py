"""The coordinator process as one reducer."""

from collections.abc import Sequence

from merlinstand.coordinator.settings import CoordinatorSettings
from merlinstand.kernel.effects import Effect
from merlinstand.kernel.events import Event, Started


class CoordinatorDaemon:
    """Leases jobs and engine groups, generates samples, serves batches to trainers.

    Hosts call `start` once and `reduce` for every event (`kernel.reducer.Reducer`).
    """

    def __init__(self, settings: CoordinatorSettings) -> None:
        """Remember the settings; nothing happens before `start`."""
        self._settings = settings

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Recover the journal and join the control group's clients."""
        raise NotImplementedError

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Take one event and decide what to do."""
        raise NotImplementedError
