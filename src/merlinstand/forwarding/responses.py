"""What a gateway answers by itself: refusals, and outcomes without a server's answer.

Pure. `decisions.rejection` has the statuses and the times of Retry-After.
"""

from merlinstand.cluster.requests import NotRun, OutcomeUnknown
from merlinstand.common.errors import MerlinstandError, error_body
from merlinstand.common.ids import RequestId
from merlinstand.decisions.rejection import status_of
from merlinstand.kernel.effects import Respond


def error_response(request_id: RequestId, error: MerlinstandError) -> Respond:
    """Answer with an error's own status and body; Retry-After in seconds if it has one."""
    headers = {"content-type": "application/json"}
    if error.retry_after_seconds is not None:
        headers["retry-after"] = f"{error.retry_after_seconds:g}"
    return Respond(request_id, type(error).http_status, headers, error_body(error))


def outcome_response(request_id: RequestId, outcome: NotRun | OutcomeUnknown) -> Respond:
    """Answer a request that got no server's answer; Retry-After in seconds if it has not run."""
    headers = {}
    if isinstance(outcome, NotRun):
        headers["retry-after"] = f"{outcome.retry_after_seconds:g}"
    return Respond(request_id, status_of(outcome), headers, outcome.reason.encode())
