"""HTTP server on gevent.pywsgi that parses requests strictly and within limits.

`EndpointServer` accepts a limited number of connections; `EndpointHandler` serves the requests of
one connection in its greenlet. `http_headers` and `http_input` read a request, and the application
of `http_endpoint` gets it as a WSGI environment and answers it.

Each step has its own time limit: idle time between requests, a request's head and body (combined,
unless `RequestBounds` has a limit for the head), and each chunk of the response. Invalid requests
get typed errors and are not logged.
"""

import contextlib
import errno
import socket
import time
from functools import lru_cache, partial
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer, format_date_time
from result import Err

from merlinstand.common.boot_clock import boot_seconds
from merlinstand.common.errors import MerlinstandError, error_body
from merlinstand.runtime.early_listeners import LISTEN_BACKLOG
from merlinstand.runtime.end_watcher import has_unread
from merlinstand.runtime.errors import NoRoomError, SlowRequestError
from merlinstand.runtime.host_settings import HttpLimits
from merlinstand.runtime.http_connection import RESET_ON_CLOSE
from merlinstand.runtime.http_headers import RequestHead, read_request_head
from merlinstand.runtime.http_input import EndpointInput
from merlinstand.runtime.kept_bytes import BufferBudget
from merlinstand.runtime.request_bounds import RequestBounds
from merlinstand.runtime.request_budget import RequestBudget
from merlinstand.runtime.tls import BoundedHandshakeServer
from merlinstand.runtime.watchdog import Watchdog

if TYPE_CHECKING:
    from gevent.ssl import SSLContext

MAIN_SERVER_KEY = "merlinstand.front"
HEAD_KEY = "merlinstand.head"
BUFFER_KEY = "merlinstand.holding"
USAGE_KEY = "merlinstand.usage"
SOCKET_KEY = "merlinstand.socket"
WATCHDOG_KEY = "merlinstand.watchdog"
HEALTH_CONNECTIONS_DIVISOR = 16
"""The health address accepts this fraction of the connections of the main address."""
MINIMUM_HEALTH_CONNECTIONS = 8
_LINGER_SECONDS = 1.0
"""Maximum time for a refused client to read its response."""
_LINGER_BYTES = 4 * 1024 * 1024
"""Maximum bytes of a refused request that are read and discarded meanwhile; more if its body is
within the limits, since its client may read the response only after sending the body."""
_LINGER_CHUNK_BYTES = 64 * 1024
"""Maximum size of each of these reads."""
_MAXIMUM_JOINED_BODY_BYTES = 64 * 1024
"""Bodies up to this size are sent in one write with their headers."""


class EndpointServer(BoundedHandshakeServer, WSGIServer):
    """Accepts a limited number of connections and serves a WSGI application."""

    def __init__(
        self,
        listener: Any,
        application: Any,
        limits: HttpLimits,
        tls_context: "SSLContext | None",
        main_server: "EndpointServer | None" = None,
        bounds: RequestBounds | None = None,
        budget: BufferBudget | None = None,
        request_budget: RequestBudget | None = None,
    ) -> None:
        """Create a server; `start` begins accepting.

        Args:
            listener: `(ip, port)` to bind, or a listening socket.
            application: The WSGI application.
            limits: Limits for connections, reading and writing.
            tls_context: If set, TLS is used.
            main_server: The process's main server, if this one is at the health address.
            bounds: Limits in force for requests; only `limits` apply if None.
            budget: Accounts for unread response bytes; unlimited if None.
            request_budget: Accounts for connections and unfinished requests; unlimited if None.
        """
        maximum_connections = limits.maximum_connections
        if main_server is not None:
            maximum_connections = health_connections(maximum_connections)
        tls = {} if tls_context is None else {"ssl_context": tls_context}
        super().__init__(
            listener,
            application,
            backlog=None if isinstance(listener, socket.socket) else LISTEN_BACKLOG,
            spawn=Pool(maximum_connections),
            log=None,
            error_log=None,
            handler_class=EndpointHandler,
            environ={"SERVER_NAME": "merlinstand", MAIN_SERVER_KEY: main_server},
            **tls,
        )
        self.limits = limits
        self.bounds = bounds or RequestBounds(limits)
        self.budget = BufferBudget() if budget is None else budget
        self.request_budget = request_budget or RequestBudget()
        self.connection_group = self.request_budget.add_group(maximum_connections)
        self.handshake_usage = partial(self.request_budget.open_connection, self.connection_group)
        self.closing = False
        """Set during a planned stop: every response then closes its connection."""
        self.busy = 0
        """Number of connections with a request in progress."""

    @property
    def connection_share(self) -> float:
        """Fraction of the maximum connections that are open."""
        return len(self.pool) / self.limits.maximum_connections

    @property
    def is_accepting(self) -> bool:
        """Whether a new connection would be accepted now: neither full nor paused."""
        return self.started and self._watcher is not None and not self.full()


