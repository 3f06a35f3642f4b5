"""Everything a reducer can ask its host to do, as plain data.

A host performs the effects of one reduction in their order and waits for none of them: what comes
of one arrives as an event (`events`), where there is anything to tell.
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
    """Forget a pending timer; harmless if there is none."""

    name: str


class SendMessage(Effect, frozen=True):
    """Send an internal message; may be lost, delayed, doubled or overtaken."""

    receiver: NodeId
    message: Any
    """An instance of a class registered in `merlinstand.protocol.registry`."""


class LearnAddress(Effect, frozen=True):
    """Tell the transport where a node listens (`ip:port`)."""

    node_id: NodeId
    address: str


class AppendRecords(Effect, frozen=True):
    """Append records to the journal and sync; then `RecordsSynced(token)`."""

    records: tuple[bytes, ...]
    token: int


class SaveSnapshot(Effect, frozen=True):
    """Replace the snapshot durably, then `SnapshotSaved(token)`.

    The journal is cut atomically with it: `records` become the journal's whole content.
    """

    data: bytes
    records: tuple[bytes, ...]
    token: int


class Respond(Effect, frozen=True):
    """Answer an HTTP request whole."""

    request_id: RequestId
    status: int
    headers: dict[str, str]
    body: bytes


class BoundRequests(Effect, frozen=True):
    """Bound what HTTP clients may send from now on; a bound of 0 leaves that to the host."""

    maximum_head_bytes: int
    """Longest head, request line included; never above the host's own bound."""
    maximum_body_bytes: int
    """Longest body; never above the host's own bound."""
    head_timeout_seconds: float
    """Longest time from a request's first byte to the end of its head."""
    idle_connection_seconds: float
    """Longest silence between requests on a connection; may exceed the host's own, since clients
    count on it."""


class RespondStart(Effect, frozen=True):
    """Begin a streamed HTTP response."""

    request_id: RequestId
    status: int
    headers: dict[str, str]


class RespondChunk(Effect, frozen=True):
    """Send body bytes of a streamed response."""

    request_id: RequestId
    data: bytes


class RespondEnd(Effect, frozen=True):
    """End a streamed response; `whole=False` breaks it so the client sees a truncation."""

    request_id: RequestId
    whole: bool = True


class StartCall(Effect, frozen=True):
    """Send an HTTP request to an outside system.

    The host never resends: one effect leads to at most one request on the wire. With
    `stream=False` exactly one of `CallResponded` and `CallFailed` follows; with
    `stream=True` `CallHeaders`, any `CallChunk`, then `CallEnded` or `CallFailed`.
    """

    call_id: CallId
    address: str
    """`ip:port` of the server."""
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout_seconds: float
    """Longest wait for a response (`stream=False`) or between bytes (`stream=True`)."""
    stream: bool = False
    read_interval_seconds: float = 0.0
    """Shortest time between reads of a stream's body: bytes that arrive meanwhile come as one
    `CallChunk`. Hosts without a cost for each read may ignore it."""
    fresh_connection: bool = False
    """Use a new connection instead of a pooled one (non-repeatable requests)."""
    host: str = ""
    """`Host` header; the address if empty."""
    echo_header: str = ""
    """A header of the request, in lower case, that a 2xx response must carry back unchanged: an
    answer that belongs to another request ends its connection and fails the call."""
    accepts_unframed: bool = False
    """Take a body without length as whole when its connection ends in order."""
    kind: str = ""
    """What its bytes are counted as; the call id's prefix if empty. One of a few fixed names."""
    connect_seconds: float = 0.0
    """Longest wait for a new connection to come up, if shorter than the host's own limit; 0 for
    that one alone. A call that ends so fails in its `CONNECT` phase."""


class CancelCall(Effect, frozen=True):
    """Give up a call: its connection is closed and no further event arrives for it."""

    call_id: CallId


class LogEvent(Effect, frozen=True):
    """Write one structured log line."""

    name: str
    """Dotted event name, for example `lease.granted`."""
    fields: dict[str, Any] = {}
    severity: str = "info"


class WriteRecord(Effect, frozen=True):
    """Append one JSON line to a stand-in's own record file (laboratory only)."""

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
    """Tell the machine's time of day as `WallClockRead`; it may be wrong, and may jump."""


class StopProcess(Effect, frozen=True):
    """End this process after the effects before it are done."""

    exit_code: int = 0
