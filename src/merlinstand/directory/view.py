"""Messages between daemons and the control group: daemon reports and changes of the directory."""

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import DaemonReport, Keeper, KeeperGroup, KeeperRetirements
from merlinstand.cluster.routes import RoutesDocument
from merlinstand.common.ids import BackendId
from merlinstand.common.packed_message import compress_message, decompress_message
from merlinstand.quarantine.messages import SuspectsView


class DirectoryChanges(msgspec.Struct, frozen=True, omit_defaults=True):
    """Sections of the directory that a daemon lacks; a section that the daemon has is None."""

    document_revision: int = -1
    document: RoutesDocument | None = None
    backends_revision: int = -1
    backends: tuple[Backend, ...] | None = None
    """All backends, or those that were added or changed since `backends_since`."""
    backends_since: int = -1
    """Revision that the changes are relative to; -1 if all backends are sent."""
    backends_removed: tuple[BackendId, ...] = msgspec.field(default=(), name="backends_gone")
    """Backends that were removed since `backends_since`."""
    weights_revision: int = -1
    weights: dict[str, int] | None = None
    """Newest published weight version by model."""
    zones_revision: int = -1
    evacuated: tuple[str, ...] | None = None
    """Zones that operators evacuated: their backends get no requests."""
    suspects_revision: int = -1
    suspects: SuspectsView | None = None
    """Requests suspected of crashing backends."""
    keepers_mark: str = ""
    keepers: tuple[Keeper, ...] | None = None
    founding: KeeperGroup | None = None
    """Sent along with `keepers`."""
    keeper_retirements: KeeperRetirements = msgspec.field(
        default=KeeperRetirements(), name="wishes"
    )
    """Sent along with `keepers`."""
    control_daemons: tuple[tuple[str, str], ...] | None = msgspec.field(
        default=None, name="controls"
    )
    """Node id and internal address of each control daemon; sent along with `keepers`."""


_CHANGES_DECODER = msgspec.msgpack.Decoder(DirectoryChanges)
_REPORT_DECODER = msgspec.msgpack.Decoder(DaemonReport)


def encode_changes(changes: DirectoryChanges) -> bytes:
    """Encode as compressed MessagePack for `DirectoryUpdate.changes`, sent to every daemon."""
    return compress_message(msgspec.msgpack.encode(changes))


def decode_changes(data: bytes) -> DirectoryChanges:
    """Decode `DirectoryUpdate.changes`.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _CHANGES_DECODER.decode(decompress_message(data))


def encode_report(report: DaemonReport) -> bytes:
    """Encode as MessagePack for `DirectoryPull.report`."""
    return msgspec.msgpack.encode(report)


def decode_report(data: bytes) -> DaemonReport:
    """Decode `DirectoryPull.report`.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _REPORT_DECODER.decode(data)
