"""Sends one HTTP request with a JSON body and returns the complete response or an error.

Uses the standard library's `http.client`, so that a trainer's process does not load gevent.
"""

import http.client
import io
import socket
import time
from http import HTTPStatus
from typing import Any

import msgspec
from result import Err, Ok, Result

from merlinstand.client.errors import NoAnswerError
from merlinstand.common.decoding import DECODE_ERRORS

INITIAL_BACKOFF_SECONDS = 0.1
"""Wait after the first failed attempt; doubles with each further one, up to the caller's limit."""
RETRYABLE_STATUSES = frozenset(
    (
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.INTERNAL_SERVER_ERROR,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)
"""Statuses that allow a retry: the server is not the leader or owner, is overloaded, or failed."""
MAXIMUM_RESPONSE_BYTES = 1024 * 1024 * 1024
"""Responses with a longer body are rejected; a batch with all its samples must fit."""
MAXIMUM_BODY_SECONDS = 600.0
"""Time limit of a whole body, however often it makes progress."""
_INTERIM_STATUSES = range(102, 200)
_FINAL_STATUSES = range(200, 600)
"""Statuses outside the classes of RFC 9110, 15 are invalid."""
READ_BYTES = 64 * 1024
"""Maximum size of one read of a body."""


class HttpResponse(msgspec.Struct, frozen=True):
    """A complete response."""

    status: int
    body: bytes


class ErrorResponse(msgspec.Struct, frozen=True, kw_only=True):
    """The JSON body of an error response; missing fields keep their defaults."""

    code: str = ""
    detail: str = ""
    retry_after_seconds: float | None = None
    owner: str = ""
    leader: str = ""


class _TimedReader(io.RawIOBase):
    """Reads from a socket until a time limit, however the bytes are spread over it."""

    def __init__(self, sock: socket.socket, raw: io.RawIOBase, timeout_seconds: float) -> None:
        self._socket = sock
        self._raw = raw
        """Keeps the socket open after its connection was closed."""
        self.has_ended = False
        """Whether the server closed the connection."""
        self._timeout_seconds = timeout_seconds
        self.restart()

    def restart(self) -> None:
        """Restart the time limit, because the response made progress."""
        self._expires_at = time.monotonic() + self._timeout_seconds

    def readable(self) -> bool:
        return True

    def close(self) -> None:
        self._raw.close()
        super().close()

    def readinto(self, buffer: Any) -> int | None:
        remaining = self._expires_at - time.monotonic()
        if remaining <= 0:
            raise TimeoutError(f"no progress within {self._timeout_seconds:g} s")
        self._socket.settimeout(remaining)
        size = self._raw.readinto(buffer)
        self.has_ended = size == 0
        return size


class _TimedResponse(http.client.HTTPResponse):
    """A response whose head, and each piece of whose body, must arrive within a time limit.

    The timeout of a socket applies to each received packet, so a server that sends a byte now and
    then would never exceed it.
    """

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any) -> None:
        super().__init__(sock, *args, **kwargs)
        self._reader = _TimedReader(sock, self.fp.detach(), sock.gettimeout() or 0.0)
        self.fp = io.BufferedReader(self._reader)

    def begin(self) -> None:
        """Read the head of the final response.

        Raises:
            http.client.BadStatusLine: The status is outside 100 to 599, or an unrequested 101.
            http.client.IncompleteRead: The connection ended within the head, which `http.client`
                takes for the end of the head.
        """
        super().begin()
        while self.status in _INTERIM_STATUSES:
            # `http.client` skips only 100 (Continue).
            self.headers = None  # type: ignore[assignment]
            super().begin()
        if self.status not in _FINAL_STATUSES:
            raise http.client.BadStatusLine(f"status {self.status:03d}")
        if self._reader.has_ended:
            raise http.client.IncompleteRead(b"")

    def read_whole(self, maximum_bytes: int) -> bytes:
        """Read the body.

        Raises:
            ValueError: The body is larger than `maximum_bytes`, or its end can't be told from that
                of the connection.
            TimeoutError: The body or a piece of it took too long.
            http.client.IncompleteRead: The body is shorter than its declared length.
        """
        if self.length is None and not self.chunked:
            raise ValueError("response without length")
        if self.length is not None and self.length > maximum_bytes:
            raise ValueError(f"response exceeds {maximum_bytes} bytes")
        missing = self.length
        pieces = []
        size = 0
        ends_at = time.monotonic() + MAXIMUM_BODY_SECONDS
        while piece := self.read1(READ_BYTES):
            self._reader.restart()
            pieces.append(piece)
            size += len(piece)
            if size > maximum_bytes:
                raise ValueError(f"response exceeds {maximum_bytes} bytes")
            if time.monotonic() > ends_at:
                raise TimeoutError(f"body incomplete after {MAXIMUM_BODY_SECONDS:g} s")
        body = b"".join(pieces)
        if missing is not None and size < missing:
            raise http.client.IncompleteRead(body, missing - size)
        return body


def post_json(
    address: str,
    path: str,
    body: bytes,
    *,
    timeout_seconds: float,
    headers: dict[str, str] | None = None,
) -> Result[HttpResponse, NoAnswerError]:
    """Send one `POST` on a new connection and read the complete response.

    Connections are not reused, so that a late response to an earlier request cannot be mistaken
    for the response to this one.

    Args:
        address: `ip:port` of the server.
        path: Path of the request.
        body: JSON.
        timeout_seconds: Timeout of the connection, of the response's head, and of each piece of its
            body.
        headers: Further headers.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_seconds)
    connection.response_class = _TimedResponse
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    try:
        connection.request("POST", path, body=body, headers=all_headers)
        response = connection.getresponse()
        assert isinstance(response, _TimedResponse)
        return Ok(HttpResponse(response.status, response.read_whole(MAXIMUM_RESPONSE_BYTES)))
    except (OSError, http.client.HTTPException, ValueError) as error:
        return Err(NoAnswerError(detail=f"{address}: {error!r}"))
    finally:
        connection.close()


def decode_error(response: HttpResponse) -> ErrorResponse:
    """Decode an error response; a malformed body gives an empty `ErrorResponse`."""
    try:
        return msgspec.json.decode(response.body, type=ErrorResponse)
    except DECODE_ERRORS:
        return ErrorResponse()
