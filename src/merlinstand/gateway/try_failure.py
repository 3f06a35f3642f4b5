"""Failed attempts: whether the request may have run, and what the failure shows of the backend."""

import msgspec

from merlinstand.common.errors import OutcomeUnknownError
from merlinstand.gateway.errors import BackendRefusedError
from merlinstand.gateway.exchange import Exchange
from merlinstand.gateway.outcome import NOT_RUN_HEADER, RETRY_AFTER_HEADER, parse_retry_after
from merlinstand.gateway.refusals import backend_refused
from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded
from merlinstand.routing.router import CallResult

MINIMUM_FAILURE_SECONDS = 0.25
"""An attempt that timed out after at least this time counts as a failure of its backend. Shorter
attempts, limited by the caller's deadline, are inconclusive."""

DRAINING_CODES = (b'"leaving"', b'"draining"', b'"stopping"')
"""Error codes of a backend that is draining."""
DRAINING_CODE_BYTES = 1_024
"""Number of leading bytes of a refusal's body that are searched for `DRAINING_CODES`."""

RETRYABLE_STATUSES = frozenset({502, 503, 504})


class AttemptFailure(msgspec.Struct, frozen=True, kw_only=True):
    """A failed attempt, whose response, if any, is not forwarded at once."""

    reason: str
    """Short code for the error details."""
    may_have_run: bool
    """Whether the backend may have run the request."""
    may_have_been_sent: bool = True
    """Whether a byte of the request may have been sent."""
    result: CallResult
    retry_after_seconds: float | None = None
    is_draining: bool = False
    backend_id: str = ""
    response: CallResponded | None = None
    """Complete error response, forwarded if the request is not retried."""


def call_failure(event: CallFailed, exchange: Exchange, now: float) -> AttemptFailure:
    """Return the failure of a call that ended without a complete response."""
    if event.phase is CallPhase.CONNECT:
        return AttemptFailure(
            reason=event.reason,
            may_have_run=False,
            may_have_been_sent=False,
            result=CallResult.FAILURE,
        )
    result = CallResult.FAILURE
    if event.reason == "timeout":
        result = timeout_result(exchange.call_sent_at, now)
    return AttemptFailure(reason=event.reason, may_have_run=True, result=result)


def timeout_result(sent_at: float, now: float) -> CallResult:
    """Return what the timeout of an attempt sent at `sent_at` shows about its backend."""
    waited_seconds = now - sent_at
    return (
        CallResult.FAILURE if waited_seconds >= MINIMUM_FAILURE_SECONDS else CallResult.INCONCLUSIVE
    )


def is_not_run_refusal(status: int, headers: dict[str, str]) -> bool:
    """Return whether a response proves that the backend did not run the request."""
    return status == 503 and headers.get(NOT_RUN_HEADER, "").lower() == "true"


def refusal_failure(headers: dict[str, str], body: bytes) -> AttemptFailure:
    """Return the failure for a refusal that proves that the request was not run."""
    return AttemptFailure(
        reason="refused",
        may_have_run=False,
        result=CallResult.REFUSED,
        retry_after_seconds=parse_retry_after(headers.get(RETRY_AFTER_HEADER)),
        is_draining=any(code in body[:DRAINING_CODE_BYTES] for code in DRAINING_CODES),
    )


def final_error(
    exchange: Exchange, failure: AttemptFailure
) -> BackendRefusedError | OutcomeUnknownError:
    """Return the caller's error after the last failed attempt."""
    if exchange.may_have_run:
        return OutcomeUnknownError(detail=f"may have run: {failure.reason}")
    return backend_refused(failure.reason, failure.retry_after_seconds)
