"""What a worker process hosts, and what is said on its standard input and output."""

import enum

import msgspec

from merlinstand.runtime.host_settings import HostSettings
from merlinstand_lab.capacity.hollow_caller import HollowCallerCounts
from merlinstand_lab.capacity.hollow_orders import VersionSeen
from merlinstand_lab.capacity.observed import Counts, RevisionSeen
from merlinstand_lab.capacity.session_daemon import LoadCounts


class HostedKind(enum.Enum):
    """Which reducer is hosted."""

    CONTROL = "control"
    GATEWAY = "gateway"
    COORDINATOR = "coordinator"
    SESSION = "session"
    HOLLOW_SERVER = "hollow_server"
    HOLLOW_CALLER = "hollow_caller"
    ENGINE = "engine"
    SERVICE = "service"
    WEIGHT_STORE = "weight_store"


class HostedSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One hosted reducer."""

    kind: HostedKind
    host: HostSettings
    settings: msgspec.Raw
    """JSON of the kind's settings Struct."""


class WorkerSpec(msgspec.Struct, frozen=True, kw_only=True):
    """All that one worker process hosts."""

    hosted: tuple[HostedSpec, ...]


class Report(msgspec.Struct, frozen=True, tag="report"):
    """Order: answer with a `WorkerReport`."""


class Block(msgspec.Struct, frozen=True, tag="block"):
    """Order: some hosted nodes drop every message to and from some nodes."""

    node_ids: tuple[str, ...]
    """Hosted nodes that drop; empty for all."""
    peers: tuple[str, ...]
    """Nodes they no longer reach; empty to reach all again."""


class Kill(msgspec.Struct, frozen=True, tag="kill"):
    """Order: end hosted nodes at once, as a crash does."""

    node_ids: tuple[str, ...]


class Start(msgspec.Struct, frozen=True, tag="start"):
    """Order: start killed nodes again on their data folders."""

    node_ids: tuple[str, ...]
    lose_disk: bool = False


AnyOrder = Report | Block | Kill | Start


class Traffic(msgspec.Struct, frozen=True, kw_only=True):
    """Totals of one host's internal transport."""

    node_id: str
    messages_sent: int
    messages_received: int
    bytes_sent: int
    bytes_received: int


class WorkerReport(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to every order."""

    at_seconds: float
    """`CLOCK_MONOTONIC` when the report was made."""
    counts: tuple[Counts, ...] = ()
    traffic: tuple[Traffic, ...] = ()
    loads: dict[str, LoadCounts] = {}
    callers: dict[str, HollowCallerCounts] = {}
    seen: tuple[RevisionSeen, ...] = ()
    versions: dict[str, tuple[VersionSeen, ...]] = {}
    http_addresses: dict[str, str] = {}
