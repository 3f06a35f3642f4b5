"""From admitted request to back end: queue, choice, claim, call, retry, deadline."""

from merlinstand.common.errors import MerlinstandError
from merlinstand.common.ids import CallId
from merlinstand.configuration.objects import Backend
from merlinstand.control.commands import ClaimTaken
from merlinstand.gateway.agenda import Agenda, Due
from merlinstand.gateway.caller_request import RequestKind
from merlinstand.gateway.calls import (
    cancel_call,
    generation_call,
    lookup_call,
    lookup_try_seconds,
)
from merlinstand.gateway.claims import ClaimResult, Claims, ClaimVerdict
from merlinstand.gateway.concluder import Concluder
from merlinstand.gateway.errors import (
    ClaimPendingError,
    ClaimUnavailableError,
    ConfigurationStaleError,
    DeadlinePassedError,
    KeyReusedError,
    OutcomeUnknownError,
    OverloadedError,
)
from merlinstand.gateway.exchange import Exchange, ExchangePhase, ExchangeTable
from merlinstand.gateway.lanes import PoolLane
from merlinstand.gateway.outcome import Outcome
from merlinstand.gateway.responses import replayed_answer
from merlinstand.gateway.settings import GatewaySettings
from merlinstand.gateway.stream_progress import StreamProgress
from merlinstand.gateway.try_failure import TryFailure, final_error, timeout_result
from merlinstand.kernel.effects import CancelCall, Effect, RespondEnd, StartCall
from merlinstand.routing.errors import PoolBusyError
from merlinstand.routing.router import CallResult
from merlinstand.session.control_session import ControlSession

MINIMUM_RETRY_AFTER_SECONDS = 0.1
DEADLINE_RETRY_SECONDS = 1.0


