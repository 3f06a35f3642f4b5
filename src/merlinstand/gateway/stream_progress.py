"""Tracks the received part of a generation, over all engines that produced it.

Each event must have the request's id and start where the previous one ended, so that the caller
gets each token once. For callers that did not request a stream, the text is collected here.
"""

import enum

import msgspec

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.event_stream import EventSplitter
from merlinstand.gateway.caller_request import ResumePoint
from merlinstand.gateway.sse import (
    DATA_PREFIX,
    DATA_PREFIX_LENGTH,
    DONE_PAYLOAD,
    EVENT_DECODER,
    HEAD_DECODER,
    StreamEvent,
    StreamEventHead,
)

COMPLETE_REASONS = frozenset({"stop", "length"})
"""Finish reasons of a complete generation; any other one is an interruption."""


class EventResult(enum.Enum):
    """Result of adding an event to a stream."""

    CONTINUE = "goes_on"
    """The event was accepted, or had no new tokens."""
    COMPLETE = "whole"
    """`[DONE]` arrived after the event with the finish reason: the generation is complete."""
    INTERRUPTED = "ended_early"
    """The engine ended the generation with a finish reason other than `COMPLETE_REASONS`."""
    DONE_EARLY = "done_early"
    """`[DONE]` arrived without an event with a finish reason."""
    MALFORMED = "malformed"
    """The event could not be decoded."""
    WRONG_REQUEST = "foreign"
    """The event has the id of another request."""
    OUT_OF_SEQUENCE = "misfit"
    """The event leaves a gap, overlaps, exceeds `max_tokens` or follows the event with the finish
    reason."""
    TOO_LARGE = "too_large"
    """The collected text exceeds `maximum_answer_bytes`."""


class StreamProgress:
    """Received tokens of a generation, and the weight versions that produced them."""

    __slots__ = (
        "_decoder",
        "_maximum_text_characters",
        "_maximum_tokens",
        "_request_id",
        "_text_characters",
        "finish_reason",
        "last_event",
        "position",
        "relayed",
        "response_started",
        "spans",
        "splitter",
        "texts",
    )

    def __init__(
        self, request_id: str, maximum_tokens: int, maximum_text_characters: int, *, relayed: bool
    ) -> None:
        """Create the progress of a generation at token 0.

        Args:
            request_id: Id that each event must have.
            maximum_tokens: Number of tokens requested.
            maximum_text_characters: Maximum size of the collected text.
            relayed: Whether events are forwarded as they arrive; otherwise the text is collected.
        """
        self._request_id = request_id
        self._maximum_tokens = maximum_tokens
        self._maximum_text_characters = maximum_text_characters
        self._text_characters = 0
        self._decoder = HEAD_DECODER if relayed else EVENT_DECODER
        self.relayed = relayed
        self.splitter = EventSplitter()
        self.position = 0
        self.spans: list[tuple[int, int, int]] = []
        self.texts: list[str] = []
        self.response_started = False
        """Whether the response to the caller has started."""
        self.finish_reason = ""
        self.last_event: bytes | None = None
        """Event with the finish reason, held back until `[DONE]` arrives."""

    def start_call(self) -> None:
        """Prepare for the stream of another engine: drop a partial event of the previous stream."""
        self.splitter = EventSplitter()
        self.last_event = None

    def add_event(self, raw: bytes, relayed_events: list[bytes]) -> EventResult:
        """Check and add one event.

        Args:
            raw: The event without the empty line that ends it.
            relayed_events: Receives the event if it is to be forwarded now.
        """
        if not raw.startswith(DATA_PREFIX):
            # Comments and other fields of server-sent events are ignored.
            return EventResult.CONTINUE
        try:
            event = self._decoder.decode(raw[DATA_PREFIX_LENGTH:])
        except DECODE_ERRORS:
            return self._read_end(raw)
        if event.request_id != self._request_id:
            return EventResult.WRONG_REQUEST
        if event.finish_reason is not None:
            return self._add_last_event(raw)
        if event.index != self.position or event.token_count <= 0:
            return self._check_out_of_sequence(event)
        if self.last_event is not None or not self._append_tokens(event):
            return EventResult.OUT_OF_SEQUENCE
        if isinstance(event, StreamEvent):
            return self._append_text(event)
        relayed_events.append(raw)
        return EventResult.CONTINUE

    def resume_point(self) -> ResumePoint | None:
        """Return the position from which another engine resumes; None if no tokens arrived."""
        if self.position == 0:
            return None
        return ResumePoint(None, None, self.position, tuple(self.spans))

    # Details --------------------------------------------------------------------------

    def _append_tokens(self, event: StreamEventHead | StreamEvent) -> bool:
        """Add the tokens of the next event; False if they exceed the requested number."""
        start = self.position
        end = start + event.token_count
        if end > self._maximum_tokens:
            return False
        self.position = end
        version = event.weight_version
        spans = self.spans
        if spans and spans[-1][0] == version:
            spans[-1] = (version, spans[-1][1], end)
        else:
            spans.append((version, start, end))
        return True

    def _append_text(self, event: StreamEvent) -> EventResult:
        self.texts.append(event.text)
        self._text_characters += len(event.text)
        if self._text_characters > self._maximum_text_characters:
            return EventResult.TOO_LARGE
        return EventResult.CONTINUE

    def _check_out_of_sequence(self, event: StreamEventHead | StreamEvent) -> EventResult:
        """Return `CONTINUE` for an event without new tokens, `OUT_OF_SEQUENCE` for any other."""
        if event.token_count == 0:
            return EventResult.CONTINUE
        end = event.index + event.token_count
        if event.token_count > 0 and event.index >= 0 and end <= self.position:
            return EventResult.CONTINUE
        return EventResult.OUT_OF_SEQUENCE

    def _read_end(self, raw: bytes) -> EventResult:
        if raw[DATA_PREFIX_LENGTH:].strip() != DONE_PAYLOAD:
            return EventResult.MALFORMED
        return EventResult.DONE_EARLY if self.last_event is None else EventResult.COMPLETE

    def _add_last_event(self, raw: bytes) -> EventResult:
        """Check and add the event with the finish reason."""
        try:
            event = EVENT_DECODER.decode(raw[DATA_PREFIX_LENGTH:])
        except DECODE_ERRORS:
            return EventResult.MALFORMED
        if event.finish_reason not in COMPLETE_REASONS:
            return EventResult.INTERRUPTED
        if self.last_event is not None:
            return EventResult.OUT_OF_SEQUENCE
        own_tokens = 0
        if event.token_count > 0 and event.index == self.position:
            if not self._append_tokens(event):
                return EventResult.OUT_OF_SEQUENCE
            own_tokens = event.token_count
            if not self.relayed and self._append_text(event) is EventResult.TOO_LARGE:
                return EventResult.TOO_LARGE
        elif self._check_out_of_sequence(event) is EventResult.OUT_OF_SEQUENCE:
            return EventResult.OUT_OF_SEQUENCE
        self.finish_reason = event.finish_reason or ""
        self.last_event = self._with_received_spans(event, raw, own_tokens)
        return EventResult.CONTINUE

    def _with_received_spans(self, event: StreamEvent, raw: bytes, own_tokens: int) -> bytes:
        """Return the last event, with its spans replaced by the received spans if they differ."""
        spans = tuple(self.spans)
        if event.spans == spans:
            return raw
        corrected = msgspec.structs.replace(
            event,
            index=self.position - own_tokens,
            token_count=own_tokens,
            text=event.text if own_tokens else "",
            spans=spans,
        )
        return DATA_PREFIX + msgspec.json.encode(corrected)
