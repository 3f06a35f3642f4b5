"""Polls the platform's list of machines, one of the signals that an engine is leaving. It may be
outdated.
"""

from collections.abc import Iterable

from result import Err

from merlinstand.coordinator.context import Context
from merlinstand.coordinator.engines import Engine
from merlinstand.coordinator.purposes import MachineListCall
from merlinstand.kernel.events import CallFailed, CallResponded
from merlinstand.routing.status import decode_machine_list

INTERVAL_SECONDS = 1.0
"""Interval between two requests for the list, as for gateways
(`HealthSettings.machine_list_interval_seconds`)."""

CALL_TIMEOUT_SECONDS = 3.0
"""Timeout of one request; the next one is sent only after it ended."""


class MachineListPoller:
    """Requests the list periodically."""

    def __init__(self) -> None:
        """The engines' signals stay unchanged until the first list arrives."""
        self._requested_at = -INTERVAL_SECONDS
        self._in_call = False

    def poll(self, context: Context) -> None:
        """Request the list if it is due."""
        address = context.settings.machine_list_address
        if not address or self._in_call or context.now - self._requested_at < INTERVAL_SECONDS:
            return
        self._in_call = True
        self._requested_at = context.now
        context.start_call(
            MachineListCall(), address, "GET", "/v1/machines", timeout_seconds=CALL_TIMEOUT_SECONDS
        )

    def handle_response(self, event: CallResponded | CallFailed, engines: Iterable[Engine]) -> None:
        """Apply a response; if it is not valid, the signals of the last list remain."""
        self._in_call = False
        if isinstance(event, CallFailed) or event.status != 200:
            return
        decoded = decode_machine_list(event.body)
        if not isinstance(decoded, Err):
            decoded.ok_value.update_signals(
                (engine.backend.address, engine.signals) for engine in engines
            )
