"""Simulated engines of a coordinator under test: status responses and streams."""

import json
from typing import Any

import msgspec

from merlinstand.common.ids import CallId
from merlinstand.configuration.objects import (
    Pool,
)
from merlinstand.kernel.effects import (
    StartCall,
)
from merlinstand.kernel.events import (
    CallChunk,
    CallEnded,
    CallFailed,
    CallHeaders,
    CallPhase,
    CallResponded,
    Event,
)
from tests.coordinator.names import MODEL


class Stream(msgspec.Struct):
    """A completion call from the engine's side."""

    call_id: CallId
    address: str
    request: dict[str, Any]
    spans: list[list[int]]
    ended: bool = False

    @property
    def request_id(self) -> str:
        return str(self.request["request_id"])

    @property
    def token_count(self) -> int:
        return self.spans[-1][2] if self.spans else 0


class EngineSide:
    """Simulates the engines of one pool; a base class of `CoordinatorDriver`."""

    def __init__(self, pool: Pool) -> None:
        self.pool = pool
        self.now = 100.0
        self.streams: dict[CallId, Stream] = {}
        self.status_of: dict[str, dict[str, Any]] = {}

    def send(self, event: Event) -> None:
        """Deliver an event to the coordinator."""
        raise NotImplementedError

    def settle(self) -> None:
        """Sync the disk and send all responses of the control group."""
        raise NotImplementedError

    def serve(self, backend_id: str, version: int, **changes: Any) -> None:
        """Set an engine's status."""
        loaded = [{"version": version, "digest": f"digest-{version}"}] if version else []
        fields = {
            "backend_id": backend_id,
            "state": "ready",
            "model": MODEL,
            "active_version": version,
            "active_digest": f"digest-{version}" if version else "",
            "loaded": loaded,
            "incarnation": 1,
        }
        self.status_of[backend_id] = {**fields, **changes}

    def serve_all(self, version: int) -> None:
        """Set the status of every engine to serve a version."""
        for backend in self.pool.backends:
            self.serve(backend.backend_id, version)

    def backend_of(self, address: str) -> str:
        return next(b.backend_id for b in self.pool.backends if b.address == address)

    def _status(self, call: StartCall) -> list[Event]:
        status = self.status_of.get(self.backend_of(call.address))
        if status is None:
            return [CallFailed(call.call_id, CallPhase.CONNECT, "refused")]
        body = json.dumps({**status, "reported_at": self.now}).encode()
        return [CallResponded(call.call_id, 200, {}, body)]

    @staticmethod
    def _open(call: StartCall) -> Stream:
        request = json.loads(call.body)
        resume = request.get("resume")
        spans = [list(span) for span in resume["spans"]] if resume else []
        return Stream(call.call_id, call.address, request, spans)

    def open_streams(self) -> list[Stream]:
        """Return the completion calls in progress, oldest first."""
        return [stream for stream in self.streams.values() if not stream.ended]

    def accept(self, stream: Stream) -> None:
        """Send the response headers of a stream."""
        self.send(CallHeaders(stream.call_id, 200, {}))

    def chunk(self, stream: Stream, tokens: int, version: int) -> None:
        """Send one chunk of a stream."""
        first = stream.token_count
        if stream.spans and stream.spans[-1][0] == version:
            stream.spans[-1][2] = first + tokens
        else:
            stream.spans.append([version, first, first + tokens])
        self.send_chunk(stream, first, tokens, version)

    def send_chunk(self, stream: Stream, index: int, tokens: int, version: int) -> None:
        """Send a chunk without checking that it is valid."""
        body = {
            "request_id": stream.request_id,
            "index": index,
            "token_count": tokens,
            "weight_version": version,
            "text": f"[{index}-{index + tokens}@{version}]",
            "finish_reason": None,
        }
        self.send_data(stream, body)

    def send_data(self, stream: Stream, body: dict[str, Any]) -> None:
        """Send one server-sent event, split into two pieces."""
        data = b"data: " + json.dumps(body).encode() + b"\n\n"
        middle = len(data) // 2
        self.send(CallChunk(stream.call_id, data[:middle]))
        self.send(CallChunk(stream.call_id, data[middle:]))

    def end(
        self, stream: Stream, reason: str = "stop", spans: list[list[int]] | None = None
    ) -> None:
        """Send the last event of a stream and close it."""
        stream.ended = True
        body = {
            "request_id": stream.request_id,
            "index": stream.token_count,
            "token_count": 0,
            "weight_version": stream.spans[-1][0] if stream.spans else 0,
            "text": "",
            "finish_reason": reason,
            "spans": stream.spans if spans is None else spans,
        }
        self.send_data(stream, body)
        self.send(CallChunk(stream.call_id, b"data: [DONE]\n\n"))
        self.send(CallEnded(stream.call_id))

    def crash(self, stream: Stream) -> None:
        """Fail the connection of a stream."""
        stream.ended = True
        self.send(CallFailed(stream.call_id, CallPhase.BODY, "reset"))

    def complete(self, stream: Stream, version: int, tokens: int = 10) -> None:
        """Send a complete sample."""
        self.chunk(stream, tokens, version)
        self.end(stream)

    def complete_all(self, version: int) -> None:
        """Send complete samples for all streams in progress."""
        for stream in self.open_streams():
            self.complete(stream, version)
        self.settle()
