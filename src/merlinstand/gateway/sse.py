"""Server-sent events of engines: cutting the byte stream into events, typing each."""

import msgspec
from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
DONE_PAYLOAD = b"[DONE]"
DONE_EVENT = b"data: [DONE]\n\n"
MAXIMUM_EVENT_BYTES = 1024 * 1024


class StreamEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One event of a completion stream."""

    request_id: str
    index: int = -1
    """Position of the first token; -1 on an event without tokens."""
    token_count: int = 0
    weight_version: int = 0
    text: str = ""
    finish_reason: str | None = None
    spans: tuple[tuple[int, int, int], ...] | None = None


_DECODER = msgspec.json.Decoder(StreamEvent)


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


def decode_stream_event(payload: bytes) -> Result[StreamEvent, InvalidInputError]:
    """Decode the payload of one `data:` line."""
    try:
        return Ok(_DECODER.decode(payload))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(InvalidInputError(detail=f"stream event: {error}"))
