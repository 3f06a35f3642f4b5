"""Builds the responses to callers."""

import msgspec

from merlinstand.common.errors import MerlinstandError, error_body
from merlinstand.common.ids import RequestId
from merlinstand.gateway.outcome import (
    ANSWERED_BY_HEADER,
    GATEWAY_HEADERS,
    OUTCOME_HEADER,
    REPLAYED_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
    Outcome,
    forwarded_headers,
    retry_after_value,
)
from merlinstand.kernel.effects import Respond, RespondStart

JSON_TYPE = "application/json"
EVENT_STREAM_TYPE = "text/event-stream"
RECORDED_ANSWERED_BY = "record"
"""`X-Answered-By` of a response that was recorded for an earlier request under the same key."""


class CompletionResponse(msgspec.Struct, frozen=True):
    """Body of a complete completion, for a caller that did not request a stream."""

    request_id: str
    text: str
    token_count: int
    spans: tuple[tuple[int, int, int], ...]
    finish_reason: str


def rejection(
    endpoint_id: RequestId, request_id: str, error: MerlinstandError, outcome: Outcome
) -> Respond:
    """Build an error response with an outcome other than `ANSWER`."""
    headers = {
        "content-type": JSON_TYPE,
        REQUEST_ID_HEADER: request_id,
        OUTCOME_HEADER: outcome.value,
    }
    if error.retry_after_seconds is not None:
        headers[RETRY_AFTER_HEADER] = retry_after_value(error.retry_after_seconds)
    return Respond(endpoint_id, type(error).http_status, headers, error_body(error))


def backend_response(
    endpoint_id: RequestId,
    request_id: str,
    backend_id: str,
    status: int,
    backend_headers: dict[str, str],
    body: bytes,
) -> Respond:
    """Build the response that forwards a complete response of a backend."""
    headers = forwarded_headers(backend_headers, GATEWAY_HEADERS)
    headers[REQUEST_ID_HEADER] = request_id
    headers[OUTCOME_HEADER] = Outcome.ANSWER.value
    headers[ANSWERED_BY_HEADER] = backend_id
    return Respond(endpoint_id, status, headers, body)


def replayed_response(
    endpoint_id: RequestId, request_id: str, status: int, content_type: str, body: bytes
) -> Respond:
    """Build the response to a duplicate from the response recorded for its key."""
    headers = {
        "content-type": content_type or JSON_TYPE,
        REQUEST_ID_HEADER: request_id,
        OUTCOME_HEADER: Outcome.ANSWER.value,
        ANSWERED_BY_HEADER: RECORDED_ANSWERED_BY,
        REPLAYED_HEADER: "true",
    }
    return Respond(endpoint_id, status, headers, body)


def stream_start(endpoint_id: RequestId, request_id: str, backend_id: str) -> RespondStart:
    """Build the status and headers of a relayed stream."""
    headers = {
        "content-type": EVENT_STREAM_TYPE,
        "cache-control": "no-store",
        REQUEST_ID_HEADER: request_id,
        OUTCOME_HEADER: Outcome.ANSWER.value,
        ANSWERED_BY_HEADER: backend_id,
    }
    return RespondStart(endpoint_id, 200, headers)


def completion_response(
    endpoint_id: RequestId, backend_id: str, completion: CompletionResponse
) -> Respond:
    """Build the response with a complete completion."""
    headers = {
        "content-type": JSON_TYPE,
        REQUEST_ID_HEADER: completion.request_id,
        OUTCOME_HEADER: Outcome.ANSWER.value,
        ANSWERED_BY_HEADER: backend_id,
    }
    return Respond(endpoint_id, 200, headers, msgspec.json.encode(completion))
