"""How one try at a back end failed, and whose fault that was."""

import msgspec

from merlinstand.common.errors import OutcomeUnknownError
from merlinstand.gateway.errors import BackendRefusedError
from merlinstand.gateway.exchange import Exchange
from merlinstand.gateway.outcome import NOT_RUN_HEADER, RETRY_AFTER_HEADER, parse_retry_after
from merlinstand.gateway.refusals import backend_refused
from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded
from merlinstand.routing.router import CallResult

MINIMUM_FAILURE_SECONDS = 0.25
"""Seconds: a try that the caller's deadline cut shorter than this says nothing about its back end.
Chosen, not measured."""

LEAVING_CODES = (b'"leaving"', b'"draining"', b'"stopping"')
"""Error codes with which a back end says that it is leaving."""
LEAVING_CODE_BYTES = 1_024
"""First bytes of a refusal's body in which such a code is looked for. Chosen, not measured."""

RETRYABLE_STATUSES = frozenset({502, 503, 504})


class AttemptFailure(msgspec.Struct, frozen=True, kw_only=True):
    """A try that gave no answer to pass on."""

    reason: str
    """Short code for logs."""
    may_have_run: bool
    """The back end may have begun to work on it."""
    may_have_been_sent: bool = True
    """Some byte may have left for the back end."""
    result: CallResult
    retry_after_seconds: float | None = None
    leaving: bool = False
    backend_id: str = ""
    response: CallResponded | None = None
    """A whole answer that reports a failure: passed on if no other try is left."""


def call_failure(event: CallFailed, exchange: Exchange, now: float) -> AttemptFailure:
    """Judge a call that ended without a whole response."""
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
    """Return what a try without answer shows about its back end."""
    waited_seconds = now - sent_at
    return (
        CallResult.FAILURE if waited_seconds >= MINIMUM_FAILURE_SECONDS else CallResult.INCONCLUSIVE
    )


def is_not_run_refusal(status: int, headers: dict[str, str]) -> bool:
    """Tell whether a back end proved that it did not start."""
    return status == 503 and headers.get(NOT_RUN_HEADER, "").lower() == "true"


def refusal_failure(headers: dict[str, str], body: bytes) -> AttemptFailure:
    """Judge a refusal that proves the request was not run."""
    return AttemptFailure(
        reason="refused",
        may_have_run=False,
        result=CallResult.REFUSED,
        retry_after_seconds=parse_retry_after(headers.get(RETRY_AFTER_HEADER)),
        leaving=any(code in body[:LEAVING_CODE_BYTES] for code in LEAVING_CODES),
    )


def final_error(
    exchange: Exchange, failure: AttemptFailure
) -> BackendRefusedError | OutcomeUnknownError:
    """Return the error that a caller is given when no try is left."""
    if exchange.may_have_run:
        return OutcomeUnknownError(detail=f"may have run: {failure.reason}")
    return backend_refused(failure.reason, failure.retry_after_seconds)
