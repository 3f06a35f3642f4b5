"""The gateway's reducer: composes the sub-reducers and routes events to them."""

from collections.abc import Sequence

from merlinstand.gateway.settings import GatewaySettings
from merlinstand.kernel.effects import Effect
from merlinstand.kernel.events import Event, Started


class GatewayDaemon:
    """One gateway process."""

    def __init__(self, settings: GatewaySettings) -> None:
        """Make a gateway that has not started."""
        self._settings = settings

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Begin to follow the configuration."""
        raise NotImplementedError

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Handle one event."""
        raise NotImplementedError
