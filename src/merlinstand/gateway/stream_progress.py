"""What arrived of a generation so far, whichever engines produced it.

Owns the position, the spans and, for callers that did not ask for a stream, the text. Every event
must carry this request's id and begin where the last one ended, so that a caller sees every token
once.
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
"""Finish reasons of a whole completion; any other one is an interruption."""


class EventResult(enum.Enum):
    """What an event did to a stream."""

    CONTINUE = "goes_on"
    """It was taken in, or carried nothing new."""
    COMPLETE = "whole"
    """The end mark after a last event: the generation is whole."""
    INTERRUPTED = "ended_early"
    """The engine ended it on somebody's order."""
    DONE_EARLY = "done_early"
    """The end mark without a last event."""
    MALFORMED = "malformed"
    WRONG_REQUEST = "foreign"
    """It belongs to another request."""
    OUT_OF_SEQUENCE = "misfit"
    """It leaves a gap, overlaps what arrived, or comes after the last event."""
    TOO_LARGE = "too_large"
    """The gathered text is larger than this gateway holds."""


class StreamProgress:
    """Tokens received and the weight versions that produced them."""

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
        """Start at token 0.

        Args:
            request_id: Id that every event must carry.
            maximum_tokens: Most tokens that were asked for.
            maximum_text_characters: Most text to gather.
            relayed: The caller gets the events as they come; otherwise the text is gathered.
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
        """The caller's response has begun."""
        self.finish_reason = ""
        self.last_event: bytes | None = None
        """The event with the finish reason, held back until the end mark follows."""

    def start_call(self) -> None:
        """Another engine goes on: half an event of the last one is dropped."""
        self.splitter = EventSplitter()
        self.last_event = None

    def add_event(self, raw: bytes, relayed_events: list[bytes]) -> EventResult:
        """Take in one event.

        Args:
            raw: The event without its empty line.
            forwarded: Gets the event if the caller shall see it now.
        """
        if not raw.startswith(DATA_PREFIX):
            # Comments and other fields of the protocol carry nothing for us.
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
        """Return where another engine goes on; None to begin at the beginning."""
        if self.position == 0:
            return None
        return ResumePoint(None, None, self.position, tuple(self.spans))

    # Details --------------------------------------------------------------------------

    def _append_tokens(self, event: StreamEventHead | StreamEvent) -> bool:
        """Count the tokens of the next event; False if they are more than were asked for."""
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
        """Judge an event that is not the next one: harmless only if it has nothing new."""
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
        """Take in the event with the finish reason."""
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
        """Return the last event with the spans that the chunks were stamped with."""
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
