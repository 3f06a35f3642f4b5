"""One generation: a slot's sample, streamed from one or several engines."""

import msgspec
from result import Err, Ok, Result

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.errors import InvalidInputError
from merlinstand.common.ids import CallId
from merlinstand.coordinator.engine_protocol import (
    CompletionChunk,
    CompletionRequest,
    FinishReason,
    ResumeState,
)
from merlinstand.coordinator.event_stream import DONE_PAYLOAD, EventStreamParser
from merlinstand.coordinator.slots import SlotName
from merlinstand.coordinator.spans import SpanError, SpanRecorder, normalised

_CHUNK_DECODER = msgspec.json.Decoder(CompletionChunk)
COMPLETE_REASONS = frozenset({FinishReason.STOP, FinishReason.LENGTH})


class CacheHandle(msgspec.Struct, frozen=True):
    """Reference to an exported KV cache to resume from."""

    handle: str
    source: str
    token_count: int


class Generation:
    """State of one generation; its tokens are kept across interruptions."""

    def __init__(
        self,
        generation_id: str,
        slot: SlotName,
        prompt: str,
        maximum_tokens: int,
        seed: int,
        now: float,
    ) -> None:
        """The generation has no tokens and waits for an engine."""
        self.generation_id = generation_id
        self.slot = slot
        self.prompt = prompt
        self.maximum_tokens = maximum_tokens
        self.seed = seed
        self.waiting_since = now
        self.first_token_at: float | None = None
        self.span_recorder = SpanRecorder()
        self.interruptions = 0
        self.cache: CacheHandle | None = None
        self.backend_id: str | None = None
        self.engine_version = 0
        """Version that the engine served when the stream started."""
        self.call_id: CallId | None = None
        self.request_id = ""
        self.stream_started_at = now
        self.stream_first_token = 0
        self.last_data_at = now
        self.finish_reason: FinishReason | None = None
        self.exporting = False
        """Whether a KV cache export is pending."""
        self.export_attempted = False
        self._text: list[str] = []
        self._parser = EventStreamParser()
        self._received_done = False

    @property
    def token_count(self) -> int:
        """Number of tokens received so far."""
        return self.span_recorder.token_count

    @property
    def streaming(self) -> bool:
        """Whether a stream is open."""
        return self.call_id is not None

    @property
    def complete(self) -> bool:
        """Whether the complete sample was received and its spans match the engine's."""
        return self._received_done and self.finish_reason in COMPLETE_REASONS

    def is_older_than(self, version: int) -> bool:
        """Return whether an older version than the given one generated any of the tokens."""
        oldest = self.span_recorder.oldest_version
        return oldest is not None and oldest < version

    def text(self) -> str:
        """Return the text received so far."""
        return "".join(self._text)

    def request(self, model: str, priority: int) -> CompletionRequest:
        """Return the request that starts or resumes this generation under `request_id`."""
        resume = None
        if self.token_count > 0:
            # An exported cache is only usable if it has exactly the tokens received here.
            cache = self.cache
            usable = cache is not None and cache.token_count == self.token_count
            resume = ResumeState(
                handle=cache.handle if cache is not None and usable else None,
                source=cache.source if cache is not None and usable else None,
                token_count=self.token_count,
                spans=self.span_recorder.spans(),
                text=self.text(),
            )
        return CompletionRequest(
            request_id=self.request_id,
            model=model,
            prompt=self.prompt,
            max_tokens=self.maximum_tokens,
            priority=priority,
            stream=True,
            seed=self.seed,
            resume=resume,
        )

    def record_stream_start(
        self, backend_id: str, engine_version: int, call_id: CallId, now: float
    ) -> None:
        """Record that a stream was requested from an engine."""
        self.backend_id = backend_id
        self.engine_version = engine_version
        self.call_id = call_id
        self.stream_started_at = self.last_data_at = now
        self.stream_first_token = self.token_count
        self.finish_reason = None
        self.exporting = False
        self.export_attempted = False
        self._parser = EventStreamParser()
        self._received_done = False

    def record_stream_end(self) -> None:
        """Record the end of the stream, for any reason; the tokens are kept."""
        self.backend_id = None
        self.call_id = None

    def restart(self, seed: int, now: float) -> None:
        """Discard all tokens and start again from the prompt."""
        self.span_recorder = SpanRecorder()
        self._text = []
        self.cache = None
        self.seed = seed
        self.interruptions = 0
        self.first_token_at = None
        self.waiting_since = now

    def feed(self, data: bytes, now: float) -> Result[None, InvalidInputError]:
        """Parse bytes of the stream.

        Returns:
            `SpanError` if the sample's versions can no longer be determined (it is void), another
            `InvalidInputError` if the stream is malformed but the tokens before are valid.
        """
        self.last_data_at = now
        payloads = self._parser.feed(data)
        if isinstance(payloads, Err):
            return payloads
        for payload in payloads.ok_value:
            outcome = self._take_payload(payload, now)
            if isinstance(outcome, Err):
                return outcome
        return Ok(None)

    def _take_payload(self, payload: bytes, now: float) -> Result[None, InvalidInputError]:
        if payload == DONE_PAYLOAD:
            self._received_done = True
            return Ok(None)
        try:
            chunk = _CHUNK_DECODER.decode(payload)
        except DECODE_ERRORS as error:
            return Err(InvalidInputError(detail=f"malformed chunk: {error}"))
        if chunk.request_id != self.request_id:
            return Err(SpanError(detail=f"chunk belongs to another request, {chunk.request_id!r}"))
        if self.finish_reason is not None:
            return Err(SpanError(detail="chunk received after the one with the finish reason"))
        joined = self.span_recorder.append(chunk.weight_version, chunk.index, chunk.token_count)
        if isinstance(joined, Err):
            return joined
        if self.token_count > self.maximum_tokens:
            return Err(
                SpanError(
                    detail=f"engine sent {self.token_count} tokens, more than the requested maximum"
                )
            )
        if chunk.text:
            self._text.append(chunk.text)
        if chunk.token_count > 0 and self.first_token_at is None:
            self.first_token_at = now
        if chunk.finish_reason is not None:
            return self._finish(chunk)
        return Ok(None)

    def _finish(self, chunk: CompletionChunk) -> Result[None, InvalidInputError]:
        self.finish_reason = chunk.finish_reason
        # The engine's spans must match the chunks of all engines involved; otherwise it is
        # unknown which versions generated the sample.
        if chunk.spans is None or normalised(chunk.spans) != self.span_recorder.spans():
            return Err(SpanError(detail="spans of the last chunk do not match the received chunks"))
        return Ok(None)
