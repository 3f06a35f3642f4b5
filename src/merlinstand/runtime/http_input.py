"""Reads request bodies from a connection into memory that the process's budget allows.

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
from merlinstand.runtime.allocator import prepare_for_block
from merlinstand.runtime.connection_usage import ConnectionUsage
from merlinstand.runtime.http_headers import MAXIMUM_HEAD_BYTES, TOKEN
from merlinstand.runtime.request_budget import SMALL_BODY_BYTES

PIECE_BYTES = 64 * 1024
"""Maximum size of one read of a body."""
RESERVATION_STEP_BYTES = 256 * 1024
"""A body of unknown length reserves its room in steps of this size."""
SMALL_RESERVATION_STEP_BYTES = 4 * 1024
"""The same, while it is small."""
BYTES_PER_YIELD = 256 * 1024
"""Bytes of a body between two yields to the event loop."""
CHUNKS_PER_YIELD = 100
"""Chunks of a body between two yields to the event loop."""
SMALL_CHUNK_BYTES = 4 * 1024
"""Chunks up to this size are read in one call with the line end behind them."""
MAXIMUM_CHUNK_LINE_BYTES = 8 * 1024
"""Maximum length of a chunk's size and extensions, or of one trailer."""

_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[^\r\n]*)?\r\n\Z")
_LINE_END = b"\r\n"


class MalformedBodyError(ValueError):
    """The body is truncated or violates the chunked framing."""


class NoRoomForBodyError(Exception):
    """Carries the error of a body that found no room out of the loop that reads it."""

    def __init__(self, error: MerlinstandError) -> None:
        """Wrap the error."""
        super().__init__(error.detail)
        self.error = error


