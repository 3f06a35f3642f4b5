"""Connections to HTTP servers: a connection pool, request encoding and the response parser.

`ConnectionPool` owns idle connections; a call (`http_client`) owns the connection that it acquired
until it releases it. `dialing` opens connections. A connection is reused only if its last response
was read completely.
"""

import contextlib
import re
import socket
import struct
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import gevent.ssl
from geventhttpclient.response import (
    HTTPParseError,
    HTTPProtocolViolationError,
    HTTPResponse,
)

from merlinstand.common.boot_clock import boot_seconds
from merlinstand.kernel.effects import StartCall
from merlinstand.runtime.dialing import dial, enable_keepalive, set_unacknowledged_limit
from merlinstand.runtime.host_settings import CONNECT_TIMEOUT_SECONDS
from merlinstand.runtime.http_headers import HOP_BY_HOP_HEADERS, TOKEN, merge_header
from merlinstand.runtime.response_limits import ResponsePart, ResponseTooLargeError

if TYPE_CHECKING:
    from gevent.ssl import SSLContext

IDLE_CONNECTION_SECONDS = 20.0
"""Default idle timeout, well below the usual timeouts of servers."""
MAXIMUM_IDLE_CONNECTIONS = 64
"""Maximum idle connections for each server."""
REUSED_UNACKNOWLEDGED_LIMIT_SECONDS = 1.0
"""A reused connection ends if a request on it stays unacknowledged for this long; see `dialing`.
The limit on new connections is longer: their server has just responded, and a request that can't
be retried should wait."""
RECEIVE_BYTES = 64 * 1024
"""Maximum size of one read of a response."""
MAXIMUM_JOINED_BODY_BYTES = 64 * 1024
"""Bodies up to this size are sent in one write with their headers."""

_PROTOCOL = b"HTTP/1."
"""Start of a status line (RFC 9112, 4); the library also accepts other protocols and versions."""
_VERSIONS = ("HTTP/1.0", "HTTP/1.1")
_FIRST_STATUS = 100
_FIRST_FINAL_STATUS = 200
"""Responses with a lower status (1xx) are interim; a final one follows (RFC 9110, 15.2)."""
_LAST_STATUS = 599
"""Statuses outside the five classes are invalid (RFC 9110, 15)."""
_METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))
_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {"content-length", "host", "expect"}
_TARGET = re.compile(r"/[\x21-\x7e]*\Z")
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,6})")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""`SO_LINGER` with a timeout of 0: on close, the kernel drops unsent data and sends a reset."""
_BAD_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


class ConnectError(OSError):
    """The connection could not be opened; nothing was sent."""


class InvalidStatusError(HTTPProtocolViolationError):
    """The status is outside 100 to 599, or 101 (Switching Protocols), which no call requests."""

    def __init__(self, status: int) -> None:
        """Create the error."""
        super().__init__(f"status {status:03d}")


