"""Lookups: forwards a complete response, or reports a failed attempt to `Retries`."""

from merlinstand.gateway.exchange import Exchange
from merlinstand.gateway.finalizer import Finalizer
from merlinstand.gateway.outcome import REQUEST_ID_HEADER
from merlinstand.gateway.retries import Retries
from merlinstand.gateway.settings import RequestSettings
from merlinstand.gateway.try_failure import (
    RETRYABLE_STATUSES,
    AttemptFailure,
    call_failure,
    is_not_run_refusal,
    refusal_failure,
)
from merlinstand.kernel.effects import Effect
from merlinstand.kernel.events import CallFailed, CallResponded
from merlinstand.routing.router import CallResult


class Proxying:
    """Handles the ends of calls of lookups."""

    def __init__(self, settings: RequestSettings, retries: Retries, finalizer: Finalizer) -> None:
        """Create an instance from the parts of the gateway that lookups depend on."""
        self._require_response_id = settings.require_response_id
        self._retries = retries
        self._finalizer = finalizer

    def on_response(
        self, exchange: Exchange, event: CallResponded, now: float, out: list[Effect]
    ) -> None:
        """Forward a complete response, or report a failed attempt to `Retries`."""
        backend_id = "" if exchange.backend is None else exchange.backend.backend_id
        failure = self._check_response(exchange, backend_id, event)
        if failure is not None:
            self._retries.on_attempt_failed(exchange, failure, now, out)
            return
        result = CallResult.FAILURE if event.status >= 500 else CallResult.SUCCESS
        if exchange.request.repeatable:
            exchange.pool_state.latency.record(now - exchange.call_sent_at)
        self._finalizer.release(exchange, result, now)
        self._finalizer.forward_response(exchange, backend_id, event, now, out)

    def on_failure(
        self, exchange: Exchange, event: CallFailed, now: float, out: list[Effect]
    ) -> None:
        """Handle a call that ended without a complete response."""
        self._retries.on_attempt_failed(exchange, call_failure(event, exchange, now), now, out)

    def _check_response(
        self, exchange: Exchange, backend_id: str, event: CallResponded
    ) -> AttemptFailure | None:
        """Return why a response must not be forwarded yet; None if it is the final response."""
        if not is_response_to(exchange, event.headers, self._require_response_id):
            return AttemptFailure(
                reason="foreign_answer", may_have_run=True, result=CallResult.FAILURE
            )
        if is_not_run_refusal(event.status, event.headers):
            return refusal_failure(event.headers, event.body)
        if event.status in RETRYABLE_STATUSES:
            return AttemptFailure(
                reason=f"status_{event.status}",
                may_have_run=True,
                result=CallResult.FAILURE,
                backend_id=backend_id,
                response=event,
            )
        return None


def is_response_to(exchange: Exchange, headers: dict[str, str], require_response_id: bool) -> bool:
    """Return whether a response has this request's id, or lacks an id that is not required."""
    echoed = headers.get(REQUEST_ID_HEADER)
    if echoed is None:
        return not require_response_id
    return echoed == exchange.request.request_id
