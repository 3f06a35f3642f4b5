"""The platform's list of machines: what it shows is `lag_seconds` old."""

from collections.abc import Sequence

import msgspec
from result import Err

from merlinstand.common.errors import InvalidInputError
from merlinstand.kernel.effects import Effect, SetTimer, StopProcess, WriteRecord
from merlinstand.kernel.events import Event, RequestReceived, Started, StopRequested, TimerFired
from merlinstand_lab.records.kinds import MachineRecord
from merlinstand_lab.standins import endpoint
from merlinstand_lab.standins.settings import MachineEntry, MachineListSettings

_VISIBLE_TIMER = "machines.visible."


class MachinesAnswer(msgspec.Struct, frozen=True):
    """`GET /v1/machines`."""

    machines: list[MachineEntry]
    as_of: float


class _Change(msgspec.Struct, frozen=True):
    """A change that will become visible."""

    entry: MachineEntry
    changed_at: float


class MachineList:
    """Reducer of the list."""

    def __init__(self, settings: MachineListSettings) -> None:
        """Begin with the machines of the settings."""
        self._settings = settings
        self._visible = {machine.address: machine for machine in settings.machines}
        self._pending: dict[str, _Change] = {}
        self._count = 0

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Begin."""
        return ()

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Take one event."""
        match event:
            case RequestReceived():
                return self._request(event, now)
            case TimerFired() if event.name in self._pending:
                return self._become_visible(self._pending.pop(event.name), now)
            case StopRequested():
                return (StopProcess(),)
            case _:
                return ()

    def _request(self, event: RequestReceived, now: float) -> Sequence[Effect]:
        """Route one HTTP request."""
        common = endpoint.respond_common(event, ready=True)
        if common is not None:
            return (common,)
        match endpoint.route(event):
            case ("GET", "/v1/machines"):
                as_of = now - self._settings.lag_seconds
                answer = MachinesAnswer(list(self._visible.values()), as_of)
                return (endpoint.respond_json(event.request_id, answer),)
            case ("POST", "/lab/leave"):
                return self._leave(event, now)
            case _:
                return (endpoint.respond_not_found(event),)

    def _leave(self, event: RequestReceived, now: float) -> Sequence[Effect]:
        """A machine begins to leave, or is back; readers learn it later."""
        decoded = endpoint.decode_body(event.body, endpoint.LabLeave)
        if isinstance(decoded, Err):
            return (endpoint.respond_error(event.request_id, decoded.err_value),)
        leave = decoded.ok_value
        if leave.address not in self._visible:
            error = InvalidInputError(detail=f"unknown machine {leave.address!r}")
            return (endpoint.respond_error(event.request_id, error),)
        entry = MachineEntry(address=leave.address, state="leaving" if leave.leaving else "live")
        self._count += 1
        name = f"{_VISIBLE_TIMER}{self._count}"
        self._pending[name] = _Change(entry, now)
        acknowledged = endpoint.respond_json(event.request_id, endpoint.Acknowledged())
        return (SetTimer(name, self._settings.lag_seconds), acknowledged)

    def _become_visible(self, change: _Change, now: float) -> Sequence[Effect]:
        """Readers see the change from now on."""
        self._visible[change.entry.address] = change.entry
        record = MachineRecord(
            address=change.entry.address,
            state=change.entry.state,
            changed_at=change.changed_at,
            visible_at=now,
        )
        return (WriteRecord("machines", record),)
