"""Ends that come from outside: deadlines, waits that grew too long, callers that left.

A request that must not be repeated and was sent goes on for `ClaimSettings.linger_seconds` after
its deadline, so that its outcome can be recorded for twins. Every other call is cancelled; an
engine is sent a cancel as well, since it may not notice a closed connection.
"""

from merlinstand.common.errors import MerlinstandError, OutcomeUnknownError
from merlinstand.gateway.attempt_failure import timeout_result
from merlinstand.gateway.caller_request import RequestKind
from merlinstand.gateway.calls import cancel_call
from merlinstand.gateway.dispatcher import Dispatcher
from merlinstand.gateway.exchange import Exchange, ExchangePhase
from merlinstand.gateway.finalizer import Finalizer
from merlinstand.gateway.outcome import Outcome
from merlinstand.gateway.refusals import deadline_passed, would_wait_too_long
from merlinstand.gateway.retries import Retries
from merlinstand.gateway.timer_queue import TimerKind, TimerQueue
from merlinstand.kernel.effects import CancelCall, Effect, RespondEnd
from merlinstand.routing.router import CallResult


class Interruptions:
    """Ends exchanges before their back end does."""

    def __init__(
        self,
        linger_seconds: float,
        timer_queue: TimerQueue,
        dispatcher: Dispatcher,
        retries: Retries,
        finalizer: Finalizer,
    ) -> None:
        """Join the parts."""
        self._linger_seconds = linger_seconds
        self._timer_queue = timer_queue
        self._dispatcher = dispatcher
        self._retries = retries
        self._finalizer = finalizer

    def on_deadline(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """The caller's time is up: answer at once, whatever is under way."""
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
        self._finalizer.refuse(exchange, error, now, out)

    def _continues_after_deadline(self, exchange: Exchange) -> bool:
        return exchange.claim is not None and not exchange.caller_answered

    def _continue_after_deadline(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """Answer the caller `unknown` and let its request go on, to record what became of it."""
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
        """A request has waited in its queue as long as it may."""
        if exchange.phase is ExchangePhase.QUEUED:
            expected_seconds = exchange.pool_state.expected_wait_seconds(
                exchange.request.caller, exchange.buckets.weight, now
            )
            self._finalizer.refuse(exchange, would_wait_too_long(expected_seconds), now, out)

    def on_client_disconnect(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """The caller closed its connection."""
        exchange.client_disconnected = True
        if exchange.phase is ExchangePhase.CALLING:
            if not exchange.request.repeatable:
                # It runs to its end, so that a twin can be given the outcome.
                return
            self._cancel_call(exchange, CallResult.INCONCLUSIVE, now, out)
            self._finalizer.finalize(exchange, Outcome.UNKNOWN, None, now, out)
        elif exchange.phase is ExchangePhase.CLAIMING:
            # Freed when the grant comes; its place goes back now.
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
