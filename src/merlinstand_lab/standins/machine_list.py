"""The `MachineList` stand-in."""

from collections.abc import Sequence

from merlinstand.kernel.effects import Effect
from merlinstand.kernel.events import Event, Started
from merlinstand_lab.standins.settings import MachineListSettings


class MachineList:
    """Reducer of the `machine_list` stand-in."""

    def __init__(self, settings: MachineListSettings) -> None:
        """Keep the settings; `start` begins."""
        self._settings = settings

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Begin."""
        return ()

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Take one event."""
        return ()
