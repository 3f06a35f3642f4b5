"""The falcon application that turns HTTP requests into events and effects into responses.

`HttpEndpoint` owns an `Exchange` for each pending request. The greenlet of its connection
(`http_server`) submits `RequestReceived` and waits; the reducer's `Respond` effects find the
exchange by request id. If the client disconnects first, the reducer gets one `RequestAborted`.

Requests that exceed a limit, or arrive while the process stops, are refused here and never reach
the reducer. All others do, whatever their method and path: falcon sees neither. Health checks and
metrics have an address of their own (`health_endpoint`).
"""

import itertools
import re
from collections.abc import Callable
from typing import Any

from falcon.app import App
from falcon.http_error import HTTPError
from falcon.request import Request
from falcon.response import Response
from gevent import GreenletExit

from merlinstand.common.errors import (
    STOPPING_RETRY_AFTER_SECONDS,
    MerlinstandError,
    OutcomeUnknownError,
    StoppingError,
    error_body,
)
from merlinstand.common.ids import RequestId
from merlinstand.kernel.events import (
    Event,
    ReadinessRequested,
    RequestAborted,
    RequestReceived,
)
from merlinstand.runtime.connection_usage import ConnectionUsage
from merlinstand.runtime.end_watcher import DisconnectWatcher, is_disconnected
from merlinstand.runtime.errors import (
    MalformedRequestError,
    NoRoomError,
    SlowRequestError,
    TruncatedBodyError,
)
from merlinstand.runtime.host_settings import HttpLimits
from merlinstand.runtime.http_exchange import BrokenResponseError, Exchange
from merlinstand.runtime.http_headers import RequestHead, header_lines
from merlinstand.runtime.http_input import EndpointInput
from merlinstand.runtime.http_server import (
    BUFFER_KEY,
    HEAD_KEY,
    SOCKET_KEY,
    USAGE_KEY,
    WATCHDOG_KEY,
    EvictedError,
    SlowSenderError,
)
from merlinstand.runtime.kept_bytes import ConnectionBuffer
from merlinstand.runtime.request_bounds import RequestBounds

_FRAMING_HEADERS = frozenset(("content-length", "content-type", "date", "server"))
_EVERY_PATH = re.compile("")


