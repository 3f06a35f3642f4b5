"""Incremental parser of server-sent events."""

from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError

MAXIMUM_EVENT_BYTES = 1024 * 1024
"""A longer event is malformed: an engine cannot fill this process's memory."""

DONE_PAYLOAD = b"[DONE]"


class EventStreamParser:
    """Takes body bytes in any pieces and gives back whole `data:` payloads."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        """Begin with nothing buffered."""
        self._buffer = b""

    def feed(self, data: bytes) -> Result[list[bytes], InvalidInputError]:
        """Take bytes in.

        Args:
            data: Next bytes of the body; their borders carry no meaning.

        Returns:
            Payloads that became complete, in order.
        """
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        if len(self._buffer) > MAXIMUM_EVENT_BYTES:
            return Err(InvalidInputError(detail="event too long"))
        payloads = []
        for line in lines:
            # Events of these engines are single `data:` lines; comments, other fields and
            # the blank line that ends an event carry nothing.
            if line.startswith(b"data:"):
                payloads.append(line[len(b"data:") :].strip())
        return Ok(payloads)
