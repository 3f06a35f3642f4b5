"""The control daemon: consensus replica, state machine and operators' API as one reducer."""

from collections.abc import Sequence

from merlinstand.control.settings import ControlSettings
from merlinstand.kernel.effects import Effect
from merlinstand.kernel.events import Event, Started


class ControlDaemon:
    """Reducer of the `control` role."""

    def __init__(self, settings: ControlSettings) -> None:
        """Make a daemon that has not started.

        Args:
            settings: Checked settings of this daemon.
        """
        self._settings = settings

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Recover from the journal and join the group."""
        raise NotImplementedError

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Handle one event."""
        raise NotImplementedError
