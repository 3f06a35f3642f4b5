"""Connections to HTTP servers: a pool, the request's bytes and the response's parser.

`ConnectionPool` owns the connections that are idle between calls; a call owns the one that it took
until it gives it back (`http_client`). They are opened by `dialing`. A connection is kept only if
its last response was read to its end.
"""

import contextlib
import re
import socket
import struct
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

if TYPE_CHECKING:
    from gevent.ssl import SSLContext

IDLE_CONNECTION_SECONDS = 20.0
"""Kept connections are given up well before servers usually close them. Chosen, not measured."""
MAXIMUM_IDLE_CONNECTIONS = 64
"""Kept connections for each server, at most. Chosen, not measured."""
REUSED_UNACKNOWLEDGED_LIMIT_SECONDS = 1.0
"""A kept connection ends if a request on it isn't acknowledged for this long; see `dialing`. A new
one has just shown that its server answers, and a request on it that can't be repeated waits.
Computed (see `dialing`), not measured."""
RECEIVE_BYTES = 64 * 1024
"""Most that one read of a response takes. Chosen, not measured."""

_FIRST_FINAL_STATUS = 200
"""Responses with a lower status (1xx) are interim: the final one follows (RFC 9110, 15.2)."""
_METHODS_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))
_DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {"content-length", "host", "expect"}
_TARGET = re.compile(r"/[\x21-\x7e]*\Z")
_KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d{1,6})")
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""`SO_LINGER` switched on with no time: the kernel drops what it has not sent and resets."""
_BAD_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


class ConnectError(OSError):
    """No connection came about; nothing was sent."""


class Connection:
    """One TCP (or TLS) connection to a server."""

    def __init__(self, address: str, sock: Any, encrypted: bool) -> None:
        """Wrap a connected socket."""
        self.address = address
        self.encrypted = encrypted
        self.idle_since = 0.0
        self.idle_seconds = IDLE_CONNECTION_SECONDS
        """How long it may be idle; less if the server said so."""
        self.is_reused = False
        """Whether it was idle in the pool since it was opened."""
        self._socket = sock

    def send(self, data: memoryview) -> int:
        """Send some bytes; returns how many."""
        return int(self._socket.send(data))

    def receive(self) -> bytes:
        """Receive some bytes; empty at the connection's end."""
        return bytes(self._socket.recv(RECEIVE_BYTES))

    def is_open_and_unread(self) -> bool:
        """Tell whether the connection is open with nothing to read, as an idle one must be."""
        try:
            self._socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def mark_idle(self) -> None:
        """It is idle from now on: it may go silent unnoticed."""
        self.idle_since = boot_seconds()
        if not self.is_reused:
            self.is_reused = True
            set_unacknowledged_limit(self._socket, REUSED_UNACKNOWLEDGED_LIMIT_SECONDS)
            enable_keepalive(self._socket)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def abort(self) -> None:
        """Close the connection by a reset: bytes that have not arrived yet never will.

        A request that a cut link holds back would otherwise reach its server after the cut,
        although nobody waits for it any more.
        """
        # The connection may have been reset by the other side already.
        with contextlib.suppress(OSError):
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._socket.close()


