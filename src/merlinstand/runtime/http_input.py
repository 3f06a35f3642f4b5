"""A request's body as it comes over the connection.

Reading itself is pywsgi's (`Input`). This module keeps one client from holding the loop with tiny
chunks, and a connection from waiting for a body that nobody wants any more.
"""

from typing import Any

import gevent
from gevent.pywsgi import Input

MAXIMUM_CHUNK_READS = 200_000
"""Reads of a chunked body's framing are single bytes; a body in tinier chunks is refused. Chosen,
not measured."""
READS_PER_YIELD = 500
"""After so many reads the loop turns, however much the client has sent ahead. Chosen, not
measured."""


class EndpointInput(Input):
    """A request's body. Unread rests are never awaited: their connection ends instead."""

    __slots__ = ()

    def __init__(self, reader: Any, content_length: int | None, socket: Any, chunked: bool) -> None:
        """Begin before the body's first byte.

        Args:
            reader: Buffered bytes of the connection.
            content_length: Declared length.
            socket: Set if the client waits for `100 Continue`.
            chunked: Whether the body comes in chunks.
        """
        super().__init__(
            YieldingReader(reader) if chunked else reader, content_length, socket, chunked
        )

    def _discard(self) -> None:
        """Override: a bad client could otherwise keep the connection busy for long."""

    @property
    def is_consumed(self) -> bool:
        """Whether the whole body was read."""
        if self.chunked_input:
            return bool(self.chunk_length == 0)
        return bool(self.position >= (self.content_length or 0))


class YieldingReader:
    """Bounds what one chunked body takes of the loop.

    A read that finds bytes does not turn the loop. Millions of them would hold up everybody
    else, and no time limit could strike.
    """

    def __init__(self, reader: Any) -> None:
        """Read from a buffered reader."""
        self._reader = reader
        self._reads = 0

    def read(self, size: int) -> bytes:
        """Read some bytes.

        Raises:
            OSError: The body comes in too many chunks.
        """
        self._reads += 1
        if self._reads % READS_PER_YIELD == 0:
            if self._reads > MAXIMUM_CHUNK_READS:
                raise OSError("too many small chunks")
            gevent.sleep(0)
        return bytes(self._reader.read(size))