class HttpEndpoint:
    """Tracks the requests that wait for a response."""

    def __init__(
        self,
        submit: Callable[[Event], None],
        limits: HttpLimits,
        bounds: RequestBounds | None = None,
        request_id_header: str = "",
    ) -> None:
        """Create an endpoint.

        Args:
            submit: Passes an event to the reducer.
            limits: Limits from the host's settings.
            bounds: Limits in force for requests; only `limits` apply if None.
            request_id_header: Lower-case name of the header with the client's request id.
        """
        self._submit = submit
        self._limits = limits
        self._request_id_header = request_id_header
        self.bounds = bounds or RequestBounds(limits)
        self._exchanges: dict[RequestId, Exchange] = {}
        self._numbers = itertools.count(1)
        self.closing = False
        """Set when the reducer has stopped: later requests are refused and not run."""
        self.application = make_application(self._serve)

    def respond(
        self, request_id: RequestId, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Send a complete response; ignored if the client has disconnected."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None:
            exchange.respond(status, headers, body)

    def start(self, request_id: RequestId, status: int, headers: dict[str, str]) -> None:
        """Send the headers of a streamed response; ignored if the client has disconnected."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None:
            exchange.start(status, headers)

    def push(self, request_id: RequestId, data: bytes) -> None:
        """Send bytes of a streamed response; ignored if the client has disconnected."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None:
            exchange.push(data)

    def end(self, request_id: RequestId, whole: bool) -> None:
        """End a streamed response; with `whole` False the client sees it as truncated."""
        exchange = self._exchanges.get(request_id)
        if exchange is not None:
            exchange.end(whole)

    def end_pending(self) -> int:
        """End the requests to which the reducer, which has stopped, will not respond any more.

        Their callers are told that the requests may have run; a streamed response is truncated.

        Returns:
            The number of these requests.
        """
        error = OutcomeUnknownError(detail="this process stopped before it could respond")
        headers = {"content-type": "application/json"}
        pending = [exchange for exchange in self._exchanges.values() if not exchange.ended]
        for exchange in pending:
            if exchange.streamed:
                exchange.end(whole=False)
            else:
                exchange.respond(error.http_status, headers, error_body(error))
        return len(pending)

    def _serve(self, req: Request, resp: Response, **_: Any) -> None:
        environ = req.env
        body = self.read_body(environ)
        if isinstance(body, MerlinstandError):
            self.refuse_unread(environ, resp, body)
            return
        exchange = self._admit(environ, resp, len(body))
        if exchange is None:
            return
        head: RequestHead = environ[HEAD_KEY]
        self._submit(
            RequestReceived(
                exchange.request_id,
                head.method,
                head.target,
                head.headers,
                body,
                environ["REMOTE_ADDR"],
            )
        )
        # The reducer may need only parts of a large body.
        del body
        self._complete(exchange, environ[SOCKET_KEY], resp)

    def serve_readiness(self, environ: dict[str, Any], response: Response) -> None:
        """Answer a readiness check, whose body was read, as the reducer decides."""
        exchange = self._admit(environ, response, 0)
        if exchange is None:
            return
        self._submit(ReadinessRequested(exchange.request_id))
        self._complete(exchange, environ[SOCKET_KEY], response)

    def _admit(
        self, environ: dict[str, Any], response: Response, body_bytes: int
    ) -> Exchange | None:
        """Open the exchange of a complete request; returns None if it was rejected.

        Raises:
            BrokenResponseError: The client disconnected before its request was read.
        """
        if self.closing:
            _refuse(response, stopping_error())
            return None
        if is_disconnected(environ[SOCKET_KEY]):
            raise BrokenResponseError
        evicted_with = environ[USAGE_KEY].record_complete(body_bytes)
        if evicted_with is not None:
            _refuse(response, evicted_with)
            return None
        buffer: ConnectionBuffer = environ[BUFFER_KEY]
        head: RequestHead = environ[HEAD_KEY]
        exchange = self._open_exchange(buffer)
        buffer.request = head.headers.get(self._request_id_header, exchange.request_id)
        return exchange

    def refuse_unread(
        self, environ: dict[str, Any], response: Response, error: MerlinstandError
    ) -> None:
        """Reject a request whose body did not arrive completely."""
        # What has arrived was dropped; the client may take a second to read the response.
        environ[USAGE_KEY].end_request()
        _refuse(response, error)

    def _open_exchange(self, buffer: ConnectionBuffer) -> Exchange:
        request_id = RequestId(f"r{next(self._numbers)}")
        exchange = Exchange(
            request_id,
            self._limits.maximum_unsent_response_bytes,
            self._close_exchange,
            buffer,
        )
        self._exchanges[request_id] = exchange
        return exchange

    def _close_exchange(self, exchange: Exchange) -> None:
        self._exchanges.pop(exchange.request_id, None)
        if not exchange.ended:
            self._submit(RequestAborted(exchange.request_id))

    def _complete(self, exchange: Exchange, connection: Any, response: Response) -> None:
        watcher = None
        if not exchange.status:
            watcher = DisconnectWatcher(connection, exchange.abort)
        try:
            exchange.wait_for_head()
        except BaseException:
            _stop_watcher(watcher)
            exchange.close()
            raise
        if exchange.streamed and not exchange.ended and watcher is None:
            watcher = DisconnectWatcher(connection, exchange.abort)
        _set_head(response, exchange)
        if exchange.streamed:
            response.stream = _StreamedBody(exchange, watcher)
        else:
            _stop_watcher(watcher)
            exchange.close()
            response.data = exchange.body

    def read_body(
        self, environ: dict[str, Any], maximum_bytes: int | None = None
    ) -> bytes | MerlinstandError:
        """Read the body within the request's read timeout, and clear the timeout.

        Args:
            environ: The WSGI environment of the request.
            maximum_bytes: Longer bodies are rejected; the limit in force if None.

        Returns:
            The body, or why it is rejected.
        """
        source: EndpointInput = environ["wsgi.input"]
        usage: ConnectionUsage = environ[USAGE_KEY]
        try:
            limit = self.bounds.maximum_body_bytes if maximum_bytes is None else maximum_bytes
            return source.read_body(limit, usage)
        except EvictedError:
            return usage.evicted_with or NoRoomError()
        except SlowSenderError:
            return SlowRequestError(detail="request body came too slowly")
        except GreenletExit:
            # The process closes its connections. This request has not reached the reducer.
            return stopping_error()
        except (OSError, ValueError):
            return TruncatedBodyError(detail="request body ended early or is malformed")
        finally:
            environ[WATCHDOG_KEY].clear_limit()
            usage.end_arrival()


def make_application(serve: Callable[..., None]) -> App:
    """Return a WSGI application that passes every request to one function.

    No routes are added, since falcon would answer their requests by itself: unknown methods with
    400, `OPTIONS` with 200, and other spellings of a path like the path.
    """
    application = App()
    application.add_sink(serve, prefix=_EVERY_PATH)
    application.set_error_serializer(_serialize_falcon_error)
    application.add_error_handler(BrokenResponseError, _reraise)
    return application


class _StreamedBody:
    """The iterable that pywsgi sends; pywsgi always calls its `close`."""

    def __init__(self, exchange: Exchange, watcher: DisconnectWatcher | None) -> None:
        self._exchange = exchange
        self._watcher = watcher
        self._chunks = exchange.chunks()

    def __iter__(self) -> Any:
        return self._chunks

    def close(self) -> None:
        _stop_watcher(self._watcher)
        self._exchange.close()


def _set_head(response: Response, exchange: Exchange) -> None:
    response.status = exchange.status
    for name, value in header_lines(exchange.headers):
        lower_name = name.lower()
        if lower_name == "content-type":
            response.content_type = value
        elif lower_name not in _FRAMING_HEADERS:
            response.append_header(name, value)


def stopping_error() -> StoppingError:
    """Return the error of requests that are rejected because the process stops."""
    return StoppingError(
        detail="this process is stopping", retry_after_seconds=STOPPING_RETRY_AFTER_SECONDS
    )


def _refuse(response: Response, error: MerlinstandError) -> None:
    """Send an error without the reducer; the connection is closed because its state is unknown."""
    response.status = type(error).http_status
    response.content_type = "application/json"
    response.data = error_body(error)
    response.set_header("Connection", "close")
    response.set_header("X-Outcome", "not_run")
    response.set_header("X-Not-Run", "true")
    if error.retry_after_seconds is not None:
        response.set_header("Retry-After", f"{error.retry_after_seconds:g}")


def _stop_watcher(watcher: DisconnectWatcher | None) -> None:
    if watcher is not None:
        watcher.stop()


def _serialize_falcon_error(_request: Request, response: Response, error: HTTPError) -> None:
    response.content_type = "application/json"
    response.data = error_body(MalformedRequestError(detail=error.title or "bad request"))
    response.set_header("X-Outcome", "not_run")


def _reraise(_request: Any, _response: Any, error: BaseException, _params: Any) -> None:
    raise error