def health_connections(maximum_connections: int) -> int:
    """Return the maximum connections of the health address, given those of the main one."""
    return max(MINIMUM_HEALTH_CONNECTIONS, maximum_connections // HEALTH_CONNECTIONS_DIVISOR)


class SlowSenderError(OSError):
    """A request did not arrive completely within the time limit."""


class EvictedError(OSError):
    """The connection is closed before its request has run; `ConnectionUsage.evicted_with` says why.

    Its errno is `EPIPE`, for which pywsgi closes the connection without logging.
    """

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(errno.EPIPE, "connection closed before its request was complete")


class SlowReceiverError(OSError):
    """A client did not receive a response within the time limit.

    Its errno is `EPIPE`, for which pywsgi closes the connection without logging.
    """

    def __init__(self) -> None:
        """Create the error."""
        super().__init__(errno.EPIPE, "client reads the response too slowly")


class EndpointHandler(WSGIHandler):
    """Serves the requests of one connection sequentially."""

    server: EndpointServer
    provided_date: str | None

    def __init__(self, connection: Any, address: Any, server: EndpointServer) -> None:
        """Set up a new connection, in its greenlet."""
        super().__init__(connection, address, server)
        # Otherwise each chunk of a stream waits until the client has acknowledged the previous
        # one, which clients delay by up to 40 ms.
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._watchdog = Watchdog()
        self._buffer_usage = server.budget.open_connection(self._abort_slow_client)
        self._usage = server.request_budget.open_connection(
            server.connection_group, address[0], self._evict, lambda: has_unread(self.socket)
        )
        self._loop = gevent.get_hub().loop
        self._turn = -1
        """Event loop iteration in which `handle_one_request` was last called."""

    def handle(self) -> None:
        """Serve requests until the connection ends."""
        try:
            super().handle()
        finally:
            self._watchdog.close()
            self._buffer_usage.close()
            self._usage.close()

    def handle_one_request(self) -> Any:
        """Serve one request; see the base class for the meaning of the result."""
        limits = self.server.limits
        if self._turn == self._loop.iteration:
            # A client that pipelines requests gets one response for each loop iteration.
            gevent.sleep(0)
        self._turn = self._loop.iteration
        if not self._await_request():
            return None
        # Starts at the first byte; the application clears it when it has read the body.
        head_seconds = self.server.bounds.head_timeout_seconds
        self._watchdog.set_limit(
            head_seconds or limits.request_read_timeout_seconds, SlowSenderError
        )
        self.server.busy += 1
        self._usage.begin_request()
        try:
            return self._read_and_serve()
        finally:
            self.server.busy -= 1
            self._usage.end_request()

    def _await_request(self) -> bool:
        """Wait for the first byte of a request.

        Returns False if the connection ended or its idle timeout expired. No error is sent then,
        because there is no request to answer.
        """
        started_at = boot_seconds()
        current_deadline = 0.0
        while not self._usage.is_closed:
            # The reducer may raise the idle timeout while this waits.
            idle_deadline = started_at + self.server.bounds.idle_connection_seconds
            if idle_deadline <= current_deadline:
                return False
            current_deadline = idle_deadline
            self._watchdog.set_limit(idle_deadline - boot_seconds(), SlowSenderError)
            try:
                return bool(self.rfile.peek(1))
            except SlowSenderError:
                continue
            except OSError:
                return False
        return False

    def _read_and_serve(self) -> Any:
        bounds = self.server.bounds
        try:
            head = read_request_head(self.rfile, bounds.maximum_head_bytes, self._usage.add_head)
        except SlowSenderError:
            return self._refuse(SlowRequestError(detail="request head came too slowly"))
        except EvictedError:
            return self._refuse(self._usage.evicted_with or NoRoomError())
        except OSError:
            # The client disconnected while sending the head: no response can be sent.
            return None
        if isinstance(head, Err):
            return self._refuse(head.err_value)
        if head.ok_value is None:
            return None
        if bounds.head_timeout_seconds is not None:
            read_seconds = self.server.limits.request_read_timeout_seconds
            self._watchdog.set_limit(read_seconds, SlowSenderError)
        return self._serve(head.ok_value)

    def _refuse(self, error: MerlinstandError) -> Any:
        """Return an error response to the base class, which sends it and closes the connection."""
        self._usage.end_arrival()
        self._watchdog.set_limit(
            self.server.limits.response_write_timeout_seconds, SlowReceiverError
        )
        return _error_response(error)

    def _serve(self, head: RequestHead) -> Any:
        self.command = head.method
        self.path = head.target
        self.request_version = f"HTTP/{head.version}"
        self.requestline = head.target
        self.close_connection = not head.keep_alive
        self.content_length = head.content_length
        self.environ = self._make_environ(head)
        self.application = self.server.application
        self.handle_one_response()
        if not self.wsgi_input.is_consumed:
            self._linger()
            return None
        return None if self.close_connection else True

    def _make_environ(self, head: RequestHead) -> dict[str, Any]:
        environ = self.server.get_environ()
        expects = head.headers.get("expect", "").lower() == "100-continue"
        self.wsgi_input = EndpointInput(
            self.rfile,
            head.content_length,
            self.socket if expects else None,
            head.chunked,
        )
        environ["REQUEST_METHOD"] = head.method
        # The endpoints read the target from the head; falcon would decode and normalise it.
        environ["PATH_INFO"] = "/"
        environ["QUERY_STRING"] = ""
        environ["SERVER_PROTOCOL"] = self.request_version
        environ["REMOTE_ADDR"] = self.client_address[0]
        environ["wsgi.input"] = self.wsgi_input
        environ["wsgi.input_terminated"] = True
        environ[HEAD_KEY] = head
        environ[BUFFER_KEY] = self._buffer_usage
        environ[USAGE_KEY] = self._usage
        environ[SOCKET_KEY] = self.socket
        environ[WATCHDOG_KEY] = self._watchdog
        return environ

    def _linger(self) -> None:
        """Let the client read its response before the connection is closed.

        Closing with unread bytes makes the kernel send a reset, which can discard the response.
        Therefore a limited part of the remaining request is read and discarded first.
        """
        self._watchdog.set_limit(_LINGER_SECONDS, SlowSenderError)
        try:
            self.socket.shutdown(socket.SHUT_WR)
            left = _LINGER_BYTES
            if (self.content_length or 0) <= self.server.bounds.maximum_body_bytes:
                left = max(left, self.content_length or 0)
            while left > 0:
                # Available bytes don't yield to the event loop by themselves.
                gevent.sleep(0)
                data = self.socket.recv(_LINGER_CHUNK_BYTES)
                if not data:
                    break
                left -= len(data)
        except OSError:
            # The client disconnected, or was still sending when the time limit expired.
            return

    def start_response(self, status: str, headers: Any, exc_info: Any = None) -> Any:
        """Start a response; see the base class."""
        if self.server.closing:
            self.close_connection = True
        write = super().start_response(status, headers, exc_info)
        if self.close_connection and not any(name == "Connection" for name, _value in headers):
            self.response_headers.append((b"Connection", b"close"))
        return write

    def process_result(self) -> None:
        """Write the body; for a streamed one, send the headers immediately."""
        if not hasattr(self.result, "__len__"):
            self.write(b"")
        super().process_result()

    def finalize_headers(self) -> None:
        """Complete the headers; the date is formatted only once per second."""
        if self.provided_date is None:
            self.provided_date = "given here"
            self.response_headers.append((b"Date", _date_now()))
        super().finalize_headers()

    def _write_with_headers(self, data: bytes) -> None:
        self.headers_sent = True
        self.finalize_headers()
        lines = [b"HTTP/1.1 ", self.status, b"\r\n"]
        for name, value in self.response_headers:
            lines += (name, b": ", value, b"\r\n")
        lines.append(b"\r\n")
        if data and not self.response_use_chunked and len(data) <= _MAXIMUM_JOINED_BODY_BYTES:
            lines.append(data)
            self._sendall(b"".join(lines))
            return
        self._buffer_usage.record_queued(len(data))
        self._sendall(b"".join(lines))
        self._buffer_usage.record_sent(len(data))
        self._write(data)

    def _write(self, data: bytes) -> None:
        if not data:
            return
        if self.response_use_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._sendall(data)

    def _sendall(self, data: bytes) -> None:
        """Send part of the response within its own time limit."""
        self._watchdog.set_limit(
            self.server.limits.response_write_timeout_seconds, SlowReceiverError
        )
        if self._buffer_usage.is_closed:
            raise SlowReceiverError
        # Counted first: once part of it is sent, no error response may follow.
        self.response_length += len(data)
        self._buffer_usage.record_queued(len(data))
        view = memoryview(data)
        while view:
            sent = self.socket.send(view)
            self._buffer_usage.record_sent(sent)
            view = view[sent:]
        self._watchdog.clear_limit()

    def _abort_slow_client(self) -> None:
        """Abort the connection of a client that reads too slowly; callable from any greenlet."""
        self.close_connection = True
        # A reset makes the kernel discard the unread bytes. The client may already have closed the
        # connection.
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._watchdog.set_limit(0.0, SlowReceiverError)

    def _evict(self) -> None:
        """End the connection, whose client makes no progress; callable from any greenlet."""
        self.close_connection = True
        self._watchdog.set_limit(0.0, EvictedError)

    def log_request(self) -> None:
        """Write no access log; the reducers log requests."""

    def log_error(self, msg: str, *args: Any) -> None:
        """Write no error log; invalid requests get typed errors."""


def _error_response(error: MerlinstandError) -> tuple[str, bytes]:
    """Return the response to an unreadable request in pywsgi's error format."""
    status = HTTPStatus(type(error).http_status)
    body = error_body(error)
    retry_after = ""
    if error.retry_after_seconds is not None:
        retry_after = f"Retry-After: {error.retry_after_seconds:g}\r\n"
    head = (
        f"HTTP/1.1 {status.value} {status.phrase}\r\n"
        "Content-Type: application/json\r\n"
        "X-Outcome: not_run\r\n"
        "X-Not-Run: true\r\n"
        f"{retry_after}"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return str(status.value), head.encode("ascii") + body


@lru_cache(maxsize=1)
def _date_of(second: int) -> bytes:
    return bytes(format_date_time(second))


def _date_now() -> bytes:
    return _date_of(int(time.time()))
