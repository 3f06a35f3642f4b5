"""Reads request bodies from a connection, extending pywsgi's `Input`.

It prevents a client from monopolizing the event loop with tiny chunks, and a connection from
waiting for the rest of a body that is no longer needed.
"""

from typing import Any

import gevent
from gevent.pywsgi import Input

MAXIMUM_CHUNK_READS = 200_000
"""Maximum reads of a chunked body, whose framing is read byte by byte; more are refused."""
READS_PER_YIELD = 500
"""Reads of a chunked body between two yields to the event loop."""


class EndpointInput(Input):
    """A request body. The rest of an unread body is not awaited; its connection is closed."""

    __slots__ = ()

    def __init__(self, reader: Any, content_length: int | None, socket: Any, chunked: bool) -> None:
        """Create the input before the first byte of the body is read.

        Args:
            reader: Buffered reader of the connection.
            content_length: Declared length in bytes; None if absent.
            socket: The connection if the client waits for `100 Continue`, else None.
            chunked: Whether the body uses the chunked transfer encoding.
        """
        super().__init__(
            YieldingReader(reader) if chunked else reader, content_length, socket, chunked
        )

    def _discard(self) -> None:
        """Do nothing: discarding the rest would let a bad client occupy the connection."""

    @property
    def is_consumed(self) -> bool:
        """Whether the whole body was read."""
        if self.chunked_input:
            return bool(self.chunk_length == 0)
        return bool(self.position >= (self.content_length or 0))


class YieldingReader:
    """Yields to the event loop regularly while a chunked body is read.

    A read of available bytes does not yield. Millions of them would block all other
    connections, and no time limit could fire.
    """

    def __init__(self, reader: Any) -> None:
        """Wrap a buffered reader."""
        self._reader = reader
        self._reads = 0

    def read(self, size: int) -> bytes:
        """Read some bytes.

        Raises:
            OSError: The body has too many chunks.
        """
        self._reads += 1
        if self._reads % READS_PER_YIELD == 0:
            if self._reads > MAXIMUM_CHUNK_READS:
                raise OSError("too many small chunks")
            gevent.sleep(0)
        return bytes(self._reader.read(size))
