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

from merlinstand.gateway.agenda import Agenda, Due
from merlinstand.gateway.concluder import Concluder
from merlinstand.gateway.dispatcher import Dispatcher
from merlinstand.gateway.exchange import Exchange, ExchangePhase
from merlinstand.gateway.outcome import Outcome
from merlinstand.gateway.settings import RequestSettings
from merlinstand.gateway.try_failure import TryFailure, final_error
from merlinstand.kernel.effects import Effect, RespondEnd
from merlinstand.routing.router import CallResult


class Retries:
    """Retries within the budget and the deadline, never at the same replica."""

    def __init__(
        self,
        settings: RequestSettings,
        agenda: Agenda,
        dispatcher: Dispatcher,
        concluder: Concluder,
    ) -> None:
        """Join the parts."""
        self._settings = settings
        self._agenda = agenda
        self._dispatcher = dispatcher
        self._concluder = concluder

    def try_failed(
        self, exchange: Exchange, failure: TryFailure, now: float, out: list[Effect]
    ) -> None:
        """Go on after a try that gave no answer to pass on: another try, or the end."""
        self._concluder.release(
            exchange,
            failure.result,
            now,
            retry_after_seconds=failure.retry_after_seconds,
            leaving=failure.leaving,
        )
        if failure.ran:
            exchange.maybe_ran = True
        if exchange.parked is not None:
            # The other call of a hedged lookup is still under way.
            exchange.unpark_call()
            return
        if exchange.client_gone and exchange.request.repeatable:
            self._concluder.conclude(exchange, Outcome.UNKNOWN, None, now, out)
            return
        if (
            self._may_try_again(exchange, failure, now)
            and self._dispatcher.dispatch(exchange, now, out) is None
        ):
            return
        if self._may_search(exchange, now):
            self._search(exchange, now)
            return
        self._give_up(exchange, failure, now, out)

    def _may_try_again(self, exchange: Exchange, failure: TryFailure, now: float) -> bool:
        request = exchange.request
        if not request.repeatable and failure.sent:
            # At most once: only a try of which no byte left may be followed by another.
            return False
        if exchange.tries >= self._settings.maximum_tries:
            return False
        if exchange.remaining_seconds(now) <= 0.0:
            return False
        progress = exchange.progress
        if progress is not None and progress.position > 0 and exchange.tries <= 1:
            # Tokens arrived since the last try: going on repeats no work.
            return True
        return exchange.pool_state.router.retry_budget.try_spend(now)

    def _may_search(self, exchange: Exchange, now: float) -> bool:
        """Tell whether a begun generation may wait for an engine; patience ends without tokens."""
        progress = exchange.progress
        if progress is None or not exchange.request.repeatable:
            return False
        if not progress.started and progress.position == 0:
            return False
        if exchange.search_until == 0.0:
            exchange.search_until = now + self._settings.resume_patience_seconds
        return now < min(exchange.search_until, exchange.deadline_at)

    def _search(self, exchange: Exchange, now: float) -> None:
        """Look again soon for an engine that goes on with a begun generation."""
        exchange.phase = ExchangePhase.SEARCHING
        interval_seconds = self._settings.resume_interval_seconds
        self._agenda.set((Due.TRY_AGAIN, exchange.number), now + interval_seconds)

    def search_again(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """Try to go on with an interrupted generation."""
        if exchange.phase is not ExchangePhase.SEARCHING:
            return
        # Engines that failed it before may be back by now.
        exchange.tried.clear()
        if self._dispatcher.dispatch(exchange, now, out) is None:
            return
        if self._may_search(exchange, now):
            self._search(exchange, now)
            return
        failure = TryFailure(reason="no_engine", ran=True, result=CallResult.ABANDONED)
        self._give_up(exchange, failure, now, out)

    def no_answer_left(
        self, exchange: Exchange, failure: TryFailure, now: float, out: list[Effect]
    ) -> None:
        """End after a failure that no other try would mend."""
        self._concluder.release(exchange, failure.result, now)
        exchange.maybe_ran = True
        self._give_up(exchange, failure, now, out)

    def _give_up(
        self, exchange: Exchange, failure: TryFailure, now: float, out: list[Effect]
    ) -> None:
        """Give the final answer after the last failed try."""
        if self.break_stream(exchange, now, out):
            return
        event = failure.answer
        if event is not None:
            # A whole answer of the back end, though a failure: nothing better can be had.
            self._concluder.pass_on(exchange, failure.backend_id, event, now, out)
            return
        self._concluder.refuse(exchange, final_error(exchange, failure), now, out)

    def break_stream(self, exchange: Exchange, now: float, out: list[Effect]) -> bool:
        """End a begun response so that its caller sees the truncation, if one has begun."""
        progress = exchange.progress
        if progress is None or not progress.started:
            return False
        if not exchange.client_gone:
            out.append(RespondEnd(exchange.endpoint_id, whole=False))
        self._concluder.conclude(exchange, Outcome.UNKNOWN, None, now, out)
        return True
