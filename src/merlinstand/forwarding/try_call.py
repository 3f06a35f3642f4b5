"""Builds the HTTP call of one attempt, for non-streaming requests, streams and batch items.

The backend returns the request's id in its response. A backend other than the expected one responds
with status 421 and does not run the request.
"""

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.requests import ForwardRequest
from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import StartCall


def attempt_headers(
    request: ForwardRequest, backend: Backend, remaining_seconds: float, names: HeaderNames
) -> dict[str, str]:
    """Return the headers of an attempt.

    Args:
        request: The request, whose own headers are passed on.
        backend: The only backend that may run this attempt.
        remaining_seconds: Time until the request's deadline; sent in whole milliseconds.
        names: Names of the HTTP headers.
    """
    return {
        **request.headers,
        names.request_id: request.request_id,
        names.deadline_ms: str(max(1, int(remaining_seconds * 1000))),
        names.expected_backend: backend.backend_id,
    }


def attempt_call(
    call_id: CallId,
    request: ForwardRequest,
    backend: Backend,
    headers: dict[str, str],
    timeout_seconds: float,
    connect_seconds: float,
    fresh_connection: bool,
    names: HeaderNames,
    stream: bool = False,
) -> StartCall:
    """Return the call that sends a request to a backend.

    Args:
        headers: Result of `attempt_headers`.
        timeout_seconds: Timeout of the response; for a stream, see `StartCall`.
        connect_seconds: Timeout of a new connection.
        fresh_connection: Whether to use a new connection instead of a kept-alive one.
        stream: Whether the response is streamed; a response that is not may lack a content length.
    """
    return StartCall(
        call_id=call_id,
        address=backend.address,
        method=request.method,
        path=request.path,
        headers=headers,
        body=request.body,
        timeout_seconds=timeout_seconds,
        stream=stream,
        is_event_stream=stream,
        connect_seconds=connect_seconds,
        host=request.headers.get("host", ""),
        echo_header=names.request_id,
        accepts_unframed=not stream,
        fresh_connection=fresh_connection,
    )
