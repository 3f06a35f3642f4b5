"""Responses of running completions: chunks to callers, records at the end."""

import msgspec

from merlinstand.common.ids import RequestId
from merlinstand.kernel.effects import (
    Effect,
    RespondChunk,
    RespondEnd,
    RespondStart,
    WriteRecord,
)
from merlinstand_lab.records.kinds import GenerationOutcome, GenerationRecord, Span
from merlinstand_lab.standins import endpoint
from merlinstand_lab.standins.engine_messages import (
    CompletionAnswer,
    CompletionBody,
    CompletionChunk,
    CompletionEnd,
)
from merlinstand_lab.standins.engine_model.lengths import prompt_token_count
from merlinstand_lab.standins.engine_model.sequence import (
    ChunkReady,
    Finished,
    ModelEvent,
    extend_spans,
)
from merlinstand_lab.standins.engine_model.text import render_chunk
from merlinstand_lab.standins.settings import EngineSettings

_SSE_PREFIX = b"data: "
_SSE_SUFFIX = b"\n\n"
_SSE_DONE = b"data: [DONE]\n\n"


class Stream(msgspec.Struct):
    """One open response."""

    http_request_id: RequestId | None
    """None once the client went away."""
    request_id: str
    streamed: bool
    started_at: float
    prompt_tokens: int
    first_token: int
    resumed_spans: list[Span]
    texts: list[str] = []


class StreamTable:
    """The open responses by the completion's request id."""

    def __init__(self, settings: EngineSettings) -> None:
        """Begin without any."""
        self._settings = settings
        self._streams: dict[str, Stream] = {}
        self._by_http_request: dict[RequestId, str] = {}
        self.last_token_count = 0
        """Position reached by the stream that ended last."""

    def is_empty(self) -> bool:
        """Whether no response is open."""
        return not self._streams

    def holds(self, request_id: str) -> bool:
        """Whether a completion is open."""
        return request_id in self._streams

    def prompt_tokens(self, request_id: str) -> int:
        """Prompt length of an open completion."""
        return self._streams[request_id].prompt_tokens

    def open(
        self, http_request_id: RequestId, request_id: str, body: CompletionBody, now: float
    ) -> None:
        """Remember a new completion."""
        resume = body.resume
        self._streams[request_id] = Stream(
            http_request_id=http_request_id,
            request_id=request_id,
            streamed=body.stream,
            started_at=now,
            prompt_tokens=prompt_token_count(body.prompt),
            first_token=resume.token_count if resume else 0,
            resumed_spans=list(resume.spans) if resume else [],
            texts=[],
        )
        self._by_http_request[http_request_id] = request_id

    def abandon(self, http_request_id: RequestId) -> str | None:
        """The client went away; return which completion it had asked for."""
        request_id = self._by_http_request.pop(http_request_id, None)
        if request_id is not None:
            self._streams[request_id].http_request_id = None
        return request_id

    def perform(self, events: list[ModelEvent], incarnation: int, now: float) -> list[Effect]:
        """Turn the model's events into effects."""
        effects: list[Effect] = []
        for event in events:
            stream = self._streams.get(event.request_id)
            if stream is None:
                continue
            if isinstance(event, ChunkReady):
                effects += self._chunk(stream, event)
            else:
                effects += self._finished(stream, event, incarnation, now)
        return effects

    def end_unstarted(
        self, request_id: str, outcome: GenerationOutcome, incarnation: int, now: float
    ) -> list[Effect]:
        """End a completion that never reached the model."""
        stream = self._streams[request_id]
        event = Finished(request_id, outcome, [], stream.first_token)
        return self._finished(stream, event, incarnation, now)

    def break_all(self, events: list[ModelEvent], incarnation: int, now: float) -> list[Effect]:
        """Cut every response off (a crash); the model says what had been given out."""
        ends = {event.request_id: event for event in events if isinstance(event, Finished)}
        effects: list[Effect] = []
        for stream in list(self._streams.values()):
            if stream.http_request_id is not None:
                if not stream.streamed:
                    effects.append(RespondStart(stream.http_request_id, 200, endpoint.JSON_HEADERS))
                effects.append(RespondEnd(stream.http_request_id, whole=False))
            unstarted = Finished(stream.request_id, GenerationOutcome.CRASHED, [], 0)
            event = ends.get(stream.request_id, unstarted)
            effects.append(self._record(stream, event, incarnation, now))
        self._streams.clear()
        self._by_http_request.clear()
        return effects

    def _chunk(self, stream: Stream, event: ChunkReady) -> list[Effect]:
        """Send or collect the text of a chunk."""
        text = render_chunk(
            event.first_token,
            event.end_token,
            event.version,
            stream.request_id if event.opens_stream else "",
            self._settings.profile.text_bytes_per_token,
        )
        if not stream.streamed:
            stream.texts.append(text)
            return []
        if stream.http_request_id is None:
            return []
        chunk = CompletionChunk(
            request_id=stream.request_id,
            index=event.first_token,
            token_count=event.end_token - event.first_token,
            weight_version=event.version,
            text=text,
        )
        return [RespondChunk(stream.http_request_id, _sse(chunk))]

    def _finished(
        self, stream: Stream, event: Finished, incarnation: int, now: float
    ) -> list[Effect]:
        """Answer the end, and record it."""
        del self._streams[stream.request_id]
        self.last_token_count = event.token_count
        effects: list[Effect] = [self._record(stream, event, incarnation, now)]
        http_request_id = stream.http_request_id
        if http_request_id is None:
            return effects
        self._by_http_request.pop(http_request_id, None)
        spans = _merged(stream.resumed_spans, event.spans)
        if not stream.streamed:
            answer = CompletionAnswer(
                request_id=stream.request_id,
                text="".join(stream.texts),
                token_count=event.token_count,
                spans=spans,
                finish_reason=event.outcome.value,
            )
            headers = {endpoint.REQUEST_ID_HEADER: stream.request_id}
            return [*effects, endpoint.respond_json(http_request_id, answer, headers=headers)]
        end = CompletionEnd(
            request_id=stream.request_id,
            index=event.token_count,
            token_count=0,
            weight_version=spans[-1][0] if spans else 0,
            text="",
            finish_reason=event.outcome.value,
            spans=spans,
        )
        effects.append(RespondChunk(http_request_id, _sse(end) + _SSE_DONE))
        effects.append(RespondEnd(http_request_id))
        return effects

    def _record(self, stream: Stream, event: Finished, incarnation: int, now: float) -> WriteRecord:
        """Record of one generation."""
        record = GenerationRecord(
            request_id=stream.request_id,
            spans=event.spans,
            outcome=event.outcome,
            ended_at=now,
            incarnation=incarnation,
            backend_id=self._settings.node_id,
            model=self._settings.model,
            started_at=stream.started_at,
            first_token=stream.first_token,
            prompt_tokens=stream.prompt_tokens,
        )
        return WriteRecord(f"engine-{self._settings.node_id}", record)


def _sse(value: msgspec.Struct) -> bytes:
    """Encode one server-sent event."""
    return _SSE_PREFIX + msgspec.json.encode(value) + _SSE_SUFFIX


def _merged(resumed: list[Span], made: list[Span]) -> list[Span]:
    """Spans of the whole completion, resumed part first."""
    spans = list(resumed)
    for version, first_token, end_token in made:
        extend_spans(spans, version, first_token, end_token)
    return spans
