"""Responses that a gateway generates itself: for rejections and for lack of a response.

`decisions.rejection` defines the status codes and Retry-After times.
"""

from merlinstand.cluster.requests import NotRun, OutcomeUnknown
from merlinstand.common.errors import MerlinstandError, error_body
from merlinstand.common.ids import RequestId
from merlinstand.decisions.rejection import status_of
from merlinstand.kernel.effects import Respond


def error_response(request_id: RequestId, error: MerlinstandError) -> Respond:
    """Return the response for an error, with Retry-After in seconds if the error has one."""
    headers = {"content-type": "application/json"}
    if error.retry_after_seconds is not None:
        headers["retry-after"] = f"{error.retry_after_seconds:g}"
    return Respond(request_id, type(error).http_status, headers, error_body(error))


def outcome_response(request_id: RequestId, outcome: NotRun | OutcomeUnknown) -> Respond:
    """Return the response for a request without a backend's response.

    The response has a Retry-After in seconds if the request has not run.
    """
    headers = {}
    if isinstance(outcome, NotRun):
        headers["retry-after"] = f"{outcome.retry_after_seconds:g}"
    return Respond(request_id, status_of(outcome), headers, outcome.reason.encode())
