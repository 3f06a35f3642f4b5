"""What daemons tell the control group about themselves, and what they are told."""

from collections.abc import Collection

import msgspec

from merlinstand.common.ids import BackendId
from merlinstand.common.packed_message import pack_message, unpack_message
from merlinstand.directory.backends import Backend
from merlinstand.directory.routes import RoutesDocument
from merlinstand.directory.suspect_news import SuspectsView


class DaemonReport(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon's own account, sent with every pull."""

    node_id: str
    name: str
    """The machine's name, as operators know it."""
    role: str
    zone: str = ""
    address: str = ""
    """Internal protocol, `ip:port`."""
    http_address: str = ""
    """Where its HTTP interface for other daemons listens; empty if it has none."""
    may_found: bool = False
    """Whether this is the very first start of the whole system."""
    is_leader: bool = False
    """Batch keepers: leads the keepers' group."""
    term: int = 0
    members: tuple[str, ...] = ()
    """Batch keepers: node ids of the group's voters, told by its leader."""
    wall_seconds: float = 0.0
    """The machine's time of day in seconds since 1970; 0 before it was read."""


class Keeper(msgspec.Struct, frozen=True, kw_only=True):
    """A batch keeper that reported lately."""

    node_id: str
    name: str
    zone: str
    address: str
    http_address: str
    is_leader: bool
    term: int
    has_copy: bool = False
    """Whether it holds the replicated jobs, as the group's leader tells."""


def keeper_of(report: DaemonReport, members: Collection[str] = ()) -> Keeper:
    """Make a keeper of its report.

    Args:
        report: What the keeper told of itself.
        members: Node ids of the group's members, as its leader tells them.
    """
    return Keeper(
        node_id=report.node_id,
        name=report.name,
        zone=report.zone,
        address=report.address,
        http_address=report.http_address,
        is_leader=report.is_leader,
        term=report.term,
        has_copy=report.node_id in members,
    )


class KeeperGroup(msgspec.Struct, frozen=True):
    """The founding members of the batch keepers' group; decided once and for all."""

    members: tuple[Keeper, ...]


class KeeperWishes(msgspec.Struct, frozen=True):
    """Node ids of keepers that operators want emptied."""

    retiring: tuple[str, ...] = ()


class DirectoryChanges(msgspec.Struct, frozen=True, omit_defaults=True):
    """Sections of the directory that the asker lacks; None for those it has."""

    document_revision: int = -1
    document: RoutesDocument | None = None
    backends_revision: int = -1
    backends: tuple[Backend, ...] | None = None
    """All of them, or those that changed since `backends_since`."""
    backends_since: int = -1
    """Revision that the changes begin at; -1 if all back ends are told."""
    backends_gone: tuple[BackendId, ...] = ()
    """Back ends that went since `backends_since`."""
    weights_revision: int = -1
    weights: dict[str, int] | None = None
    """Newest named weight version by model."""
    zones_revision: int = -1
    evacuated: tuple[str, ...] | None = None
    """Zones to whose servers nothing is sent, by the operators' order."""
    suspects_revision: int = -1
    suspects: SuspectsView | None = None
    """What is held against requests under which servers ended."""
    keepers_mark: str = ""
    keepers: tuple[Keeper, ...] | None = None
    founding: KeeperGroup | None = None
    """Sent along with `keepers`."""
    wishes: KeeperWishes = KeeperWishes()
    """Sent along with `keepers`."""
    controls: tuple[tuple[str, str], ...] | None = None
    """Node id and internal address of each control daemon; sent along with `keepers`."""


_CHANGES_DECODER = msgspec.msgpack.Decoder(DirectoryChanges)
_REPORT_DECODER = msgspec.msgpack.Decoder(DaemonReport)


def encode_changes(changes: DirectoryChanges) -> bytes:
    """Encode for `DirectoryUpdate.changes`; compressed, since it goes to every daemon."""
    return pack_message(msgspec.msgpack.encode(changes))


def decode_changes(data: bytes) -> DirectoryChanges:
    """Decode `DirectoryUpdate.changes`.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _CHANGES_DECODER.decode(unpack_message(data))


def encode_report(report: DaemonReport) -> bytes:
    """Encode for `DirectoryPull.report`."""
    return msgspec.msgpack.encode(report)


def decode_report(data: bytes) -> DaemonReport:
    """Decode `DirectoryPull.report`.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _REPORT_DECODER.decode(data)
