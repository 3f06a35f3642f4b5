"""What a worker process hosts, and what it reports."""

import enum

import msgspec

from merlinstand.runtime.host_settings import HostSettings
from merlinstand_lab.capacity.observed import Counts


class HostedKind(enum.Enum):
    """Which reducer is hosted."""

    CONTROL = "control"
    SESSION = "session"


class HostedSpec(msgspec.Struct, frozen=True, kw_only=True):
    """One hosted reducer."""

    kind: HostedKind
    host: HostSettings
    settings: msgspec.Raw
    """JSON of the kind's settings Struct."""


class WorkerSpec(msgspec.Struct, frozen=True, kw_only=True):
    """All that one worker process hosts."""

    hosted: tuple[HostedSpec, ...]


class Traffic(msgspec.Struct, frozen=True, kw_only=True):
    """Totals of one host's internal transport."""

    messages_sent: int
    messages_received: int
    bytes_sent: int
    bytes_received: int


class WorkerReport(msgspec.Struct, frozen=True, kw_only=True):
    """Totals of all that a worker hosts."""

    counts: tuple[Counts, ...]
    traffic: tuple[Traffic, ...]
