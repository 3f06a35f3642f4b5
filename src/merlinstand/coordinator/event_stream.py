"""Incremental parser of server-sent events."""

from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError

MAXIMUM_EVENT_BYTES = 1024 * 1024
"""A longer event is malformed. Bounds the memory that an engine can make this process use."""

DONE_PAYLOAD = b"[DONE]"


class EventStreamParser:
    """Takes body bytes in pieces of any size and returns complete `data:` payloads."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        """Create with an empty buffer."""
        self._buffer = b""

    def feed(self, data: bytes) -> Result[list[bytes], InvalidInputError]:
        """Parse more bytes.

        Args:
            data: Next bytes of the body, split anywhere.

        Returns:
            Payloads that are now complete, in order; an error if an event is too long.
        """
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        if len(self._buffer) > MAXIMUM_EVENT_BYTES:
            return Err(InvalidInputError(detail=f"event longer than {MAXIMUM_EVENT_BYTES} bytes"))
        payloads = []
        for line in lines:
            # The engines' events are single `data:` lines. Comments, other fields and the blank
            # line that ends an event are ignored.
            if line.startswith(b"data:"):
                payloads.append(line[len(b"data:") :].strip())
        return Ok(payloads)