class Connection:
    """One TCP (or TLS) connection to a server."""

    def __init__(self, address: str, sock: Any, encrypted: bool) -> None:
        """Wrap a connected socket."""
        self.address = address
        self.encrypted = encrypted
        self.idle_since = 0.0
        self.idle_seconds = IDLE_CONNECTION_SECONDS
        """Idle timeout; shorter if the server announced a shorter one."""
        self.is_reused = False
        """Whether it has been idle in the pool at least once since it was opened."""
        self._socket = sock

    def send(self, data: memoryview) -> int:
        """Send some bytes and return their number."""
        return int(self._socket.send(data))

    def receive(self) -> bytes:
        """Receive some bytes; empty at the end of the connection."""
        return bytes(self._socket.recv(RECEIVE_BYTES))

    def is_open_and_unread(self) -> bool:
        """Return whether the connection is open with no unread bytes, as an idle one must be."""
        try:
            self._socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection may be used for another call."""
        return now - self.idle_since < self.idle_seconds and self.is_open_and_unread()

    def mark_idle(self) -> None:
        """Record that the connection is idle, and enable detection of an unresponsive server.

        Raises:
            OSError: The connection has failed.
        """
        self.idle_since = boot_seconds()
        if not self.is_reused:
            self.is_reused = True
            set_unacknowledged_limit(self._socket, REUSED_UNACKNOWLEDGED_LIMIT_SECONDS)
            enable_keepalive(self._socket)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def abort(self) -> None:
        """Close the connection by a reset, so that undelivered bytes are discarded.

        Otherwise a request delayed by a network partition could reach its server after the
        partition heals, although the call was given up.
        """
        # The server may already have reset the connection.
        with contextlib.suppress(OSError):
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._socket.close()


class ConnectionPool:
    """Opens connections and pools those whose last response was read completely."""

    def __init__(
        self,
        tls_context: "SSLContext | None" = None,
        connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
    ) -> None:
        """Create an empty pool.

        Args:
            tls_context: If set, TLS is used for every server.
            connect_timeout_seconds: Connect timeout.
        """
        self._tls_context = tls_context
        self._connect_timeout_seconds = connect_timeout_seconds
        self._idle: dict[str, list[Connection]] = {}

    def acquire(self, address: str, fresh: bool, connect_seconds: float = 0.0) -> Connection:
        """Return an idle connection that still appears usable, or a new one.

        Args:
            address: `ip:port` of the server.
            fresh: Whether the connection must be new.
            connect_seconds: Connect timeout, capped at the pool's; 0 selects the pool's.

        Raises:
            ConnectError: The address is invalid, or the TLS handshake failed.
            ConnectionRefusedError: Nothing listens at the address.
            TimeoutError: The server did not respond in time.
            OSError: The connection failed for another reason.
        """
        idle = self._idle.get(address)
        while idle and not fresh:
            connection = idle.pop()
            if connection.is_usable(boot_seconds()):
                return connection
            connection.close()
        return self._connect(address, connect_seconds)

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool; it is closed if the pool is full or it has failed."""
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= MAXIMUM_IDLE_CONNECTIONS:
            connection.close()
            return
        try:
            connection.mark_idle()
        except OSError:
            connection.close()
            return
        idle.append(connection)

    def drop_idle_before(self, address: str, since: float) -> None:
        """Close idle connections that may have become unresponsive together with another one.

        Args:
            address: `ip:port` of the server.
            since: Local time; connections released later worked then, and stay.
        """
        idle = self._idle.get(address, [])
        suspected = [connection for connection in idle if connection.idle_since < since]
        for connection in suspected:
            idle.remove(connection)
            connection.close()

    def close_unusable(self) -> None:
        """Close idle connections that can't be used again.

        Otherwise bytes that a server sends after its response would occupy the receive buffer until
        the idle timeout.
        """
        now = boot_seconds()
        for address, idle in list(self._idle.items()):
            usable = [connection for connection in idle if connection.is_usable(now)]
            for connection in idle:
                if connection not in usable:
                    connection.close()
            idle[:] = usable
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()

    def _connect(self, address: str, connect_seconds: float) -> Connection:
        limit_seconds = self._connect_timeout_seconds
        if connect_seconds > 0.0:
            limit_seconds = min(limit_seconds, connect_seconds)
        try:
            sock = dial(address, limit_seconds, self._tls_context)
        except ValueError as error:
            raise ConnectError(str(error)) from error
        except OSError as error:
            # Checked in this order to avoid loading the `ssl` module without TLS.
            if self._tls_context is not None and isinstance(error, gevent.ssl.SSLError):
                raise ConnectError(str(error)) from error
            raise
        # From here on the caller's own time limit applies.
        sock.settimeout(None)
        return Connection(address, sock, self._tls_context is not None)


