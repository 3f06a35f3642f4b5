"""Events: the inputs of a reducer.

A host creates events and passes them to the reducer one at a time. Completions (`RecordsSynced`,
`CallResponded`, ...) carry the token or id of the effect that they complete.
"""

import enum
from typing import Any

import msgspec

from merlinstand.common.ids import CallId, NodeId, RequestId


class Event(msgspec.Struct, frozen=True, gc=False):
    """Base of all events."""


class Started(Event, frozen=True):
    """The process started; carries the state recovered from disk."""

    node_id: NodeId
    incarnation: int
    """Storage incarnation: a random number, generated when the data folder is empty."""
    seed: int
    """Seed of all random choices of this process."""
    snapshot: bytes | None = None
    """Last durable snapshot, if any."""
    records: tuple[bytes, ...] = ()
    """Durable journal records after the snapshot, oldest first."""


class TimerFired(Event, frozen=True):
    """A timer set with `SetTimer` expired."""

    name: str


class MessageReceived(Event, frozen=True):
    """A message of the internal protocol arrived (delivered at most once, in any order)."""

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
    """A complete HTTP request arrived."""

    request_id: RequestId
    """Unique within this run of the process; identifies the request in `Respond…` effects."""
    method: str
    path: str
    """Path with query string, with the percent-encoding as received."""
    headers: dict[str, str]
    """Header names in lower case."""
    body: bytes
    peer: str = ""
    """The sender's IP address."""


class ReadinessRequested(Event, frozen=True):
    """A health check asks whether new connections may be sent; the status of `Respond` tells."""

    request_id: RequestId
    """As in `RequestReceived`."""


class RequestAborted(Event, frozen=True):
    """The HTTP client disconnected before the end of its response."""

    request_id: RequestId


class CallResponded(Event, frozen=True):
    """The complete response of a `StartCall` with `stream=False` arrived, with verified length."""

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
    """Body bytes of a streamed call arrived; chunk boundaries have no meaning."""

    call_id: CallId
    data: bytes


class CallEnded(Event, frozen=True):
    """The body of a streamed call is complete: its declared end was received."""

    call_id: CallId


class CallPhase(enum.Enum):
    """The phase in which a call failed."""

    CONNECT = "connect"
    """No byte of the request was sent: it was certainly not executed."""
    SENT = "sent"
    """Bytes may have been sent, but no response header arrived: it may have been executed."""
    BODY = "body"
    """Response headers arrived, but the body is incomplete."""


class CallFailed(Event, frozen=True):
    """A call ended without a complete response; its connection was closed."""

    call_id: CallId
    phase: CallPhase
    reason: str
    """Short code for logs, such as `refused`, `timeout`, `reset` or `truncated`."""


class WallClockRead(Event, frozen=True):
    """The machine's wall clock time, requested by `ReadWallClock`."""

    wall_seconds: float
    """Seconds since 1970. It may be wrong and may jump when the clock is set."""


class HostLoad(Event, frozen=True):
    """Resource usage of this process relative to its limits, once a second while near a limit.

    Hosts without configured limits never send it.
    """

    buffered_share: float
    """Bytes buffered for peers that have not read them yet, as a share of their limit."""
    connection_share: float
    """Open connections of callers, as a share of their limit."""

    @property
    def share(self) -> float:
        """The larger of the two shares."""
        return max(self.buffered_share, self.connection_share)


class StopRequested(Event, frozen=True):
    """A graceful shutdown was requested (SIGTERM); the reducer sends `StopProcess` when drained."""
