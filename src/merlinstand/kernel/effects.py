"""Effects: the I/O operations that a reducer requests from its host, as plain data.

A host performs the effects of one event in order, without waiting for their completion. The result
of an effect, if it has one, arrives as an event (see `events`).
"""

from typing import Any

import msgspec

from merlinstand.common.ids import CallId, NodeId, RequestId


class Effect(msgspec.Struct, frozen=True, gc=False):
    """Base of all effects."""


class SetTimer(Effect, frozen=True):
    """Fire `TimerFired(name)` after a delay; replaces a pending timer of that name."""

    name: str
    delay_seconds: float


class CancelTimer(Effect, frozen=True):
    """Cancel a pending timer; no effect if there is none."""

    name: str


class SendMessage(Effect, frozen=True):
    """Send an internal message; it may be lost, delayed, duplicated or reordered."""

    receiver: NodeId
    message: Any
    """An instance of a class registered in `merlinstand.protocol.registry`."""


class LearnAddress(Effect, frozen=True):
    """Set the address (`ip:port`) at which the transport connects to a node."""

    node_id: NodeId
    address: str


class AppendRecords(Effect, frozen=True):
    """Append records to the journal and sync it to disk; completes with `RecordsSynced(token)`."""

    records: tuple[bytes, ...]
    token: int


class SaveSnapshot(Effect, frozen=True):
    """Replace the snapshot durably; completes with `SnapshotSaved(token)`.

    The journal is replaced atomically with it: `records` become its entire content.
    """

    data: bytes
    records: tuple[bytes, ...]
    token: int


class Respond(Effect, frozen=True):
    """Send a complete HTTP response."""

    request_id: RequestId
    status: int
    headers: dict[str, str]
    body: bytes


class BoundRequests(Effect, frozen=True):
    """Set the limits for HTTP clients from now on; 0 selects the host's own limit."""

    maximum_head_bytes: int
    """Maximum size of the request line and headers; capped at the host's own limit."""
    maximum_body_bytes: int
    """Maximum size of a body; capped at the host's own limit."""
    head_timeout_seconds: float
    """Maximum time from the first byte of a request to the end of its headers."""
    idle_connection_seconds: float
    """Idle timeout between requests on a connection. It may exceed the host's own limit, because
    clients rely on it."""


class RespondStart(Effect, frozen=True):
    """Send the status and headers of a streamed HTTP response."""

    request_id: RequestId
    status: int
    headers: dict[str, str]


class RespondChunk(Effect, frozen=True):
    """Send body bytes of a streamed response."""

    request_id: RequestId
    data: bytes


class RespondEnd(Effect, frozen=True):
    """End a streamed response; `whole=False` aborts it, so that the client detects truncation."""

    request_id: RequestId
    whole: bool = True


class StartCall(Effect, frozen=True):
    """Send an HTTP request.

    The host never retries: an effect sends at most one request. With `stream=False` exactly one of
    `CallResponded` and `CallFailed` follows. With `stream=True` the events are `CallHeaders`, any
    number of `CallChunk`, then `CallEnded`; `CallFailed` may end the call at any point.
    """

    call_id: CallId
    address: str
    """`ip:port` of the server."""
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout_seconds: float
    """Timeout of the response (`stream=False`); or of its head, and then between pieces of the body
    (`stream=True`)."""
    stream: bool = False
    is_event_stream: bool = False
    """Whether the body of a response with status 200 is a stream of server-sent events. Then the
    timeout applies between the ends of events, or from the beginning of one to its end."""
    read_interval_seconds: float = 0.0
    """Minimum time between reads of a streamed body; bytes received in between are delivered as one
    `CallChunk`. Hosts on which reads are cheap may ignore it."""
    fresh_connection: bool = False
    """Use a new connection instead of a pooled one (for requests that must not be repeated)."""
    host: str = ""
    """Value of the `Host` header; `address` if empty."""
    echo_header: str = ""
    """Lower-case name of a request header that a 2xx response must return unchanged. With another
    value the response belongs to another request: its connection is closed and the call fails."""
    accepts_unframed: bool = False
    """Accept a response without a declared length as complete when the server closes the connection
    cleanly."""
    kind: str = ""
    """Label under which the call's bytes are counted; the prefix of the call id if empty. Must be
    one of a small fixed set."""
    connect_seconds: float = 0.0
    """Connect timeout, if shorter than the host's own; 0 for the host's own. A call that exceeds
    the timeout fails in phase `CONNECT`."""


class CancelCall(Effect, frozen=True):
    """Cancel a call: its connection is closed and no further event arrives for it."""

    call_id: CallId


class LogEvent(Effect, frozen=True):
    """Write one structured log line."""

    name: str
    """Dotted event name, for example `lease.granted`."""
    fields: dict[str, Any] = {}
    severity: str = "info"


class WriteRecord(Effect, frozen=True):
    """Append one JSON line to the record file of a stand-in (test environments only)."""

    stream: str
    """File name without suffix, for example `engine-hall-a-1`."""
    record: Any
    """A msgspec Struct."""


class CountMetric(Effect, frozen=True):
    """Add to a counter exported at `/metrics`."""

    name: str
    amount: float = 1.0
    labels: dict[str, str] = {}


class SetGauge(Effect, frozen=True):
    """Set a gauge exported at `/metrics`."""

    name: str
    value: float
    labels: dict[str, str] = {}


class ReadWallClock(Effect, frozen=True):
    """Read the machine's wall clock; the result arrives as `WallClockRead`."""


class StopProcess(Effect, frozen=True):
    """Exit this process after all previous effects are performed."""

    exit_code: int = 0
