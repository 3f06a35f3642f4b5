"""Sends one HTTP request with a JSON body and returns the complete response or an error.

Uses the standard library's `http.client`, so that a trainer's process does not load gevent.
"""

import http.client
from http import HTTPStatus

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
"""Responses that declare a longer body are rejected; a batch with all its samples must fit."""


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
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_seconds)
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    try:
        connection.request("POST", path, body=body, headers=all_headers)
        response = connection.getresponse()
        declared = response.getheader("Content-Length")
        if declared is not None and int(declared) > MAXIMUM_RESPONSE_BYTES:
            return Err(
                NoAnswerError(detail=f"{address}: response exceeds {MAXIMUM_RESPONSE_BYTES} bytes")
            )
        # `read` raises IncompleteRead if the body is shorter than its declared length.
        return Ok(HttpResponse(response.status, response.read()))
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
