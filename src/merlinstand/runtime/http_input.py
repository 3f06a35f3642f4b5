"""Reads request bodies from a connection into one buffer.

Extends pywsgi's `Input`, whose own reading of chunked bodies takes each byte of the framing with
a call and keeps each chunk as an object. The chunked framing is that of RFC 9112, 7.1; extensions
and trailers are read and dropped. Reading yields to the event loop regularly: available bytes
would otherwise keep all other connections waiting, and no time limit could expire.
"""

import re
from io import BytesIO
from typing import Any

import gevent
from gevent.pywsgi import Input

from merlinstand.common.errors import BodyTooLargeError, HeadTooLargeError, MerlinstandError
from merlinstand.runtime.http_headers import MAXIMUM_HEAD_BYTES, TOKEN

PIECE_BYTES = 64 * 1024
"""Maximum size of one read of a body."""
BYTES_PER_YIELD = 256 * 1024
"""Bytes of a body between two yields to the event loop."""
CHUNKS_PER_YIELD = 100
"""Chunks of a body between two yields to the event loop."""
MAXIMUM_CHUNK_LINE_BYTES = 8 * 1024
"""Maximum length of a chunk's size and extensions, or of one trailer."""

_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}\Z")
_LINE_END = b"\r\n"


class MalformedBodyError(ValueError):
    """The body is truncated or violates the chunked framing."""


class EndpointInput(Input):
    """A request body. The rest of an unread body is not awaited; its connection is closed."""

    __slots__ = ("_bytes_until_yield", "_chunks_until_yield", "is_consumed")

    def __init__(self, reader: Any, content_length: int | None, socket: Any, chunked: bool) -> None:
        """Create the input before the first byte of the body is read.

        Args:
            reader: Buffered reader of the connection.
            content_length: Declared length in bytes; None if absent.
            socket: The connection if the client waits for `100 Continue`, else None.
            chunked: Whether the body uses the chunked transfer encoding.
        """
        super().__init__(reader, content_length, socket, chunked)
        self.is_consumed = not chunked and not content_length
        """Whether the whole body was read."""
        self._bytes_until_yield = BYTES_PER_YIELD
        self._chunks_until_yield = CHUNKS_PER_YIELD

    def read_body(self, maximum_bytes: int) -> bytes | MerlinstandError:
        """Read the whole body.

        Args:
            maximum_bytes: Longer bodies are rejected.

        Returns:
            The body, or why it is rejected.

        Raises:
            MalformedBodyError: The body is truncated or violates the chunked framing.
            OSError: The connection failed, or a time limit expired.
        """
        if self.chunked_input:
            body = self._read_chunked(maximum_bytes)
        else:
            body = self._read_announced(maximum_bytes)
        self.is_consumed = isinstance(body, bytes)
        return body

    def _discard(self) -> None:
        """Do nothing: discarding the rest would let a bad client occupy the connection."""

    def _read_announced(self, maximum_bytes: int) -> bytes | MerlinstandError:
        length = self.content_length or 0
        if length > maximum_bytes:
            return BodyTooLargeError(detail=f"body of {length} bytes exceeds {maximum_bytes}")
        if length <= PIECE_BYTES:
            return bytes(self.read(length))
        self._send_100_continue()
        body = BytesIO()
        while body.tell() < length:
            self._copy_piece(body, length - body.tell())
        return body.getvalue()

    def _read_chunked(self, maximum_bytes: int) -> bytes | MerlinstandError:
        self._send_100_continue()
        body = BytesIO()
        while chunk_bytes := self._read_chunk_size():
            end = body.tell() + chunk_bytes
            if end > maximum_bytes:
                return BodyTooLargeError(detail=f"body exceeds {maximum_bytes} bytes")
            while body.tell() < end:
                piece_bytes = min(PIECE_BYTES, end - body.tell())
                self._copy_piece(body, piece_bytes)
            if self.rfile.read(len(_LINE_END)) != _LINE_END:
                raise MalformedBodyError("no line end after a chunk")
        error = self._skip_trailers()
        return body.getvalue() if error is None else error

    def _copy_piece(self, body: BytesIO, maximum_bytes: int) -> None:
        """Append the bytes that have arrived, or wait for some."""
        data = self.rfile.read1(min(PIECE_BYTES, maximum_bytes))
        if not data:
            raise MalformedBodyError("the connection ended before the body did")
        body.write(data)
        self._bytes_until_yield -= len(data)
        if self._bytes_until_yield <= 0:
            self._bytes_until_yield = BYTES_PER_YIELD
            gevent.sleep(0)

    def _read_chunk_size(self) -> int:
        self._chunks_until_yield -= 1
        if self._chunks_until_yield <= 0:
            self._chunks_until_yield = CHUNKS_PER_YIELD
            gevent.sleep(0)
        size, _separator, _extensions = self._read_line().partition(b";")
        if not _CHUNK_SIZE.match(size):
            raise MalformedBodyError("chunk size is not a hexadecimal number")
        return int(size, 16)

    def _skip_trailers(self) -> HeadTooLargeError | None:
        left_bytes = MAXIMUM_HEAD_BYTES
        while line := self._read_line():
            left_bytes -= len(line) + len(_LINE_END)
            if left_bytes < 0:
                return HeadTooLargeError(detail=f"trailers exceed {MAXIMUM_HEAD_BYTES} bytes")
            name, colon, _value = line.decode("latin-1").partition(":")
            if not (colon and TOKEN.match(name)):
                raise MalformedBodyError("malformed trailer")
        return None

    def _read_line(self) -> bytes:
        """Read a line of the framing; return it without its end."""
        line: bytes = self.rfile.readline(MAXIMUM_CHUNK_LINE_BYTES)
        content = line[: -len(_LINE_END)]
        if not line.endswith(_LINE_END) or b"\r" in content:
            raise MalformedBodyError("truncated, malformed or too long line in a chunked body")
        return content
