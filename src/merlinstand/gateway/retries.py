"""What follows a failed try: another back end, a search for an engine, or the final answer.

The decision (`Retries.try_failed`), first rule that fits:

1. The other call of a hedged lookup is still under way: it alone counts from now on.
2. The caller left and the request may be repeated: nobody needs its outcome, it ends.
3. Another try (`_may_try_again`), at a replica that has not failed it yet: never if the request
   must not be repeated and a byte of it may have left; at most `RequestSettings.maximum_tries`,
   within the caller's deadline and the pool's retry budget. A generation whose last try brought
   tokens needs no budget: going on repeats no work.
4. A generation of which something arrived waits for an engine (`_may_search`), for at most
   `resume_patience_seconds`, looking every `resume_interval_seconds`.
5. Give up (`_give_up`): a stream already begun breaks off visibly; else the back end's own answer
   that reports a failure goes on; else an error (`try_failure.final_error`).
"""

from merlinstand.gateway.attempt_failure import AttemptFailure, final_error
from merlinstand.gateway.dispatcher import Dispatcher
from merlinstand.gateway.exchange import Exchange, ExchangePhase
from merlinstand.gateway.finalizer import Finalizer
from merlinstand.gateway.outcome import Outcome
from merlinstand.gateway.settings import RequestSettings
from merlinstand.gateway.timer_queue import TimerKind, TimerQueue
from merlinstand.kernel.effects import Effect, RespondEnd
from merlinstand.routing.router import CallResult


class Retries:
    """Retries within the budget and the deadline, never at the same replica."""

    def __init__(
        self,
        settings: RequestSettings,
        timer_queue: TimerQueue,
        dispatcher: Dispatcher,
        finalizer: Finalizer,
    ) -> None:
        """Join the parts."""
        self._settings = settings
        self._timer_queue = timer_queue
        self._dispatcher = dispatcher
        self._finalizer = finalizer

    def on_attempt_failed(
        self, exchange: Exchange, failure: AttemptFailure, now: float, out: list[Effect]
    ) -> None:
        """Go on after a try that gave no answer to pass on: another try, or the end."""
        self._finalizer.release(
            exchange,
            failure.result,
            now,
            retry_after_seconds=failure.retry_after_seconds,
            leaving=failure.leaving,
        )
        if failure.may_have_run:
            exchange.may_have_run = True
        if exchange.secondary_call is not None:
            # The other call of a hedged lookup is still under way.
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
            # At most once: only a try of which no byte left may be followed by another.
            return False
        if exchange.attempts >= self._settings.maximum_tries:
            return False
        if exchange.remaining_seconds(now) <= 0.0:
            return False
        progress = exchange.progress
        if progress is not None and progress.position > 0 and exchange.attempts <= 1:
            # Tokens arrived since the last try: going on repeats no work.
            return True
        return exchange.pool_state.router.retry_budget.try_spend(now)

    def _may_wait_to_resume(self, exchange: Exchange, now: float) -> bool:
        """Tell whether a begun generation may wait for an engine; patience ends without tokens."""
        progress = exchange.progress
        if progress is None or not exchange.request.repeatable:
            return False
        if not progress.response_started and progress.position == 0:
            return False
        if exchange.resume_deadline_at == 0.0:
            exchange.resume_deadline_at = now + self._settings.resume_patience_seconds
        return now < min(exchange.resume_deadline_at, exchange.deadline_at)

    def _schedule_resume(self, exchange: Exchange, now: float) -> None:
        """Look again soon for an engine that goes on with a begun generation."""
        exchange.phase = ExchangePhase.RESUMING
        interval_seconds = self._settings.resume_interval_seconds
        self._timer_queue.schedule((TimerKind.RESUME, exchange.number), now + interval_seconds)

    def resume(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """Try to go on with an interrupted generation."""
        if exchange.phase is not ExchangePhase.RESUMING:
            return
        # Engines that failed it before may be back by now.
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
        """End after a failure that no other try would mend."""
        self._finalizer.release(exchange, failure.result, now)
        exchange.may_have_run = True
        self._finish_failed(exchange, failure, now, out)

    def _finish_failed(
        self, exchange: Exchange, failure: AttemptFailure, now: float, out: list[Effect]
    ) -> None:
        """Give the final answer after the last failed try."""
        if self.truncate_stream(exchange, now, out):
            return
        event = failure.response
        if event is not None:
            # A whole answer of the back end, though a failure: nothing better can be had.
            self._finalizer.forward_response(exchange, failure.backend_id, event, now, out)
            return
        self._finalizer.refuse(exchange, final_error(exchange, failure), now, out)

    def truncate_stream(self, exchange: Exchange, now: float, out: list[Effect]) -> bool:
        """End a begun response so that its caller sees the truncation, if one has begun."""
        progress = exchange.progress
        if progress is None or not progress.response_started:
            return False
        if not exchange.client_disconnected:
            out.append(RespondEnd(exchange.endpoint_id, whole=False))
        self._finalizer.finalize(exchange, Outcome.UNKNOWN, None, now, out)
        return True
