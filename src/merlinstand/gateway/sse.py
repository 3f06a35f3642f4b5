"""Server-sent events of engines: cutting the byte stream into events, typing each."""

import msgspec

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
DATA_PREFIX_LENGTH = len(DATA_PREFIX)
DONE_PAYLOAD = b"[DONE]"
DONE_EVENT = b"data: [DONE]\n\n"
MAXIMUM_EVENT_BYTES = 1024 * 1024


class StreamEvent(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One event of a completion stream."""

    request_id: str
    index: int = -1
    """Position of the first token; -1 on an event without tokens."""
    token_count: int = 0
    weight_version: int = 0
    text: str = ""
    finish_reason: str | None = None
    spans: tuple[tuple[int, int, int], ...] | None = None


class StreamEventHead(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """The part of an event that a relay looks at; the text is passed over, not copied."""

    request_id: str
    index: int = -1
    token_count: int = 0
    weight_version: int = 0
    finish_reason: str | None = None


EVENT_DECODER = msgspec.json.Decoder(StreamEvent)
HEAD_DECODER = msgspec.json.Decoder(StreamEventHead)


class EventCutter:
    """Cuts arriving bytes into whole events; chunk borders carry no meaning."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        """Start at an event border."""
        self._rest = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Take bytes in; return the events they complete, without their empty line.

        Line ends may be CR LF; they are normalised.
        """
        if self._rest:
            data = self._rest + data
        if b"\r" in data:
            # A CR at the very end may be half of a CR LF: keep it for the next bytes.
            held = b"\r" if data.endswith(b"\r") else b""
            data = data[: len(data) - len(held)].replace(b"\r\n", b"\n") + held
        events = data.split(EVENT_END)
        self._rest = events.pop()
        return events

    @property
    def pending_bytes(self) -> int:
        """Bytes of an event that is not whole yet."""
        return len(self._rest)
