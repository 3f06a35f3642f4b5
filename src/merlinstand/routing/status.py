"""Decoding of backends' status and cache events, and of the platform's machine list (JSON)."""

from collections.abc import Iterable
from typing import Annotated, TypeVar

import msgspec
from result import Err, Ok, Result

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.errors import InvalidInputError
from merlinstand.routing.load_reports import LoadReport
from merlinstand.routing.membership import (
    DrainSignals,
    MachineState,
    ReplicaState,
    StateReport,
)

Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""Count in a JSON message. Bounded because larger numbers would overflow when converted to floats
or MessagePack."""


class ServiceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of a backend of a service pool."""

    state: ReplicaState
    reported_at: float
    in_flight: Count = 0
    incarnation: int = 0
    """Identifies one run of the process; compared only for equality."""

    def state_report(self) -> StateReport:
        """Return the state part of this status."""
        return StateReport(self.state, self.reported_at, self.incarnation)

    def load_report(self) -> LoadReport:
        """Return the load part of this status."""
        return LoadReport(self.in_flight, 0, self.reported_at, self.incarnation)


class EngineStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of an engine; other fields of the response are ignored."""

    state: ReplicaState
    reported_at: float
    model: str = ""
    active_version: Count | None = None
    running: Count = 0
    queued: Count = 0
    queued_tokens: Count = 0
    free_blocks: Count = 0
    total_blocks: Count = 0
    tokens_per_second: float = 0.0
    incarnation: int = 0
    """Identifies one run of the process; compared only for equality."""

    def state_report(self) -> StateReport:
        """Return the state part of this status."""
        return StateReport(self.state, self.reported_at, self.incarnation)

    def load_report(self) -> LoadReport:
        """Return the load part of this status."""
        return LoadReport(self.running, self.queued, self.reported_at, self.incarnation)


class ListedMachine(msgspec.Struct, frozen=True):
    """One entry of the platform's machine list."""

    address: str
    state: MachineState


class MachineList(msgspec.Struct, frozen=True):
    """The platform's machine list, which lags behind the machines' actual states."""

    machines: tuple[ListedMachine, ...]
    as_of: float
    """Time of the list by the platform's clock."""

    def update_signals(self, replicas: Iterable[tuple[str, DrainSignals]]) -> None:
        """Update the draining signals of replicas from this list.

        Args:
            replicas: Address (`ip:port`) and signals of each replica; the list may name a replica
                by its address or by its IP address alone.
        """
        states = {machine.address: machine.state for machine in self.machines}
        for address, signals in replicas:
            state = states.get(address) or states.get(address.rsplit(":", 1)[0])
            if state is None:
                signals.record_unlisted(self.as_of)
            else:
                signals.record_listed(state, self.as_of)


class CacheEvent(msgspec.Struct, frozen=True):
    """One change of an engine's prefix cache."""

    sequence: Count
    kind: str
    """`stored` or `evicted`."""
    prefix_digest: str


class CacheEvents(msgspec.Struct, frozen=True):
    """A batch of an engine's cache events, which arrive late and may be incomplete."""

    events: tuple[CacheEvent, ...]
    next: Count
    """Sequence number from which the next request should read."""


BackendStatus = EngineStatus | ServiceStatus

_ENGINE_DECODER = msgspec.json.Decoder(EngineStatus)
_SERVICE_DECODER = msgspec.json.Decoder(ServiceStatus)
_MACHINES_DECODER = msgspec.json.Decoder(MachineList)
_CACHE_DECODER = msgspec.json.Decoder(CacheEvents)


Value = TypeVar("Value")


def _decode(decoder: msgspec.json.Decoder[Value], body: bytes) -> Result[Value, InvalidInputError]:
    try:
        return Ok(decoder.decode(body))
    except DECODE_ERRORS as error:
        return Err(InvalidInputError(detail=str(error)))


def decode_engine_status(body: bytes) -> Result[EngineStatus, InvalidInputError]:
    """Decode the body of an engine's status response."""
    return _decode(_ENGINE_DECODER, body)


def decode_service_status(body: bytes) -> Result[ServiceStatus, InvalidInputError]:
    """Decode the body of a status response of a service pool's backend."""
    return _decode(_SERVICE_DECODER, body)


def decode_machine_list(body: bytes) -> Result[MachineList, InvalidInputError]:
    """Decode the body of the platform's machine list."""
    return _decode(_MACHINES_DECODER, body)


def decode_cache_events(body: bytes) -> Result[CacheEvents, InvalidInputError]:
    """Decode the body of an engine's cache events response."""
    return _decode(_CACHE_DECODER, body)
