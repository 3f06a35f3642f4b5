"""The falcon application that turns HTTP requests into events and effects into responses.

`HttpEndpoint` owns an `Exchange` for each pending request. The greenlet of its connection
(`http_server`) submits `RequestReceived` and waits; the reducer's `Respond` effects find the
exchange by request id. If the client disconnects first, the reducer gets one `RequestAborted`.

Requests that exceed a limit, or arrive while the process stops, are refused here and never reach
the reducer. `/livez` and `/metrics` are answered without it.
"""

import itertools
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
from merlinstand.kernel.events import Event, RequestAborted, RequestReceived
from merlinstand.runtime.connection_usage import ConnectionUsage
from merlinstand.runtime.end_watcher import DisconnectWatcher, is_disconnected
from merlinstand.runtime.errors import (
    MalformedRequestError,
    NoRoomError,
    NotAcceptingError,
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
    MAIN_SERVER_KEY,
    SOCKET_KEY,
    USAGE_KEY,
    WATCHDOG_KEY,
    EvictedError,
    SlowSenderError,
)
from merlinstand.runtime.kept_bytes import ConnectionBuffer
from merlinstand.runtime.metrics import CONTENT_TYPE, Metrics
from merlinstand.runtime.request_bounds import RequestBounds

_FRAMING_HEADERS = frozenset(("content-length", "content-type", "date", "server"))


class HttpEndpoint:
    """Tracks the requests that wait for a response."""

    def __init__(
        self,
        submit: Callable[[Event], None],
        metrics: Metrics,
        limits: HttpLimits,
        bounds: RequestBounds | None = None,
        request_id_header: str = "",
    ) -> None:
        """Create an endpoint.

        Args:
            submit: Passes an event to the reducer.
            metrics: Exported at `/metrics`.
            limits: Limits from the host's settings.
            bounds: Limits in force for requests; only `limits` apply if None.
            request_id_header: Lower-case name of the header with the client's request id.
        """
        self._submit = submit
        self._metrics = metrics
        self._limits = limits
        self._request_id_header = request_id_header
        self.bounds = bounds or RequestBounds(limits)
        self._exchanges: dict[RequestId, Exchange] = {}
        self._numbers = itertools.count(1)
        self.closing = False
        """Set when the reducer has stopped: later requests are refused and not run."""
        self.application = self._make_application()

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

    def _make_application(self) -> App:
        application = App()
        application.add_route("/livez", _LiveResource())
        application.add_route("/metrics", _MetricsResource(self._metrics))
        application.add_sink(self._serve, prefix="/")
        application.set_error_serializer(_serialize_falcon_error)
        application.add_error_handler(BrokenResponseError, _reraise)
        return application

    def _serve(self, req: Request, resp: Response, **_: Any) -> None:
        environ = req.env
        head: RequestHead = environ[HEAD_KEY]
        main_server = environ[MAIN_SERVER_KEY]
        if main_server is not None and not main_server.is_accepting:
            # At an extra address, requests are rejected while the main address accepts no
            # connections, so that health checks there fail too.
            _refuse(resp, NotAcceptingError(detail="no new connections are taken"))
            return
        usage: ConnectionUsage = environ[USAGE_KEY]
        body = self._read_body(environ)
        if isinstance(body, MerlinstandError):
            # What has arrived was dropped; the client may take a second to read the response.
            usage.end_request()
            _refuse(resp, body)
            return
        if self.closing:
            _refuse(resp, stopping_error())
            return
        if is_disconnected(environ[SOCKET_KEY]):
            # The client disconnected before its request was read: do not run it.
            raise BrokenResponseError
        evicted_with = usage.record_complete(len(body))
        if evicted_with is not None:
            _refuse(resp, evicted_with)
            return
        buffer: ConnectionBuffer = environ[BUFFER_KEY]
        exchange = self._open_exchange(buffer)
        buffer.request = head.headers.get(self._request_id_header, exchange.request_id)
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

    def _read_body(self, environ: dict[str, Any]) -> bytes | MerlinstandError:
        """Read the body within the request's read timeout, and clear the timeout."""
        source: EndpointInput = environ["wsgi.input"]
        usage: ConnectionUsage = environ[USAGE_KEY]
        try:
            return source.read_body(self.bounds.maximum_body_bytes, usage)
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


class _LiveResource:
    """`GET /livez`: shows that the event loop is running."""

    def on_get(self, _request: Request, response: Response) -> None:
        response.data = b'{"state":"live"}'
        response.content_type = "application/json"


class _MetricsResource:
    """`GET /metrics` in the Prometheus text format."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def on_get(self, _request: Request, response: Response) -> None:
        response.data = self._metrics.export()
        response.content_type = CONTENT_TYPE


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