class ConnectionPool:
    """Connects, and keeps connections whose last response was read to its end."""

    def __init__(
        self,
        tls_context: "SSLContext | None" = None,
        connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
    ) -> None:
        """Create an empty pool.

        Args:
            tls_context: Set to speak TLS to every server.
            connect_timeout_seconds: Longest time for a connection to come up.
        """
        self._tls_context = tls_context
        self._connect_timeout_seconds = connect_timeout_seconds
        self._idle: dict[str, list[Connection]] = {}

    def acquire(self, address: str, fresh: bool, connect_seconds: float = 0.0) -> Connection:
        """Give a kept connection that still looks sound, or a new one.

        Args:
            address: `ip:port` of the server.
            fresh: Whether it must be a new one.
            connect_seconds: Longest time for a new one to come up; 0 for the pool's own limit.

        Raises:
            ConnectError: No connection came about.
            ConnectionRefusedError: Nobody listens there.
            TimeoutError: The server did not answer in time.
        """
        idle = self._idle.get(address)
        while idle and not fresh:
            connection = idle.pop()
            is_unexpired = boot_seconds() - connection.idle_since < connection.idle_seconds
            if is_unexpired and connection.is_open_and_unread():
                return connection
            connection.close()
        return self._connect(address, connect_seconds)

    def release(self, connection: Connection) -> None:
        """Keep a connection for a later call."""
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
        """A kept connection was silent: others may have gone silent at the same time.

        Args:
            address: Of the server.
            since: Local time; what was used later was sound then.
        """
        idle = self._idle.get(address, [])
        suspected = [connection for connection in idle if connection.idle_since < since]
        for connection in suspected:
            idle.remove(connection)
            connection.close()

    def close_expired(self) -> None:
        """Close connections that were idle for too long."""
        now = boot_seconds()
        for address, idle in list(self._idle.items()):
            unexpired = [c for c in idle if now - c.idle_since < c.idle_seconds]
            for connection in idle:
                if connection not in unexpired:
                    connection.close()
            idle[:] = unexpired
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Close all kept connections."""
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
            # In this order: without TLS nobody needs the module `ssl`.
            if self._tls_context is not None and isinstance(error, gevent.ssl.SSLError):
                raise ConnectError(str(error)) from error
            raise
        # From here on the caller's own limit holds.
        sock.settimeout(None)
        return Connection(address, sock, self._tls_context is not None)


class ResponseParser(HTTPResponse):
    """geventhttpclient's parser, for exactly one final response."""

    _final_complete = False

    def feed(self, data: str | bytes) -> None:
        """Parse some bytes; whatever follows the response ends the connection's use."""
        try:
            super().feed(data)
        except HTTPParseError:
            if not self._final_complete:
                raise
            # The response itself is whole. The bytes behind it answer no request; the
            # base class would take them for another response and mix the two.
            self.headers_complete = True
            self.message_complete = True
            self._trailing_data_dropped = True

    def _on_message_begin(self) -> None:
        if self._final_complete:
            raise HTTPProtocolViolationError("bytes after the response")
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        self._final_complete = self.get_code() >= _FIRST_FINAL_STATUS

    @property
    def has_final_head(self) -> bool:
        """Whether the headers of a response other than 1xx are complete."""
        return bool(self.headers_complete) and self.get_code() >= _FIRST_FINAL_STATUS

    @property
    def body_size(self) -> int:
        """Number of body bytes not yet taken."""
        return len(self._body_buffer)

    def is_framed(self) -> bool:
        """Whether the headers say where the body ends."""
        if "transfer-encoding" in self:
            return "chunked" in str(self.get("transfer-encoding")).lower()
        return self.content_length is not None

    def keep_alive_seconds(self) -> float | None:
        """How long the server says that it keeps the connection; None if it doesn't say."""
        match = _KEEP_ALIVE_TIMEOUT.search(str(self.get("keep-alive") or ""))
        return None if match is None else float(match.group(1))

    def header_dict(self) -> dict[str, str]:
        """Give the headers, names in lower case."""
        headers: dict[str, str] = {}
        for name, value in self.headers:
            merge_header(headers, name.lower(), value)
        return headers

    def take_body(self) -> bytes:
        """Give the body bytes parsed so far and forget them."""
        data = bytes(self._body_buffer)
        del self._body_buffer[:]
        return data


def encode_request(call: StartCall) -> bytes:
    """Give the bytes of a request.

    Raises:
        ValueError: Method, path or headers can't be sent safely.
    """
    is_host_safe = not _BAD_VALUE.search(call.host)
    if not (TOKEN.match(call.method) and _TARGET.match(call.path) and is_host_safe):
        raise ValueError("method or path can't be sent")
    lines = [f"{call.method} {call.path} HTTP/1.1\r\nHost: {call.host or call.address}\r\n"]
    for name, value in call.headers.items():
        if name.lower() in _DROPPED_HEADERS:
            continue
        if not TOKEN.match(name) or _BAD_VALUE.search(value):
            raise ValueError("header can't be sent")
        lines.append(f"{name}: {value}\r\n")
    if call.body or call.method in _METHODS_WITH_BODY:
        lines.append(f"Content-Length: {len(call.body)}\r\n")
    lines.append("\r\n")
    return "".join(lines).encode("latin-1") + call.body