class Dispatcher:
    """Drives exchanges until they are concluded."""

    def __init__(
        self,
        settings: GatewaySettings,
        session: ControlSession,
        table: ExchangeTable,
        agenda: Agenda,
        claims: Claims,
        concluder: Concluder,
    ) -> None:
        """Join the parts."""
        self._settings = settings
        self._session = session
        self._table = table
        self._agenda = agenda
        self._claims = claims
        self._concluder = concluder
        self._call_number = 0

    # Beginning ------------------------------------------------------------------------

    def submit(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """Take in an admitted request: dispatch, queue or refuse it at once."""
        self._table.add(exchange)
        self._agenda.set((Due.DEADLINE, exchange.number), exchange.deadline_at)
        lane = exchange.lane
        lane.router.retry_budget.first_try(now)
        if len(lane.queue):
            self._enqueue(exchange, now, out)
            return
        error = self._dispatch(exchange, now, out)
        if isinstance(error, PoolBusyError):
            self._enqueue(exchange, now, out)
            self._pump_later(lane, error, now)
        elif error is not None:
            self._concluder.refuse(exchange, error, now, out)

    def _enqueue(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        lane, request, weight = exchange.lane, exchange.request, exchange.buckets.weight
        longest_seconds = self._longest_wait_seconds(exchange, now)
        expected_seconds = lane.expected_wait_seconds(request.caller, weight, now)
        if expected_seconds > longest_seconds:
            self._concluder.refuse(exchange, _overloaded(expected_seconds), now, out)
            return
        accepted, evicted = lane.queue.push(
            exchange.number, exchange, request.caller, weight, request.cost
        )
        if evicted is not None:
            self._concluder.refuse(evicted, _overloaded(expected_seconds), now, out)
        if not accepted:
            self._concluder.refuse(exchange, _overloaded(expected_seconds), now, out)
            return
        self._agenda.set((Due.QUEUE_WAIT, exchange.number), now + longest_seconds)

    def _longest_wait_seconds(self, exchange: Exchange, now: float) -> float:
        admission = self._settings.admission
        if exchange.request.kind is RequestKind.LOOKUP:
            bound_seconds = admission.maximum_lookup_wait_seconds
        else:
            bound_seconds = admission.maximum_generation_wait_seconds
        return min(bound_seconds, exchange.remaining_seconds(now))

    # Dispatch -------------------------------------------------------------------------

    def _dispatch(
        self, exchange: Exchange, now: float, out: list[Effect]
    ) -> MerlinstandError | None:
        """Send an exchange to a back end, or return why that cannot be now."""
        if not self._session.may_take_new_work(now):
            # The configuration may have been replaced: a back end in it may be drained.
            return self.stale_configuration(now)
        chosen = exchange.lane.router.choose(
            now, exclude=exchange.tried, affinity_key=exchange.request.affinity_key
        )
        if chosen.is_err():
            return chosen.unwrap_err()
        backend = chosen.unwrap()
        exchange.lane.router.call_started(backend.backend_id, now)
        exchange.backend = backend
        if exchange.request.repeatable or exchange.claim is not None:
            self._call(exchange, backend, now, out)
        else:
            exchange.phase = ExchangePhase.CLAIMING
            self._claims.claim(exchange, now, out)
        return None

    def stale_configuration(self, now: float) -> ConfigurationStaleError:
        """Return the refusal for want of the configuration lease."""
        wait_seconds = max(MINIMUM_RETRY_AFTER_SECONDS, self._session.seconds_until_retry(now))
        return ConfigurationStaleError(
            detail="cannot prove the configuration current", retry_after_seconds=wait_seconds
        )

    def _call(self, exchange: Exchange, backend: Backend, now: float, out: list[Effect]) -> None:
        call_id = self.next_call_id()
        out.append(self._build_call(exchange, backend, call_id, now))
        exchange.tries += 1
        exchange.tried.add(backend.backend_id)
        exchange.phase = ExchangePhase.CALLING
        exchange.call_sent_at = now
        self._table.call_began(exchange, call_id)

    def _build_call(
        self, exchange: Exchange, backend: Backend, call_id: CallId, now: float
    ) -> StartCall:
        settings = self._settings.requests
        completion = exchange.request.completion
        if completion is None:
            timeout_seconds = lookup_try_seconds(exchange, settings, now)
            return lookup_call(exchange, backend, call_id, timeout_seconds, now)
        if exchange.progress is None:
            exchange.progress = StreamProgress(relayed=completion.stream)
        else:
            exchange.progress.new_call()
        timeout_seconds = min(settings.stream_idle_seconds, exchange.remaining_seconds(now))
        return generation_call(exchange, completion, backend, call_id, timeout_seconds, now)

    def next_call_id(self) -> CallId:
        """Make the name of a call."""
        self._call_number += 1
        return CallId(f"call.{self._call_number}")

    # Claims ---------------------------------------------------------------------------

    def claim_finished(self, result: ClaimResult, now: float, out: list[Effect]) -> None:
        """Go on with an exchange whose claim control has judged."""
        exchange = self._table.by_number.get(result.ticket.exchange_number)
        if exchange is None or exchange.phase is not ExchangePhase.CLAIMING:
            # Its caller was told not_run meanwhile: never dispatched, so the claim is freed.
            if result.verdict is ClaimVerdict.GRANTED:
                self._claims.record(result.ticket, Outcome.NOT_RUN, None, now, out)
            return
        if result.verdict is ClaimVerdict.GRANTED:
            self._dispatch_claimed(exchange, now, out)
        elif result.taken is not None:
            self._answer_twin(exchange, result.taken, now, out)
        else:
            error = ClaimUnavailableError(
                detail="no answer of control", retry_after_seconds=DEADLINE_RETRY_SECONDS
            )
            self._concluder.refuse(exchange, error, now, out)

    def _dispatch_claimed(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        if exchange.client_gone or exchange.remaining_seconds(now) <= 0.0:
            self._concluder.refuse(exchange, _too_late(), now, out)
            return
        if not self._session.may_take_new_work(now):
            self._concluder.refuse(exchange, self.stale_configuration(now), now, out)
            return
        backend = exchange.backend
        if backend is not None and exchange.lane.router.is_usable(backend.backend_id):
            self._call(exchange, backend, now, out)
            return
        self._concluder.release(exchange, CallResult.ABANDONED, now)
        error = self._dispatch(exchange, now, out)
        if error is not None:
            self._concluder.refuse(exchange, error, now, out)

    def _answer_twin(
        self, exchange: Exchange, taken: ClaimTaken, now: float, out: list[Effect]
    ) -> None:
        """Answer a request whose key was claimed before; it is never dispatched."""
        request_id = exchange.request.request_id
        if taken.recorded == "answer":
            out.append(
                replayed_answer(
                    exchange.door_id, request_id, taken.status, taken.content_type, taken.body
                )
            )
            self._concluder.conclude(exchange, Outcome.ANSWER, None, now, out)
        elif taken.recorded == "different_request":
            error: MerlinstandError = KeyReusedError(
                detail="another request already used this idempotency key"
            )
            self._concluder.refuse_as(exchange, error, Outcome.NOT_RUN, now, out)
        elif taken.recorded == "pending":
            self._concluder.refuse_as(exchange, self.claim_pending(), Outcome.UNKNOWN, now, out)
        else:
            error = OutcomeUnknownError(detail="an earlier request under this key may have run")
            self._concluder.refuse_as(exchange, error, Outcome.UNKNOWN, now, out)

    def claim_pending(self) -> ClaimPendingError:
        """Return what a twin of a request under way is told."""
        return ClaimPendingError(
            detail="a request under this key is under way",
            retry_after_seconds=self._settings.claims.pending_retry_seconds,
        )

    # Failures -------------------------------------------------------------------------

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
        if exchange.client_gone and exchange.request.repeatable:
            self._concluder.conclude(exchange, Outcome.UNKNOWN, None, now, out)
            return
        if self._may_try_again(exchange, failure, now):
            if self._dispatch(exchange, now, out) is None:
                return
            if exchange.progress is not None and exchange.progress.position > 0:
                self._search(exchange, now)
                return
        self._give_up(exchange, failure, now, out)

    def _may_try_again(self, exchange: Exchange, failure: TryFailure, now: float) -> bool:
        request = exchange.request
        if not request.repeatable and failure.sent:
            # At most once: only a try of which no byte left may be followed by another.
            return False
        if exchange.tries >= self._settings.requests.maximum_tries:
            return False
        if exchange.remaining_seconds(now) <= 0.0:
            return False
        progress = exchange.progress
        if progress is not None and progress.position > 0 and exchange.tries <= 1:
            # Tokens arrived since the last try: going on repeats no work.
            return True
        return exchange.lane.router.retry_budget.take(now)

    def _search(self, exchange: Exchange, now: float) -> None:
        """Look again soon for an engine that goes on with a begun generation."""
        settings = self._settings.requests
        if exchange.phase is not ExchangePhase.SEARCHING:
            exchange.phase = ExchangePhase.SEARCHING
            exchange.search_until = now + settings.resume_patience_seconds
        self._agenda.set((Due.TRY_AGAIN, exchange.number), now + settings.resume_interval_seconds)

    def search_again(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """Try to go on with an interrupted generation."""
        if exchange.phase is not ExchangePhase.SEARCHING:
            return
        # Engines that failed it before may be back by now.
        exchange.tried.clear()
        if self._dispatch(exchange, now, out) is None:
            return
        if now < exchange.search_until:
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
            out.append(RespondEnd(exchange.door_id, whole=False))
        self._concluder.conclude(exchange, Outcome.UNKNOWN, None, now, out)
        return True

    # Time and callers -----------------------------------------------------------------

    def deadline_passed(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """The caller's time is up: answer at once, whatever is under way."""
        if exchange.phase is ExchangePhase.CALLING:
            exchange.maybe_ran = True
            self._cancel_call(exchange, timeout_result(exchange, now), now, out)
        if self.break_stream(exchange, now, out):
            return
        if exchange.maybe_ran:
            error: MerlinstandError = OutcomeUnknownError(detail="the deadline passed")
        else:
            error = _too_late()
        self._concluder.refuse(exchange, error, now, out)

    def waited_enough(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """A request has waited in its queue as long as it may."""
        if exchange.phase is ExchangePhase.QUEUED:
            expected_seconds = exchange.lane.expected_wait_seconds(
                exchange.request.caller, exchange.buckets.weight, now
            )
            self._concluder.refuse(exchange, _overloaded(expected_seconds), now, out)

    def client_left(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """The caller closed its connection."""
        exchange.client_gone = True
        if exchange.phase is ExchangePhase.CALLING:
            if not exchange.request.repeatable:
                # It runs to its end, so that a twin can be told the outcome.
                return
            self._cancel_call(exchange, CallResult.ABANDONED, now, out)
            self._concluder.conclude(exchange, Outcome.UNKNOWN, None, now, out)
        elif exchange.phase is ExchangePhase.CLAIMING:
            # Freed when the grant comes; its place goes back now.
            self._concluder.conclude(exchange, Outcome.NOT_RUN, None, now, out)
        else:
            outcome = Outcome.UNKNOWN if exchange.maybe_ran else Outcome.NOT_RUN
            self._concluder.conclude(exchange, outcome, None, now, out)

    def _cancel_call(
        self, exchange: Exchange, result: CallResult, now: float, out: list[Effect]
    ) -> None:
        backend, call_id = exchange.backend, exchange.call_id
        if backend is not None and call_id is not None:
            out.append(CancelCall(call_id))
            if exchange.request.kind is RequestKind.GENERATION:
                cancel_id = self.next_call_id()
                out.append(cancel_call(exchange.request.request_id, backend, cancel_id))
        self._concluder.release(exchange, result, now)

    # Queues ---------------------------------------------------------------------------

    def pump(self, lane: PoolLane, now: float, out: list[Effect]) -> None:
        """Dispatch waiting requests of a lane while there are free places."""
        while len(lane.queue) and lane.router.free_room() > 0:
            exchange = lane.queue.peek()
            if exchange is None:
                return
            error = self._dispatch(exchange, now, out)
            if isinstance(error, PoolBusyError):
                self._pump_later(lane, error, now)
                return
            if error is not None:
                self._concluder.refuse(exchange, error, now, out)
                continue
            lane.queue.remove(exchange.number)
            self._agenda.cancel((Due.QUEUE_WAIT, exchange.number))

    def _pump_later(self, lane: PoolLane, error: PoolBusyError, now: float) -> None:
        wait_seconds = max(MINIMUM_RETRY_AFTER_SECONDS, error.retry_after_seconds or 0.0)
        self._agenda.set((Due.PUMP, lane.number), now + wait_seconds)


def _overloaded(expected_seconds: float) -> OverloadedError:
    return OverloadedError(
        detail="too much work waits",
        retry_after_seconds=max(DEADLINE_RETRY_SECONDS, expected_seconds),
    )


def _too_late() -> DeadlinePassedError:
    return DeadlinePassedError(
        detail="nothing was sent before the deadline",
        retry_after_seconds=DEADLINE_RETRY_SECONDS,
    )
