"""Everything that can happen to a reducer.

A host makes them and hands them over one at a time. Completions (`RecordsSynced`, `CallResponded`,
...) answer an effect by the token or id that it gave.
"""

import enum
from typing import Any

import msgspec

from merlinstand.common.ids import CallId, NodeId, RequestId


class Event(msgspec.Struct, frozen=True, gc=False):
    """Base of all events."""


class Started(Event, frozen=True):
    """The process began; carries what survived on disk."""

    node_id: NodeId
    incarnation: int
    """Storage incarnation: a new random number whenever the data folder was empty."""
    seed: int
    """Seed for every random choice of this process."""
    snapshot: bytes | None = None
    """Last durable snapshot, if any."""
    records: tuple[bytes, ...] = ()
    """Durable journal records after the snapshot, oldest first."""


class TimerFired(Event, frozen=True):
    """A timer set with `SetTimer` came due."""

    name: str


class MessageReceived(Event, frozen=True):
    """A message of the internal protocol arrived (at most once, in any order)."""

    sender: NodeId
    message: Any
    """An instance of a class registered in `merlinstand.protocol.registry`."""


class RecordsSynced(Event, frozen=True):
    """All records of the `AppendRecords` with this token are durable."""

    token: int


class SnapshotSaved(Event, frozen=True):
    """The snapshot of the `SaveSnapshot` with this token is durable."""

    token: int


class RequestReceived(Event, frozen=True):
    """An HTTP request arrived whole at this process."""

    request_id: RequestId
    """Unique within this process's run; names the request in `Respond…` effects."""
    method: str
    path: str
    """Path with query string, percent-encoded as received."""
    headers: dict[str, str]
    """Header names in lower case."""
    body: bytes
    peer: str = ""
    """The sender's IP address."""


class RequestAborted(Event, frozen=True):
    """The HTTP client went away before its response ended."""

    request_id: RequestId


class CallResponded(Event, frozen=True):
    """The whole response of a `StartCall` with `stream=False` arrived, length checked."""

    call_id: CallId
    status: int
    headers: dict[str, str]
    body: bytes


class CallHeaders(Event, frozen=True):
    """Status and headers of a streamed call arrived."""

    call_id: CallId
    status: int
    headers: dict[str, str]


class CallChunk(Event, frozen=True):
    """Body bytes of a streamed call arrived; chunk borders carry no meaning."""

    call_id: CallId
    data: bytes


class CallEnded(Event, frozen=True):
    """A streamed call's body came to its declared end."""

    call_id: CallId


class CallPhase(enum.Enum):
    """How far a failed call had come."""

    CONNECT = "connect"
    """No byte of the request left this process: it was certainly not run."""
    SENT = "sent"
    """Some byte may have left; no response header arrived: it may have run."""
    BODY = "body"
    """Response headers arrived, the body did not end."""


class CallFailed(Event, frozen=True):
    """A call ended without a whole response; its connection was closed."""

    call_id: CallId
    phase: CallPhase
    reason: str
    """Short code for logs: `refused`, `timeout`, `reset`, `truncated`."""


class WallClockRead(Event, frozen=True):
    """The machine's time of day, as `ReadWallClock` asked."""

    wall_seconds: float
    """Seconds since 1970; wrong where somebody set the clock."""


class HostLoad(Event, frozen=True):
    """How near this process is to its bounds, once a second while it is near one of them.

    Hosts whose settings give no bounds never say it.
    """

    buffered_share: float
    """Bytes kept for peers that have not read them yet, against their bound."""
    connection_share: float
    """Open connections of callers, against as many as may be open."""

    @property
    def share(self) -> float:
        """Against the bound that is nearest."""
        return max(self.buffered_share, self.connection_share)


class StopRequested(Event, frozen=True):
    """A planned stop was asked for (SIGTERM). Answer with `StopProcess` when drained."""
