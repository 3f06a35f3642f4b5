"""Splits and parses streams of server-sent events (WHATWG HTML, "Server-sent events")."""

import msgspec
from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError

EVENT_DELIMITER = b"\n\n"
"""The line end of an event's last line and the empty line after it."""
MAXIMUM_EVENT_BYTES = 1024 * 1024
"""Maximum size of an incomplete event in memory."""


class EventSplitter:
    """Splits received bytes into complete events, independently of chunk boundaries."""

    __slots__ = ("_partial_event",)

    def __init__(self) -> None:
        self._partial_event = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the events that they complete, without the delimiter.

        CR LF line ends are converted to LF.
        """
        if self._partial_event:
            data = self._partial_event + data
        if b"\r" in data:
            # A trailing CR may be the first half of a CR LF: buffer it until more bytes arrive.
            trailing_cr = b"\r" if data.endswith(b"\r") else b""
            data = data[: len(data) - len(trailing_cr)].replace(b"\r\n", b"\n") + trailing_cr
        events = data.split(EVENT_DELIMITER)
        self._partial_event = events.pop()
        return events

    @property
    def pending_bytes(self) -> int:
        """Number of buffered bytes of an incomplete event."""
        return len(self._partial_event)


class ServerSentEvent(msgspec.Struct, frozen=True, gc=False):
    """One event of a stream."""

    event_id: int
    data: str
    version: int | None
    """Weight version from this event on; None if the event has no such field."""


def parse_event(
    raw: bytes, version_field: str
) -> Result[ServerSentEvent | None, InvalidInputError]:
    """Parse one event.

    Args:
        raw: Lines of the event, without the delimiter.
        version_field: Name of the field that carries a new weight version.

    Returns:
        The event; None for a comment or an event without an id. An error if the event is not
        UTF-8, or its id or version is not an integer.
    """
    event_id: int | None = None
    version: int | None = None
    data: list[str] = []
    try:
        for line in raw.decode("utf-8").split("\n"):
            name, _colon, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "data":
                data.append(value)
            elif name == "id":
                event_id = int(value)
            elif name == version_field:
                version = int(value)
    except ValueError as error:
        return Err(InvalidInputError(detail=f"malformed event: {error}"))
    if event_id is None:
        return Ok(None)
    return Ok(ServerSentEvent(event_id, "\n".join(data), version))
