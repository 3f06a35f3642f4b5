"""Commands of the directory's log."""

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import KeeperGroup
from merlinstand.cluster.routes import RoutesDocument
from merlinstand.common.ids import BackendId
from merlinstand.evacuation.commands import EndEvacuation, EvacuateZone
from merlinstand.fenced_calls.commands import RecordCallIntent
from merlinstand.metering.commands import (
    BeginMetering,
    CloseUsageWindow,
    CompleteUsageWindow,
    RecordUsage,
)
from merlinstand.quarantine.commands import AllowTrials, BeginTrial, EndTrial, RecordCrashes


class PutDocument(msgspec.Struct, frozen=True, tag="put_document"):
    """Make a valid document the newest, if its version is higher."""

    document: RoutesDocument
    raw: bytes
    """The operator's own bytes, given back on reads."""


class PutBackend(msgspec.Struct, frozen=True, tag="put_backend"):
    """Register a back end, or note what its heartbeat changed."""

    backend: Backend
    sequence: int


class PutBackends(msgspec.Struct, frozen=True, tag="put_backends"):
    """Many of them at once."""

    changes: tuple[PutBackend, ...]


class RemoveBackend(msgspec.Struct, frozen=True, tag="remove_backend"):
    """A back end said that it is gone."""

    backend_id: BackendId


class ExpireBackend(msgspec.Struct, frozen=True, tag="expire_backend"):
    """A back end has been silent for long."""

    backend_id: BackendId


class AssumeCold(msgspec.Struct, frozen=True, tag="take_for_cold"):
    """Back ends whose heartbeats stayed away: they may be cold when they are back."""

    backend_ids: tuple[BackendId, ...]


class PublishWeights(msgspec.Struct, frozen=True, tag="name_weights"):
    """A trainer published a weight version."""

    model: str
    version: int


class BootstrapKeepers(msgspec.Struct, frozen=True, tag="found_keepers"):
    """Fix the founding members of the batch keepers' group; only the first one counts."""

    group: KeeperGroup


class RetireKeeper(msgspec.Struct, frozen=True, tag="retire_keeper"):
    """An operator wants a keeper emptied."""

    node_id: str
    name: str
    """The machine's name, by which the operator asks again."""


DirectoryCommand = (
    PutDocument
    | PutBackend
    | PutBackends
    | RemoveBackend
    | ExpireBackend
    | AssumeCold
    | PublishWeights
    | BootstrapKeepers
    | RetireKeeper
    | EvacuateZone
    | EndEvacuation
    | RecordUsage
    | BeginMetering
    | CloseUsageWindow
    | CompleteUsageWindow
    | RecordCallIntent
    | RecordCrashes
    | BeginTrial
    | EndTrial
    | AllowTrials
)

_DECODER = msgspec.msgpack.Decoder(DirectoryCommand)


def encode_command(command: DirectoryCommand) -> bytes:
    """Encode for the log."""
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> DirectoryCommand:
    """Decode a log entry.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _DECODER.decode(data)
