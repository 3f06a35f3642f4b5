"""Events of an engine's completion stream (server-sent events with JSON data)."""

import msgspec

DATA_PREFIX = b"data: "
DATA_PREFIX_LENGTH = len(DATA_PREFIX)
DONE_PAYLOAD = b"[DONE]"
DONE_EVENT = b"data: [DONE]\n\n"


class StreamEvent(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One event of a completion stream."""

    request_id: str
    index: int = -1
    """Position of the first token; -1 for an event without tokens."""
    token_count: int = 0
    weight_version: int = 0
    text: str = ""
    finish_reason: str | None = None
    spans: tuple[tuple[int, int, int], ...] | None = None


class StreamEventHead(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """The fields of a `StreamEvent` needed to relay it; decoding skips the text without copying."""

    request_id: str
    index: int = -1
    token_count: int = 0
    weight_version: int = 0
    finish_reason: str | None = None


EVENT_DECODER = msgspec.json.Decoder(StreamEvent)
HEAD_DECODER = msgspec.json.Decoder(StreamEventHead)
