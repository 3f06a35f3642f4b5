"""What arrived of a generation so far, whichever engines produced it."""

import enum

from merlinstand.gateway.caller_request import ResumePoint
from merlinstand.gateway.sse import EventCutter, StreamEvent

WHOLE_REASONS = frozenset({"stop", "length"})
"""Finish reasons of a whole completion; any other one is an interruption."""


class EventFit(enum.Enum):
    """How an event fits to what arrived before."""

    NEXT = "next"
    """It goes on exactly where the last one ended."""
    REPEATED = "repeated"
    """All its tokens arrived before."""
    MISFIT = "misfit"
    """It leaves a gap, overlaps, or belongs to another request."""


class StreamProgress:
    """Tokens received and the weight versions that produced them."""

    __slots__ = (
        "cutter",
        "finish_reason",
        "last_event",
        "position",
        "relayed",
        "spans",
        "started",
        "text_bytes",
        "texts",
    )

    def __init__(self, *, relayed: bool) -> None:
        """Start at token 0.

        Args:
            relayed: The caller gets the events as they come; otherwise the text is gathered.
        """
        self.relayed = relayed
        self.cutter = EventCutter()
        self.position = 0
        self.spans: list[tuple[int, int, int]] = []
        self.texts: list[str] = []
        self.text_bytes = 0
        self.started = False
        """The caller's response has begun."""
        self.finish_reason = ""
        self.last_event: bytes | None = None
        """The event with the finish reason, held back until the end mark follows."""

    def new_call(self) -> None:
        """Another engine goes on: half an event of the last one is dropped."""
        self.cutter = EventCutter()
        self.last_event = None

    def fit(self, event: StreamEvent) -> EventFit:
        """Tell how an event with tokens fits."""
        if event.token_count < 0:
            return EventFit.MISFIT
        if event.index == self.position:
            return EventFit.NEXT
        end = event.index + event.token_count
        if event.index >= 0 and end <= self.position:
            return EventFit.REPEATED
        return EventFit.MISFIT

    def add(self, event: StreamEvent) -> None:
        """Take in an event that fits next."""
        end = self.position + event.token_count
        spans = self.spans
        if spans and spans[-1][0] == event.weight_version:
            spans[-1] = (event.weight_version, spans[-1][1], end)
        else:
            spans.append((event.weight_version, self.position, end))
        self.position = end
        if not self.relayed:
            self.texts.append(event.text)
            self.text_bytes += len(event.text)

    def resume_point(self) -> ResumePoint | None:
        """Return where another engine goes on; None to begin at the beginning."""
        if self.position == 0:
            return None
        return ResumePoint(None, None, self.position, tuple(self.spans))
