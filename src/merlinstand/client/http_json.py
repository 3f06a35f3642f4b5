"""One HTTP request with a JSON body, whole answer or none.

The standard library's `http.client`: a trainer's process must not be made to load gevent.
"""

import http.client
from http import HTTPStatus

import msgspec
from result import Err, Ok, Result

from merlinstand.client.errors import NoAnswerError
from merlinstand.common.decoding import DECODE_ERRORS

FIRST_BACK_OFF_SECONDS = 0.1
"""Pause after the first failed try; each further one doubles it, up to the caller's limit. Chosen,
not measured."""
ASK_AGAIN_STATUSES = frozenset(
    (
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.INTERNAL_SERVER_ERROR,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)
"""Answers that decide nothing: this server does not lead, is busy, or failed."""
MAXIMUM_ANSWER_BYTES = 1024 * 1024 * 1024
"""Longest answer that is read, a batch with all its samples among them. Chosen, not measured."""


class HttpAnswer(msgspec.Struct, frozen=True):
    """A whole answer."""

    status: int
    body: bytes


class ErrorAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The JSON body of a refusal; fields that are missing keep their defaults."""

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
) -> Result[HttpAnswer, NoAnswerError]:
    """Send one `POST` on a connection of its own and read the answer to its end.

    A connection is never used twice: a late answer to an earlier request cannot be taken
    for the answer to this one.
    """
    connection = http.client.HTTPConnection(address, timeout=timeout_seconds)
    all_headers = {"Content-Type": "application/json", **(headers or {})}
    try:
        connection.request("POST", path, body=body, headers=all_headers)
        response = connection.getresponse()
        declared = response.getheader("Content-Length")
        if declared is not None and int(declared) > MAXIMUM_ANSWER_BYTES:
            return Err(NoAnswerError(detail=f"{address}: answer too long"))
        # `read` raises IncompleteRead if the body ends before its declared length.
        return Ok(HttpAnswer(response.status, response.read()))
    except (OSError, http.client.HTTPException, ValueError) as error:
        return Err(NoAnswerError(detail=f"{address}: {error!r}"))
    finally:
        connection.close()


def decode_error(answer: HttpAnswer) -> ErrorAnswer:
    """Decode a refusal; anything unreadable counts as an empty one."""
    try:
        return msgspec.json.decode(answer.body, type=ErrorAnswer)
    except DECODE_ERRORS:
        return ErrorAnswer()
