"""What follows a failed attempt: a retry, a wait for an engine, or the final response.

`Retries.on_attempt_failed` applies the first rule that fits:

1. If the other call of a hedged lookup is in flight, the exchange continues with it alone.
2. If the caller disconnected and the request is repeatable, the exchange ends.
3. Retry (`_may_retry`) at a replica that was not tried yet: never if the request is not repeatable
   and a byte of it may have been sent; at most `RequestSettings.maximum_tries` attempts, within the
   caller's deadline and the pool's retry budget. A generation whose last attempt produced tokens
   needs no budget, because resuming repeats no work.
4. A generation that has started waits for an engine (`_may_wait_to_resume`) for at most
   `resume_patience_seconds`, looking for an engine every `resume_interval_seconds`.
5. Give up (`_finish_failed`): a response that has started is truncated visibly. Otherwise the
   caller gets the backend's own error response, or an error (`try_failure.final_error`).
"""

from merlinstand.gateway.dispatcher import Dispatcher
from merlinstand.gateway.exchange import Exchange, ExchangePhase
from merlinstand.gateway.finalizer import Finalizer
from merlinstand.gateway.outcome import Outcome
from merlinstand.gateway.settings import RequestSettings
from merlinstand.gateway.timer_queue import TimerKind, TimerQueue
from merlinstand.gateway.try_failure import AttemptFailure, final_error
from merlinstand.kernel.effects import Effect, RespondEnd
from merlinstand.routing.router import CallResult


class Retries:
    """Retries failed attempts within budget and deadline, at replicas that were not tried yet."""

    def __init__(
        self,
        settings: RequestSettings,
        timer_queue: TimerQueue,
        dispatcher: Dispatcher,
        finalizer: Finalizer,
    ) -> None:
        """Create an instance from the parts of the gateway that retries depend on."""
        self._settings = settings
        self._timer_queue = timer_queue
        self._dispatcher = dispatcher
        self._finalizer = finalizer

    def on_attempt_failed(
        self, exchange: Exchange, failure: AttemptFailure, now: float, out: list[Effect]
    ) -> None:
        """Retry, wait for an engine or end the exchange after a failed attempt."""
        self._finalizer.release(
            exchange,
            failure.result,
            now,
            retry_after_seconds=failure.retry_after_seconds,
            is_draining=failure.is_draining,
        )
        if failure.may_have_run:
            exchange.may_have_run = True
        if exchange.secondary_call is not None:
            # The other call of a hedged lookup is still in flight.
            exchange.promote_secondary_call()
            return
        if exchange.client_disconnected and exchange.request.repeatable:
            self._finalizer.finalize(exchange, Outcome.UNKNOWN, None, now, out)
            return
        if (
            self._may_retry(exchange, failure, now)
            and self._dispatcher.dispatch(exchange, now, out) is None
        ):
            return
        if self._may_wait_to_resume(exchange, now):
            self._schedule_resume(exchange, now)
            return
        self._finish_failed(exchange, failure, now, out)

    def _may_retry(self, exchange: Exchange, failure: AttemptFailure, now: float) -> bool:
        request = exchange.request
        if not request.repeatable and failure.may_have_been_sent:
            # At most once: retried only if no byte of the attempt was sent.
            return False
        if exchange.attempts >= self._settings.maximum_tries:
            return False
        if exchange.remaining_seconds(now) <= 0.0:
            return False
        progress = exchange.progress
        if progress is not None and progress.position > 0 and exchange.attempts <= 1:
            # Tokens arrived in the last attempt, so resuming repeats no work.
            return True
        return exchange.pool_state.router.retry_budget.try_spend(now)

    def _may_wait_to_resume(self, exchange: Exchange, now: float) -> bool:
        """Return whether a started generation may wait for an engine.

        Sets the end of the wait at the first call since tokens last arrived.
        """
        progress = exchange.progress
        if progress is None or not exchange.request.repeatable:
            return False
        if not progress.response_started and progress.position == 0:
            return False
        if exchange.resume_deadline_at == 0.0:
            exchange.resume_deadline_at = now + self._settings.resume_patience_seconds
        return now < min(exchange.resume_deadline_at, exchange.deadline_at)

    def _schedule_resume(self, exchange: Exchange, now: float) -> None:
        """Schedule the next search for an engine that resumes the generation."""
        exchange.phase = ExchangePhase.RESUMING
        interval_seconds = self._settings.resume_interval_seconds
        self._timer_queue.schedule((TimerKind.RESUME, exchange.number), now + interval_seconds)

    def resume(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """Search for an engine that resumes an interrupted generation."""
        if exchange.phase is not ExchangePhase.RESUMING:
            return
        # Engines that failed the request before may have recovered.
        exchange.tried_backends.clear()
        if self._dispatcher.dispatch(exchange, now, out) is None:
            return
        if self._may_wait_to_resume(exchange, now):
            self._schedule_resume(exchange, now)
            return
        failure = AttemptFailure(
            reason="no_engine", may_have_run=True, result=CallResult.INCONCLUSIVE
        )
        self._finish_failed(exchange, failure, now, out)

    def fail_without_retry(
        self, exchange: Exchange, failure: AttemptFailure, now: float, out: list[Effect]
    ) -> None:
        """End an exchange after a failure that a retry would repeat."""
        self._finalizer.release(exchange, failure.result, now)
        exchange.may_have_run = True
        self._finish_failed(exchange, failure, now, out)

    def _finish_failed(
        self, exchange: Exchange, failure: AttemptFailure, now: float, out: list[Effect]
    ) -> None:
        """Send the final response after the last failed attempt."""
        if self.truncate_stream(exchange, now, out):
            return
        event = failure.response
        if event is not None:
            # A complete error response of the backend is preferred to an error of the gateway.
            self._finalizer.forward_response(exchange, failure.backend_id, event, now, out)
            return
        self._finalizer.reject(exchange, final_error(exchange, failure), now, out)

    def truncate_stream(self, exchange: Exchange, now: float, out: list[Effect]) -> bool:
        """End a started response as visibly truncated; returns False if no response has started."""
        progress = exchange.progress
        if progress is None or not progress.response_started:
            return False
        if not exchange.client_disconnected:
            out.append(RespondEnd(exchange.endpoint_id, whole=False))
        self._finalizer.finalize(exchange, Outcome.UNKNOWN, None, now, out)
        return True
