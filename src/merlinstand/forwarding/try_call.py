"""The HTTP call of one try: the same headers for whole requests, streams and items.

Pure. The request's id comes back in the answer; a server other than the expected one refuses with
421 and does not run the request.
"""

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.requests import ForwardRequest
from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import StartCall


def try_headers(
    request: ForwardRequest, backend: Backend, left_seconds: float, names: HeaderNames
) -> dict[str, str]:
    """Give the headers of a try.

    Args:
        request: Its own headers are passed on.
        backend: The only server that may run it.
        left_seconds: Time until the request's deadline; sent in whole milliseconds.
        names: Header names.
    """
    return {
        **request.headers,
        names.request_id: request.request_id,
        names.deadline_ms: str(max(1, int(left_seconds * 1000))),
        names.expected_backend: backend.backend_id,
    }


def try_call(
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
    """Give the call that sends a request to a server.

    Args:
        headers: Of `try_headers`.
        timeout_seconds: Longest wait for the answer; of a stream, between its pieces.
        connect_seconds: Longest wait for a new connection.
        fresh_connection: Whether no kept connection may be used.
        stream: Whether the answer comes in pieces; a whole one may come without a length.
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
        connect_seconds=connect_seconds,
        host=request.headers.get("host", ""),
        echo_header=names.request_id,
        accepts_unframed=not stream,
        fresh_connection=fresh_connection,
    )
