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
    """Replace the routes document, which was validated, if the new version is higher."""

    document: RoutesDocument
    raw: bytes
    """The operator's original bytes, returned on reads."""


class PutBackend(msgspec.Struct, frozen=True, tag="put_backend"):
    """Register a backend, or update its registration from a heartbeat."""

    backend: Backend
    sequence: int


class PutBackends(msgspec.Struct, frozen=True, tag="put_backends"):
    """Several `PutBackend` in one log entry."""

    changes: tuple[PutBackend, ...]


class RemoveBackend(msgspec.Struct, frozen=True, tag="remove_backend"):
    """Remove a backend that deregistered."""

    backend_id: BackendId


class ExpireBackend(msgspec.Struct, frozen=True, tag="expire_backend"):
    """Remove a backend that has sent no heartbeat for the expiry time; it may register again."""

    backend_id: BackendId


class AssumeCold(msgspec.Struct, frozen=True, tag="take_for_cold"):
    """Mark backends that missed heartbeats as cold until they report being warm.

    A cold backend may be limited to a low request rate, as after a start.
    """

    backend_ids: tuple[BackendId, ...]


class PublishWeights(msgspec.Struct, frozen=True, tag="name_weights"):
    """Record the weight version that a trainer published."""

    model: str
    version: int


class BootstrapKeepers(msgspec.Struct, frozen=True, tag="found_keepers"):
    """Set the initial members of the batch keepers' group; only the first such command counts."""

    group: KeeperGroup


class RetireKeeper(msgspec.Struct, frozen=True, tag="retire_keeper"):
    """Retire a batch keeper, on an operator's request."""

    node_id: str
    name: str
    """Machine name, by which the operator queries the progress of the retirement."""


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
    """Encode a command as a log entry's payload (MessagePack)."""
    return msgspec.msgpack.encode(command)


def decode_command(data: bytes) -> DirectoryCommand:
    """Decode a log entry.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _DECODER.decode(data)
