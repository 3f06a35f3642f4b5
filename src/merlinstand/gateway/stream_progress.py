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

WHOLE_REASONS = frozenset({"stop", "length"})
"""Finish reasons of a whole completion; any other one is an interruption."""


class Taken(enum.Enum):
    """What an event did to a stream."""

    GOES_ON = "goes_on"
    """It was taken in, or carried nothing new."""
    WHOLE = "whole"
    """The end mark after a last event: the generation is whole."""
    ENDED_EARLY = "ended_early"
    """The engine ended it on somebody's order."""
    DONE_EARLY = "done_early"
    """The end mark without a last event."""
    MALFORMED = "malformed"
    FOREIGN = "foreign"
    """It belongs to another request."""
    MISFIT = "misfit"
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
        "cutter",
        "finish_reason",
        "last_event",
        "position",
        "relayed",
        "spans",
        "started",
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
        self.cutter = EventSplitter()
        self.position = 0
        self.spans: list[tuple[int, int, int]] = []
        self.texts: list[str] = []
        self.started = False
        """The caller's response has begun."""
        self.finish_reason = ""
        self.last_event: bytes | None = None
        """The event with the finish reason, held back until the end mark follows."""

    def new_call(self) -> None:
        """Another engine goes on: half an event of the last one is dropped."""
        self.cutter = EventSplitter()
        self.last_event = None

    def take(self, raw: bytes, forwarded: list[bytes]) -> Taken:
        """Take in one event.

        Args:
            raw: The event without its empty line.
            forwarded: Gets the event if the caller shall see it now.
        """
        if not raw.startswith(DATA_PREFIX):
            # Comments and other fields of the protocol carry nothing for us.
            return Taken.GOES_ON
        try:
            event = self._decoder.decode(raw[DATA_PREFIX_LENGTH:])
        except DECODE_ERRORS:
            return self._take_end(raw)
        if event.request_id != self._request_id:
            return Taken.FOREIGN
        if event.finish_reason is not None:
            return self._take_last(raw)
        if event.index != self.position or event.token_count <= 0:
            return self._judge_misfit(event)
        if self.last_event is not None or not self._add(event):
            return Taken.MISFIT
        if isinstance(event, StreamEvent):
            return self._gather(event)
        forwarded.append(raw)
        return Taken.GOES_ON

    def resume_point(self) -> ResumePoint | None:
        """Return where another engine goes on; None to begin at the beginning."""
        if self.position == 0:
            return None
        return ResumePoint(None, None, self.position, tuple(self.spans))

    # Details --------------------------------------------------------------------------

    def _add(self, event: StreamEventHead | StreamEvent) -> bool:
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

    def _gather(self, event: StreamEvent) -> Taken:
        self.texts.append(event.text)
        self._text_characters += len(event.text)
        if self._text_characters > self._maximum_text_characters:
            return Taken.TOO_LARGE
        return Taken.GOES_ON

    def _judge_misfit(self, event: StreamEventHead | StreamEvent) -> Taken:
        """Judge an event that is not the next one: harmless only if it has nothing new."""
        if event.token_count == 0:
            return Taken.GOES_ON
        end = event.index + event.token_count
        if event.token_count > 0 and event.index >= 0 and end <= self.position:
            return Taken.GOES_ON
        return Taken.MISFIT

    def _take_end(self, raw: bytes) -> Taken:
        if raw[DATA_PREFIX_LENGTH:].strip() != DONE_PAYLOAD:
            return Taken.MALFORMED
        return Taken.DONE_EARLY if self.last_event is None else Taken.WHOLE

    def _take_last(self, raw: bytes) -> Taken:
        """Take in the event with the finish reason."""
        try:
            event = EVENT_DECODER.decode(raw[DATA_PREFIX_LENGTH:])
        except DECODE_ERRORS:
            return Taken.MALFORMED
        if event.finish_reason not in WHOLE_REASONS:
            return Taken.ENDED_EARLY
        if self.last_event is not None:
            return Taken.MISFIT
        own_tokens = 0
        if event.token_count > 0 and event.index == self.position:
            if not self._add(event):
                return Taken.MISFIT
            own_tokens = event.token_count
            if not self.relayed and self._gather(event) is Taken.TOO_LARGE:
                return Taken.TOO_LARGE
        elif self._judge_misfit(event) is Taken.MISFIT:
            return Taken.MISFIT
        self.finish_reason = event.finish_reason or ""
        self.last_event = self._truthful(event, raw, own_tokens)
        return Taken.GOES_ON

    def _truthful(self, event: StreamEvent, raw: bytes, own_tokens: int) -> bytes:
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
