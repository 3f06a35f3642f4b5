"""A server that costs little: enough of an engine or service to load a gateway."""

from collections.abc import Sequence
from typing import Any

import msgspec

from merlinstand.common.ids import RequestId
from merlinstand.kernel.effects import (
    Effect,
    Respond,
    RespondChunk,
    RespondEnd,
    RespondStart,
    SetTimer,
)
from merlinstand.kernel.events import (
    CallFailed,
    CallResponded,
    Event,
    RequestAborted,
    RequestReceived,
    Started,
    TimerFired,
)
from merlinstand_lab.capacity.hollow_orders import HollowOrders, VersionSeen
from merlinstand_lab.capacity.hollow_settings import HollowServerSettings

CHUNK_TIMER = "hollow.chunk"
HTTP_OK = 200
_STATUS_PATH = "/v1/status"
_COMPLETION_PATH = "/v1/completions"
_TEXT_OF_ONE_TOKEN = "abcd"


class _Stream(msgspec.Struct):
    """A completion under way."""

    request_id: RequestId
    caller_request_id: str
    next_token: int
    end_token: int


class HollowServer:
    """Answers requests at once, and completions as streams of equal chunks.

    Rollouts over many hollow engines load the coordinator as real ones do, without the time
    of a swap.
    """

    def __init__(self, settings: HollowServerSettings) -> None:
        """Make a server that has not started."""
        self._settings = settings
        self._streams: dict[RequestId, _Stream] = {}
        self._orders = HollowOrders(settings)

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Begin idle: without streams a server costs nothing."""
        del event, now
        return ()

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Answer a request, or send the next chunk of every stream."""
        if isinstance(event, RequestReceived):
            return self._answer(event, now)
        if isinstance(event, RequestAborted):
            self._streams.pop(event.request_id, None)
        elif isinstance(event, TimerFired):
            if event.name != CHUNK_TIMER:
                return self._orders.timer_fired(event.name)
            return self._chunk_tick()
        elif isinstance(event, CallResponded | CallFailed):
            return self._orders.store_answered(event)
        return ()

    def versions_seen(self) -> list[VersionSeen]:
        """Return the versions that became active since the last call."""
        return self._orders.take_seen()

    def _answer(self, event: RequestReceived, now: float) -> Sequence[Effect]:
        path = event.path.partition("?")[0]
        if path == _STATUS_PATH:
            return (_respond(event, self._orders.status(len(self._streams), now)),)
        if path == "/v1/orders":
            answer, effects = self._orders.order(event.body, now)
            return (*effects, _respond(event, answer))
        if path == "/v1/cache_events":
            return (_respond(event, b'{"events": [], "next": 0}'),)
        if path == _COMPLETION_PATH:
            return self._begin_stream(event)
        return (_respond(event, b'{"state": "ready"}'),)

    def _begin_stream(self, event: RequestReceived) -> Sequence[Effect]:
        request = msgspec.json.decode(event.body)
        clock = () if self._streams else (self._next_chunk_timer(),)
        self._streams[event.request_id] = _Stream(
            event.request_id, request["request_id"], 0, int(request["max_tokens"])
        )
        headers = {
            "Content-Type": "text/event-stream",
            "X-Request-Id": event.headers.get("x-request-id", ""),
        }
        return (RespondStart(event.request_id, HTTP_OK, headers), *clock)

    def _chunk_tick(self) -> Sequence[Effect]:
        if not self._streams:
            return ()
        return (*self._send_chunks(), self._next_chunk_timer())

    def _send_chunks(self) -> list[Effect]:
        effects: list[Effect] = []
        for stream in list(self._streams.values()):
            effects.extend(self._send_chunk(stream))
        return effects

    def _send_chunk(self, stream: _Stream) -> Sequence[Effect]:
        count = min(self._settings.tokens_per_chunk, stream.end_token - stream.next_token)
        first = stream.next_token
        stream.next_token += count
        ended = stream.next_token >= stream.end_token
        version = self._orders.active_version
        chunk: dict[str, Any] = {
            "request_id": stream.caller_request_id,
            "index": first,
            "token_count": count,
            "weight_version": version,
            "text": _TEXT_OF_ONE_TOKEN * count,
            "finish_reason": "length" if ended else None,
        }
        if ended:
            chunk["spans"] = [[version, 0, stream.end_token]]
        data = b"data: " + msgspec.json.encode(chunk) + b"\n\n"
        if not ended:
            return (RespondChunk(stream.request_id, data),)
        del self._streams[stream.request_id]
        return (
            RespondChunk(stream.request_id, data + b"data: [DONE]\n\n"),
            RespondEnd(stream.request_id),
        )

    def _next_chunk_timer(self) -> SetTimer:
        return SetTimer(CHUNK_TIMER, self._settings.chunk_interval_seconds)


def _respond(event: RequestReceived, body: bytes) -> Respond:
    headers = {
        "Content-Type": "application/json",
        "X-Request-Id": event.headers.get("x-request-id", ""),
    }
    return Respond(event.request_id, HTTP_OK, headers, body)
