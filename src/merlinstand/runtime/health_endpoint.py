"""Health checks and metrics, at an address of their own (`HostSettings.health_address`).

`HealthPath` lists the paths that the host itself serves. It serves them at the health address only:
at the address for clients, every request reaches the reducer.
"""

import enum
from typing import TYPE_CHECKING, Any

from merlinstand.common.errors import (
    MerlinstandError,
    MethodNotAllowedError,
    NotFoundError,
    error_body,
)
from merlinstand.runtime.errors import NotAcceptingError
from merlinstand.runtime.http_headers import RequestHead
from merlinstand.runtime.http_server import HEAD_KEY, MAIN_SERVER_KEY
from merlinstand.runtime.metrics import CONTENT_TYPE, Metrics
from merlinstand.runtime.request_limits import RequestLimits

if TYPE_CHECKING:
    from falcon.request import Request
    from falcon.response import Response

    from merlinstand.runtime.http_endpoint import HttpEndpoint

HEALTH_REQUEST_LIMITS = RequestLimits(small_bytes=4_000_000)
"""Room for connections and requests at the health address, separate from that for clients, so that
health checks are answered while clients occupy all of theirs."""
MAXIMUM_BODY_BYTES = 4096
"""Maximum size of a body, which is ignored."""
_LIVENESS_BODY = b'{"state":"live"}'


class HealthPath(enum.StrEnum):
    """A path that the health address serves."""

    LIVENESS = "/livez"
    """200 while the event loop runs."""
    READINESS = "/readyz"
    """200 while the reducer takes new connections, and new ones are accepted for it."""
    METRICS = "/metrics"
    """Counters and gauges in the Prometheus text format."""


HEALTH_PATHS = frozenset(path.value for path in HealthPath)
HEALTH_METHODS = ("GET", "HEAD")
"""Methods of each of these paths; others get 405."""


class HealthEndpoint:
    """Serves the requests at the health address."""

    def __init__(self, endpoint: "HttpEndpoint", metrics: Metrics) -> None:
        """Create the endpoint.

        Args:
            endpoint: Passes readiness checks to the reducer.
            metrics: Exported at `HealthPath.METRICS`.
        """
        self._endpoint = endpoint
        self._metrics = metrics

    def serve(self, request: "Request", response: "Response", **_: Any) -> None:
        """Answer one request."""
        environ = request.env
        body = self._endpoint.read_body(environ, MAXIMUM_BODY_BYTES)
        if isinstance(body, MerlinstandError):
            self._endpoint.refuse_unread(environ, response, body)
            return
        head: RequestHead = environ[HEAD_KEY]
        path = head.target.partition("?")[0]
        if path not in HEALTH_PATHS:
            _respond_error(response, NotFoundError(detail="no such path"))
            return
        if head.method not in HEALTH_METHODS:
            allowed = ", ".join(HEALTH_METHODS)
            _respond_error(response, MethodNotAllowedError(detail=f"use one of {allowed}"))
            response.set_header("Allow", allowed)
            return
        match HealthPath(path):
            case HealthPath.LIVENESS:
                response.data = _LIVENESS_BODY
                response.content_type = "application/json"
            case HealthPath.METRICS:
                response.data = self._metrics.export()
                response.content_type = CONTENT_TYPE
            case HealthPath.READINESS:
                self._serve_readiness(environ, response)

    def _serve_readiness(self, environ: dict[str, Any], response: "Response") -> None:
        main_server = environ[MAIN_SERVER_KEY]
        if main_server is not None and not main_server.is_accepting:
            # The reducer doesn't see the connections that wait to be accepted.
            _respond_error(response, NotAcceptingError(detail="no new connections are taken"))
            return
        self._endpoint.serve_readiness(environ, response)


def _respond_error(response: "Response", error: MerlinstandError) -> None:
    response.status = type(error).http_status
    response.content_type = "application/json"
    response.data = error_body(error)
    response.set_header("X-Outcome", "not_run")
