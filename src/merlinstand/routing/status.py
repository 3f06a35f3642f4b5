"""Answers of back ends to `GET /v1/status`, and of the platform's machine list."""

from collections.abc import Iterable
from typing import Annotated, TypeVar

import msgspec
from result import Err, Ok, Result

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.errors import InvalidInputError
from merlinstand.routing.load_reports import LoadReport
from merlinstand.routing.membership import (
    LeavingSignals,
    MachineState,
    ReplicaState,
    StateReport,
)

Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
"""JSON numbers have no bound; larger ones would overflow where they become floats or msgpack."""


class ServiceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of a service server."""

    state: ReplicaState
    reported_at: float
    in_flight: Count = 0
    incarnation: int = 0
    """Only ever compared."""

    def state_report(self) -> StateReport:
        """Return the part that tells the server's state."""
        return StateReport(self.state, self.reported_at, self.incarnation)

    def load_report(self) -> LoadReport:
        """Return the part that tells the server's load."""
        return LoadReport(self.in_flight, 0, self.reported_at, self.incarnation)


class EngineStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The part of an engine's status that routing uses; other fields are ignored."""

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
    """Only ever compared."""

    def state_report(self) -> StateReport:
        """Return the part that tells the engine's state."""
        return StateReport(self.state, self.reported_at, self.incarnation)

    def load_report(self) -> LoadReport:
        """Return the part that tells the engine's load."""
        return LoadReport(self.running, self.queued, self.reported_at, self.incarnation)


class ListedMachine(msgspec.Struct, frozen=True):
    """One machine of the platform's list."""

    address: str
    state: MachineState


class MachineList(msgspec.Struct, frozen=True):
    """The platform's list; lags."""

    machines: tuple[ListedMachine, ...]
    as_of: float
    """By the platform's clock."""

    def update_signals(self, replicas: Iterable[tuple[str, LeavingSignals]]) -> None:
        """Take the list into the signals of replicas.

        Args:
            replicas: Address (`ip:port`) and signals of each; the list may name a replica by its
                address or by the IP number alone.
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
    """Some changes of an engine's prefix cache; late and with gaps."""

    events: tuple[CacheEvent, ...]
    next: Count


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
    """Decode an engine's status."""
    return _decode(_ENGINE_DECODER, body)


def decode_service_status(body: bytes) -> Result[ServiceStatus, InvalidInputError]:
    """Decode a service server's status."""
    return _decode(_SERVICE_DECODER, body)


def decode_machine_list(body: bytes) -> Result[MachineList, InvalidInputError]:
    """Decode the platform's list of machines."""
    return _decode(_MACHINES_DECODER, body)


def decode_cache_events(body: bytes) -> Result[CacheEvents, InvalidInputError]:
    """Decode an engine's cache events."""
    return _decode(_CACHE_DECODER, body)
