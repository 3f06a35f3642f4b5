"""Ends of exchanges that do not come from the backend: deadlines, queue timeouts, disconnects.

A sent request that is not repeatable continues for `ClaimSettings.linger_seconds` after its
deadline, so that its outcome can be recorded for duplicates. All other calls are cancelled. Engines
are also sent a cancel request, since they may not notice a closed connection.
"""

from merlinstand.common.errors import MerlinstandError, OutcomeUnknownError
from merlinstand.gateway.caller_request import RequestKind
from merlinstand.gateway.calls import cancel_call
from merlinstand.gateway.dispatcher import Dispatcher
from merlinstand.gateway.exchange import Exchange, ExchangePhase
from merlinstand.gateway.finalizer import Finalizer
from merlinstand.gateway.outcome import Outcome
from merlinstand.gateway.refusals import deadline_passed, would_wait_too_long
from merlinstand.gateway.retries import Retries
from merlinstand.gateway.timer_queue import TimerKind, TimerQueue
from merlinstand.gateway.try_failure import timeout_result
from merlinstand.kernel.effects import CancelCall, Effect, RespondEnd
from merlinstand.routing.router import CallResult


class Interruptions:
    """Ends exchanges before their backend responds."""

    def __init__(
        self,
        linger_seconds: float,
        timer_queue: TimerQueue,
        dispatcher: Dispatcher,
        retries: Retries,
        finalizer: Finalizer,
    ) -> None:
        """Create an instance from the parts of the gateway that interruptions depend on."""
        self._linger_seconds = linger_seconds
        self._timer_queue = timer_queue
        self._dispatcher = dispatcher
        self._retries = retries
        self._finalizer = finalizer

    def on_deadline(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """Respond at the caller's deadline, and cancel calls unless a claimed request continues."""
        if exchange.phase is ExchangePhase.CALLING and self._continues_after_deadline(exchange):
            self._continue_after_deadline(exchange, now, out)
            return
        if exchange.phase is ExchangePhase.CALLING:
            exchange.may_have_run = True
            secondary_call = exchange.secondary_call
            if secondary_call is not None:
                result = timeout_result(secondary_call.sent_at, now)
                self._finalizer.cancel_secondary_call(exchange, result, now, out)
            result = timeout_result(exchange.call_sent_at, now)
            self._cancel_call(exchange, result, now, out)
        if self._retries.truncate_stream(exchange, now, out):
            return
        if exchange.may_have_run:
            error: MerlinstandError = OutcomeUnknownError(detail="the deadline passed")
        else:
            error = deadline_passed()
        self._finalizer.reject(exchange, error, now, out)

    def _continues_after_deadline(self, exchange: Exchange) -> bool:
        return exchange.claim is not None and not exchange.caller_answered

    def _continue_after_deadline(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """Respond with `unknown`, and let the call continue so that its outcome can be recorded."""
        exchange.may_have_run = True
        progress = exchange.progress
        if progress is not None and progress.response_started:
            if not exchange.client_disconnected:
                out.append(RespondEnd(exchange.endpoint_id, whole=False))
            self._finalizer.count_outcome(exchange, Outcome.UNKNOWN, out)
        else:
            error = OutcomeUnknownError(detail="the deadline passed")
            self._finalizer.respond_with_error(exchange, error, Outcome.UNKNOWN, out)
        exchange.client_disconnected = True
        exchange.deadline_at = now + self._linger_seconds
        self._timer_queue.schedule((TimerKind.DEADLINE, exchange.number), exchange.deadline_at)

    def on_queue_timeout(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """Reject a request that is still queued after its maximum wait."""
        if exchange.phase is ExchangePhase.QUEUED:
            expected_seconds = exchange.pool_state.expected_wait_seconds(
                exchange.request.caller, exchange.buckets.weight, now
            )
            self._finalizer.reject(exchange, would_wait_too_long(expected_seconds), now, out)

    def on_client_disconnect(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """End or continue an exchange whose caller closed its connection."""
        exchange.client_disconnected = True
        if exchange.phase is ExchangePhase.CALLING:
            if not exchange.request.repeatable:
                # The call continues, so that its outcome can be recorded for duplicates.
                return
            self._cancel_call(exchange, CallResult.INCONCLUSIVE, now, out)
            self._finalizer.finalize(exchange, Outcome.UNKNOWN, None, now, out)
        elif exchange.phase is ExchangePhase.CLAIMING:
            # The slot is released now, and the claim once the control group has granted it.
            self._finalizer.finalize(exchange, Outcome.NOT_RUN, None, now, out)
        else:
            outcome = Outcome.UNKNOWN if exchange.may_have_run else Outcome.NOT_RUN
            self._finalizer.finalize(exchange, outcome, None, now, out)

    def _cancel_call(
        self, exchange: Exchange, result: CallResult, now: float, out: list[Effect]
    ) -> None:
        backend, call_id = exchange.backend, exchange.call_id
        if backend is not None and call_id is not None:
            out.append(CancelCall(call_id))
            if exchange.request.kind is RequestKind.GENERATION:
                cancel_id = self._dispatcher.next_call_id()
                out.append(cancel_call(exchange.request.request_id, backend, cancel_id))
        self._finalizer.release(exchange, result, now)
