"""Commands of the directory's log."""

import msgspec

from merlinstand.common.ids import BackendId, ContentDigest
from merlinstand.directory.backends import Backend
from merlinstand.directory.routes import RoutesDocument
from merlinstand.directory.suspect_news import ServerEnd
from merlinstand.directory.view import KeeperGroup
from merlinstand.metering.usage import UsageReport


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


class TakeForCold(msgspec.Struct, frozen=True, tag="take_for_cold"):
    """Back ends whose heartbeats stayed away: they may be cold when they are back."""

    backend_ids: tuple[BackendId, ...]


class NameWeights(msgspec.Struct, frozen=True, tag="name_weights"):
    """A trainer published a weight version."""

    model: str
    version: int


class FoundKeepers(msgspec.Struct, frozen=True, tag="found_keepers"):
    """Fix the founding members of the batch keepers' group; only the first one counts."""

    group: KeeperGroup


class RetireKeeper(msgspec.Struct, frozen=True, tag="retire_keeper"):
    """An operator wants a keeper emptied."""

    node_id: str
    name: str
    """The machine's name, by which the operator asks again."""


class EvacuateZone(msgspec.Struct, frozen=True, tag="evacuate_zone"):
    """An operator wants nothing more sent to the servers of a zone."""

    zone: str


class TakeBackZone(msgspec.Struct, frozen=True, tag="take_back_zone"):
    """An operator wants the servers of a zone used again."""

    zone: str


class NoteUsage(msgspec.Struct, frozen=True, tag="note_usage"):
    """Gateways told what they counted."""

    reports: tuple[UsageReport, ...]


class BeginMetering(msgspec.Struct, frozen=True, tag="begin_metering"):
    """The first window whose use is told; only the first one counts."""

    window: int


class FixUsage(msgspec.Struct, frozen=True, tag="fix_usage"):
    """A window's counts change no more."""

    window: int


class SettleUsage(msgspec.Struct, frozen=True, tag="settle_usage"):
    """A fixed window was told, or it is too late for that."""

    window: int


class NoteTurn(msgspec.Struct, frozen=True, tag="note_turn"):
    """The leader is about to call the platform for a duty; noted before it does."""

    subject: str
    holder: str


class NoteEnds(msgspec.Struct, frozen=True, tag="note_ends"):
    """A daemon saw servers end, or requests served whole that were in flight at such an end."""

    ends: tuple[ServerEnd, ...]
    served: tuple[ContentDigest, ...]


class BeginTrial(msgspec.Struct, frozen=True, tag="begin_trial"):
    """A doubtful request may be sent once, by one daemon."""

    content: ContentDigest
    asker: str


class EndTrial(msgspec.Struct, frozen=True, tag="end_trial"):
    """A trial's outcome was not told in time."""

    number: int


class AllowTrials(msgspec.Struct, frozen=True, tag="allow_trials"):
    """The quarantine of some requests is over."""

    contents: tuple[ContentDigest, ...]


DirectoryCommand = (
    PutDocument
    | PutBackend
    | PutBackends
    | RemoveBackend
    | ExpireBackend
    | TakeForCold
    | NameWeights
    | FoundKeepers
    | RetireKeeper
    | EvacuateZone
    | TakeBackZone
    | NoteUsage
    | BeginMetering
    | FixUsage
    | SettleUsage
    | NoteTurn
    | NoteEnds
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