class ResponseParser(HTTPResponse):
    """geventhttpclient's parser, limited to one final response."""

    _final_complete = False

    def __init__(self, method: str, maximum_header_lines: int) -> None:
        """Create a parser.

        Args:
            method: Method of the request.
            maximum_header_lines: Maximum header lines of all heads and trailers together.
        """
        super().__init__(method)
        self._maximum_header_lines = maximum_header_lines
        self._start: bytes | None = b""
        """Received part of `_PROTOCOL`; None once it is complete."""

    def _flush_header(self) -> None:
        # Checked here and not after a read, since one read may contain ten thousand lines.
        if self._header_position > self._maximum_header_lines + 1:
            raise ResponseTooLargeError(ResponsePart.HEAD, self._maximum_header_lines)
        super()._flush_header()

    def feed(self, data: str | bytes) -> None:
        """Parse some bytes; bytes after the response make the connection unusable for others."""
        if self._start is not None and isinstance(data, bytes):
            self._check_protocol(self._start + data)
        try:
            super().feed(data)
        except HTTPParseError:
            if not self._final_complete:
                raise
            # The response itself is complete. The bytes after it belong to no request; the
            # base class would parse them as another response and merge the two.
            self.headers_complete = True
            self.message_complete = True
            self._trailing_data_dropped = True

    def _on_message_begin(self) -> None:
        if self._final_complete:
            raise HTTPProtocolViolationError("bytes after the response")
        super()._on_message_begin()

    def _check_protocol(self, received: bytes) -> None:
        """Raise an error if the response begins like one of another protocol."""
        # The parser skips empty lines before the status line.
        start = received.lstrip(b"\r\n")[: len(_PROTOCOL)]
        if not _PROTOCOL.startswith(start):
            raise HTTPProtocolViolationError("not an HTTP/1.x response")
        self._start = None if start == _PROTOCOL else start

    def _on_status(self, reason: str) -> None:
        # Not only at the end of the head, which such a server may never send.
        self._check_status_line()
        super()._on_status(reason)

    def _on_headers_complete(self) -> Any:
        # Again, since some servers omit the reason phrase with the space before it.
        self._check_status_line()
        return super()._on_headers_complete()

    def _check_status_line(self) -> None:
        """Raise an error for another protocol version or an invalid status."""
        if self.get_http_version() not in _VERSIONS:
            raise HTTPProtocolViolationError("not an HTTP/1.x response")
        status = self.get_code()
        is_valid = _FIRST_STATUS <= status <= _LAST_STATUS
        if not is_valid or status == HTTPStatus.SWITCHING_PROTOCOLS:
            raise InvalidStatusError(status)

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        self._final_complete = self.get_code() >= _FIRST_FINAL_STATUS

    @property
    def has_final_head(self) -> bool:
        """Whether the headers of the final (not 1xx) response are complete."""
        return bool(self.headers_complete) and self.get_code() >= _FIRST_FINAL_STATUS

    @property
    def is_complete(self) -> bool:
        """Whether the final response is complete, and not only an interim one before it."""
        return bool(self.message_complete) and self._final_complete

    @property
    def body_size(self) -> int:
        """Number of body bytes not yet consumed by `take_body`."""
        return len(self._body_buffer)

    def is_framed(self) -> bool:
        """Return whether the headers determine where the body ends."""
        if "transfer-encoding" in self:
            return "chunked" in str(self.get("transfer-encoding")).lower()
        return self.content_length is not None

    def keep_alive_seconds(self) -> float | None:
        """Return the idle timeout that the server announced; None if it announced none."""
        match = _KEEP_ALIVE_TIMEOUT.search(str(self.get("keep-alive") or ""))
        return None if match is None else float(match.group(1))

    def header_dict(self) -> dict[str, str]:
        """Return the headers by lower-case name."""
        headers: dict[str, str] = {}
        for name, value in self.headers:
            merge_header(headers, name.lower(), value)
        return headers

    def take_body(self) -> bytes:
        """Remove and return the body bytes parsed so far."""
        data = bytes(self._body_buffer)
        del self._body_buffer[:]
        return data


def encode_request(call: StartCall) -> tuple[bytes, bytes]:
    """Encode a request.

    Returns:
        What to send first, and the rest of the body. Small bodies are joined to the head, to be
        sent in one write; large ones are not copied.

    Raises:
        ValueError: The method, path or a header contains characters that are not allowed.
    """
    is_host_safe = not _BAD_VALUE.search(call.host)
    if not (TOKEN.match(call.method) and _TARGET.match(call.path) and is_host_safe):
        raise ValueError("method, path or host contains characters that are not allowed")
    lines = [f"{call.method} {call.path} HTTP/1.1\r\nHost: {call.host or call.address}\r\n"]
    for name, value in call.headers.items():
        if name.lower() in _DROPPED_HEADERS:
            continue
        if not TOKEN.match(name) or _BAD_VALUE.search(value):
            raise ValueError("header contains characters that are not allowed")
        lines.append(f"{name}: {value}\r\n")
    if call.body or call.method in _METHODS_WITH_BODY:
        lines.append(f"Content-Length: {len(call.body)}\r\n")
    lines.append("\r\n")
    head = "".join(lines).encode("latin-1")
    if len(call.body) > MAXIMUM_JOINED_BODY_BYTES:
        return head, call.body
    return head + call.body, b""
