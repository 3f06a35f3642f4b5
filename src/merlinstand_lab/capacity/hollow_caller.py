"""Callers that load one address at a steady rate."""

from collections.abc import Sequence

import msgspec

from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import Effect, SetTimer, StartCall
from merlinstand.kernel.events import (
    CallChunk,
    CallEnded,
    CallFailed,
    CallHeaders,
    CallResponded,
    Event,
    Started,
    TimerFired,
)
from merlinstand_lab.capacity.hollow_settings import HollowCallerSettings

LOAD_TIMER = "hollow.load"
HTTP_OK = 200
CALLER_NAME = "hollow"
"""Name under which an operator puts the limits of hollow callers."""
_COMPLETION_PATH = "/v1/completions"


class HollowCallerCounts(msgspec.Struct, frozen=True, kw_only=True):
    """What a hollow caller has seen."""

    answers: int = 0
    refused: int = 0
    failed: int = 0
    streams_ended: int = 0
    chunks: int = 0
    stream_bytes: int = 0
    latencies_seconds: tuple[float, ...] = ()
    last_refusal: str = ""


class HollowCaller:
    """Sends short requests at a steady rate and keeps a number of streams under way."""

    def __init__(self, settings: HollowCallerSettings) -> None:
        """Make a caller that has not started."""
        self._settings = settings
        self._next_call = 0
        self._owed = 0.0
        self._last_tick = 0.0
        self._sent_at: dict[CallId, float] = {}
        self._streams: set[CallId] = set()
        self._latencies: list[float] = []
        self._refused_streams: set[CallId] = set()
        self._last_refusal = ""
        self._answers = self._refused = self._failed = 0
        self._streams_ended = self._chunks = self._stream_bytes = 0

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Start the load."""
        del event
        self._last_tick = now
        return self._tick(now)

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Count what came, and send what is owed."""
        if isinstance(event, CallHeaders) and event.status != HTTP_OK:
            self._refused_streams.add(event.call_id)
            self._last_refusal = str(event.status)
        elif isinstance(event, CallChunk):
            self._count_chunk(event)
        elif isinstance(event, CallResponded):
            self._count_answer(event, now)
        elif isinstance(event, CallEnded):
            return self._end_stream(event.call_id)
        elif isinstance(event, CallFailed):
            self._failed += 1
            self._sent_at.pop(event.call_id, None)
            self._streams.discard(event.call_id)
        elif isinstance(event, TimerFired):
            return self._tick(now)
        return ()

    def caller_counts(self) -> HollowCallerCounts:
        """Return the totals, and the latencies since the last call."""
        latencies, self._latencies = self._latencies, []
        return HollowCallerCounts(
            answers=self._answers,
            refused=self._refused,
            failed=self._failed,
            streams_ended=self._streams_ended,
            chunks=self._chunks,
            stream_bytes=self._stream_bytes,
            latencies_seconds=tuple(latencies),
            last_refusal=self._last_refusal[:500],
        )

    def _count_chunk(self, event: CallChunk) -> None:
        if event.call_id in self._refused_streams:
            self._last_refusal += event.data.decode(errors="replace")
            return
        self._chunks += 1
        self._stream_bytes += len(event.data)

    def _end_stream(self, call_id: CallId) -> Sequence[Effect]:
        """Follow an ended stream by the next; after a refusal the next tick does it."""
        self._streams.discard(call_id)
        if call_id in self._refused_streams:
            self._refused_streams.discard(call_id)
            self._refused += 1
            return ()
        self._streams_ended += 1
        return (self._stream_call(),)

    def _count_answer(self, event: CallResponded, now: float) -> None:
        sent_at = self._sent_at.pop(event.call_id, now)
        if event.status == HTTP_OK:
            self._answers += 1
            self._latencies.append(now - sent_at)
        else:
            self._refused += 1

    def _tick(self, now: float) -> Sequence[Effect]:
        effects: list[Effect] = [SetTimer(LOAD_TIMER, self._settings.tick_seconds)]
        self._owed += (now - self._last_tick) * self._settings.requests_per_second
        self._last_tick = now
        while self._owed >= 1.0:
            self._owed -= 1.0
            effects.append(self._short_call(now))
        while len(self._streams) < self._settings.streams:
            effects.append(self._stream_call())
        return effects

    def _short_call(self, now: float) -> StartCall:
        call_id = self._call_id()
        self._sent_at[call_id] = now
        return StartCall(
            call_id=call_id,
            address=self._settings.address,
            method="GET",
            path=self._settings.path,
            headers={"X-Request-Id": call_id, "X-Caller": CALLER_NAME},
            body=b"",
            timeout_seconds=self._settings.timeout_seconds,
        )

    def _stream_call(self) -> StartCall:
        call_id = self._call_id()
        self._streams.add(call_id)
        body = {
            "request_id": call_id,
            "model": "hollow",
            "prompt": "a prompt of some words",
            "max_tokens": self._settings.tokens_per_stream,
            "priority": 0,
            "stream": True,
            "seed": self._next_call,
            "resume": None,
        }
        return StartCall(
            call_id=call_id,
            address=self._settings.address,
            method="POST",
            path=_COMPLETION_PATH,
            headers={
                "X-Request-Id": call_id,
                "X-Caller": CALLER_NAME,
                "Content-Type": "application/json",
            },
            body=msgspec.json.encode(body),
            timeout_seconds=self._settings.timeout_seconds,
            stream=True,
        )

    def _call_id(self) -> CallId:
        self._next_call += 1
        return CallId(f"{self._settings.node_id}-{self._next_call}")
