"""Server-sent events (WHATWG HTML, "Server-sent events"): streams cut into events, and parsed."""

import msgspec
from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError

EVENT_DELIMITER = b"\n\n"
"""The empty line after each event."""
MAXIMUM_EVENT_BYTES = 1024 * 1024
"""Largest event held in memory while it is not whole; chosen, not measured."""


class EventSplitter:
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
        events = data.split(EVENT_DELIMITER)
        self._rest = events.pop()
        return events

    @property
    def pending_bytes(self) -> int:
        """Bytes of an event that is not whole yet."""
        return len(self._rest)


class ServerSentEvent(msgspec.Struct, frozen=True, gc=False):
    """One event of an engine."""

    event_id: int
    data: str
    version: int | None
    """Weight version from this event on, where the event says so."""


def parse_event(
    raw: bytes, version_field: str
) -> Result[ServerSentEvent | None, InvalidInputError]:
    """Parse one event.

    Args:
        raw: Its lines, without the empty one.
        version_name: Name of the line that tells a new weight version.

    Returns:
        The event; None for a comment or an event without id.
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