class EndpointInput(Input):
    """A request body. The rest of an unread body is not awaited; its connection is closed."""

    __slots__ = ("_bytes_until_yield", "is_consumed")

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

    def read_body(self, maximum_bytes: int, usage: ConnectionUsage) -> bytes | MerlinstandError:
        """Read the whole body.

        Args:
            maximum_bytes: Longer bodies are rejected.
            usage: Reserves the memory for it.

        Returns:
            The body, or why it is rejected.

        Raises:
            MalformedBodyError: The body is truncated or violates the chunked framing.
            OSError: The connection failed, or a time limit expired.
        """
        body: bytes | MerlinstandError
        try:
            if self.chunked_input:
                body = self._read_chunked(maximum_bytes, usage)
            else:
                body = self._read_announced(maximum_bytes, usage)
        except NoRoomForBodyError as error:
            return error.error
        self.is_consumed = isinstance(body, bytes)
        return body

    def _discard(self) -> None:
        """Do nothing: discarding the rest would let a bad client occupy the connection."""

    def _read_announced(
        self, maximum_bytes: int, usage: ConnectionUsage
    ) -> bytes | MerlinstandError:
        length = self.content_length or 0
        if length > maximum_bytes:
            return BodyTooLargeError(detail=f"body of {length} bytes exceeds {maximum_bytes}")
        if length <= SMALL_BODY_BYTES:
            error = usage.add_small(length)
            return bytes(self.read(length)) if error is None else error
        error = usage.reserve_body(length, is_final=True)
        if error is not None:
            return error
        prepare_for_block(length)
        self._send_100_continue()
        body = BytesIO()
        while body.tell() < length:
            self._copy_piece(body, length - body.tell(), usage)
        return body.getvalue()

    def _read_chunked(self, maximum_bytes: int, usage: ConnectionUsage) -> bytes | MerlinstandError:
        self._send_100_continue()
        body = BytesIO()
        read, read_line, write = self.rfile.read, self.rfile.readline, body.write
        size_bytes = reserved_bytes = recorded_bytes = 0
        chunks_until_yield = CHUNKS_PER_YIELD
        # Very small chunks are legal, so each takes as few calls as possible.
        while True:
            match = _CHUNK_LINE.match(read_line(MAXIMUM_CHUNK_LINE_BYTES))
            if match is None:
                raise MalformedBodyError("truncated, malformed or too long size line of a chunk")
            chunk_bytes = int(match[1], 16)
            if not chunk_bytes:
                break
            end = size_bytes + chunk_bytes
            if end > maximum_bytes:
                return BodyTooLargeError(detail=f"body exceeds {maximum_bytes} bytes")
            if chunk_bytes > SMALL_CHUNK_BYTES:
                reserved_bytes = self._copy_large_chunk(body, chunk_bytes, reserved_bytes, usage)
                recorded_bytes += chunk_bytes
            else:
                if end > reserved_bytes:
                    reserved_bytes = _reserve(usage, end, reserved_bytes)
                data = read(chunk_bytes + 2)
                if len(data) != chunk_bytes + 2 or data[chunk_bytes:] != _LINE_END:
                    raise MalformedBodyError("chunk is truncated or longer than its size")
                write(data[:chunk_bytes])
            size_bytes = end
            chunks_until_yield -= 1
            if not chunks_until_yield:
                chunks_until_yield = CHUNKS_PER_YIELD
                usage.record_arrived(size_bytes - recorded_bytes)
                recorded_bytes = size_bytes
                gevent.sleep(0)
        error = self._skip_trailers()
        return body.getvalue() if error is None else error

    def _copy_large_chunk(
        self, body: BytesIO, chunk_bytes: int, reserved_bytes: int, usage: ConnectionUsage
    ) -> int:
        """Append a chunk in pieces; return the bytes reserved for the body now."""
        while chunk_bytes:
            piece_bytes = min(PIECE_BYTES, chunk_bytes)
            needed_bytes = body.tell() + piece_bytes
            if needed_bytes > reserved_bytes:
                reserved_bytes = _reserve(usage, needed_bytes, reserved_bytes)
            chunk_bytes -= self._copy_piece(body, piece_bytes, usage)
        if self.rfile.read(len(_LINE_END)) != _LINE_END:
            raise MalformedBodyError("no line end after a chunk")
        return reserved_bytes

    def _copy_piece(self, body: BytesIO, maximum_bytes: int, usage: ConnectionUsage) -> int:
        """Append the bytes that have arrived, or wait for some; return their number."""
        data = self.rfile.read1(min(PIECE_BYTES, maximum_bytes))
        if not data:
            raise MalformedBodyError("the connection ended before the body did")
        body.write(data)
        usage.record_arrived(len(data))
        self._bytes_until_yield -= len(data)
        if self._bytes_until_yield <= 0:
            self._bytes_until_yield = BYTES_PER_YIELD
            gevent.sleep(0)
        return len(data)

    def _skip_trailers(self) -> HeadTooLargeError | None:
        left_bytes = MAXIMUM_HEAD_BYTES
        while (line := self.rfile.readline(MAXIMUM_CHUNK_LINE_BYTES)) != _LINE_END:
            left_bytes -= len(line)
            if left_bytes < 0:
                return HeadTooLargeError(detail=f"trailers exceed {MAXIMUM_HEAD_BYTES} bytes")
            name, colon, value = line.decode("latin-1").partition(":")
            if not (colon and TOKEN.match(name) and value.endswith("\r\n")):
                raise MalformedBodyError("truncated, malformed or too long trailer")
        return None


def _reservation_bytes(needed_bytes: int) -> int:
    """Return the size to reserve for a body that has this many bytes and may grow."""
    step = RESERVATION_STEP_BYTES
    if needed_bytes <= SMALL_BODY_BYTES:
        step = SMALL_RESERVATION_STEP_BYTES
    return -(-needed_bytes // step) * step


def _reserve(usage: ConnectionUsage, needed_bytes: int, reserved_bytes: int) -> int:
    """Reserve room for a body of unknown length; return the bytes reserved now.

    Raises:
        NoRoomForBodyError: There is no room.
    """
    reservation_bytes = _reservation_bytes(needed_bytes)
    if reservation_bytes <= SMALL_BODY_BYTES:
        error = usage.add_small(reservation_bytes - reserved_bytes)
    else:
        prepare_for_block(reservation_bytes)
        error = usage.reserve_body(reservation_bytes, is_final=False)
    if error is not None:
        raise NoRoomForBodyError(error)
    return reservation_bytes
