"""The end of an exchange: one final answer, places given back, claim recorded, counted.

Owns the counters of outcomes and the list of pools where a place became free; relies on the
exchange's own state for which of its ends comes first. What was unused of a request's cost goes
back to its caller.
"""

from merlinstand.common.errors import MerlinstandError
from merlinstand.gateway.admission import Admission
from merlinstand.gateway.agenda import Agenda, Due
from merlinstand.gateway.caller_request import RequestKind
from merlinstand.gateway.claims import Claims, RecordedAnswer
from merlinstand.gateway.exchange import Exchange, ExchangePhase, PoolState
from merlinstand.gateway.exchange_table import ExchangeTable
from merlinstand.gateway.outcome import Outcome
from merlinstand.gateway.responses import answer, refusal
from merlinstand.kernel.effects import CancelCall, CountMetric, Effect, LogEvent
from merlinstand.kernel.events import CallResponded
from merlinstand.routing.router import CallResult

REQUESTS_METRIC = "merlinstand_gateway_requests_total"


class Concluder:
    """Ends exchanges; every path out of the gateway goes through `conclude` exactly once."""

    def __init__(
        self, table: ExchangeTable, agenda: Agenda, admission: Admission, claims: Claims
    ) -> None:
        """Join the parts that hold state of an exchange."""
        self._table = table
        self._agenda = agenda
        self._admission = admission
        self._claims = claims
        self._counters: dict[tuple[str, str], CountMetric] = {}
        self._freed_pools: dict[int, PoolState] = {}

    def take_freed_pools(self) -> list[PoolState]:
        """Return pool states where a place became free since the last call."""
        if not self._freed_pools:
            return []
        pool_states = list(self._freed_pools.values())
        self._freed_pools.clear()
        return pool_states

    def release(
        self,
        exchange: Exchange,
        result: CallResult,
        now: float,
        *,
        retry_after_seconds: float | None = None,
        leaving: bool = False,
    ) -> None:
        """Give back the place that an exchange holds at a back end."""
        self._table.call_ended(exchange)
        backend = exchange.backend
        if backend is None:
            return
        exchange.backend = None
        pool_state = exchange.pool_state
        pool_state.router.call_finished(
            backend.backend_id,
            result,
            now,
            retry_after_seconds=retry_after_seconds,
            leaving=leaving,
        )
        if len(pool_state.queue):
            self._freed_pools[pool_state.number] = pool_state

    def pass_on(
        self,
        exchange: Exchange,
        backend_id: str,
        event: CallResponded,
        now: float,
        out: list[Effect],
    ) -> None:
        """End with a back end's own whole answer."""
        if not exchange.client_gone:
            request_id = exchange.request.request_id
            out.append(
                answer(
                    exchange.endpoint_id,
                    request_id,
                    backend_id,
                    event.status,
                    event.headers,
                    event.body,
                )
            )
        recorded = None
        if exchange.claim is not None:
            content_type = event.headers.get("content-type", "")
            recorded = RecordedAnswer(event.status, event.body, content_type)
        self.conclude(exchange, Outcome.ANSWER, recorded, now, out)

    def refuse(
        self, exchange: Exchange, error: MerlinstandError, now: float, out: list[Effect]
    ) -> None:
        """End with an error: `unknown` if it may have run, else `not_run`."""
        outcome = Outcome.UNKNOWN if exchange.maybe_ran else Outcome.NOT_RUN
        self.refuse_as(exchange, error, outcome, now, out)

    def refuse_as(
        self,
        exchange: Exchange,
        error: MerlinstandError,
        outcome: Outcome,
        now: float,
        out: list[Effect],
    ) -> None:
        """End with an error and a given outcome."""
        self.answer_with_error(exchange, error, outcome, out)
        self.conclude(exchange, outcome, None, now, out)

    def answer_with_error(
        self, exchange: Exchange, error: MerlinstandError, outcome: Outcome, out: list[Effect]
    ) -> None:
        """Answer the caller with an error, whether or not the exchange goes on."""
        if not exchange.client_gone:
            out.append(refusal(exchange.endpoint_id, exchange.request.request_id, error, outcome))
        out.append(
            LogEvent(
                "request.refused" if outcome is Outcome.NOT_RUN else "request.unknown",
                {
                    "request_id": exchange.request.request_id,
                    "pool": exchange.request.pool.name,
                    "code": type(error).code,
                    "tries": exchange.tries,
                },
                "debug" if outcome is Outcome.NOT_RUN else "warning",
            )
        )
        self.count(exchange, outcome, out)

    def conclude(
        self,
        exchange: Exchange,
        outcome: Outcome,
        recorded: RecordedAnswer | None,
        now: float,
        out: list[Effect],
    ) -> None:
        """Forget an exchange whose caller has its final answer or is gone."""
        if exchange.phase is ExchangePhase.CONCLUDED:
            return
        number = exchange.number
        if exchange.phase is ExchangePhase.QUEUED:
            exchange.pool_state.queue.remove(number)
            self._agenda.cancel((Due.QUEUE_WAIT, number))
        elif exchange.phase is ExchangePhase.SEARCHING:
            self._agenda.cancel((Due.TRY_AGAIN, number))
        exchange.phase = ExchangePhase.CONCLUDED
        self._agenda.cancel((Due.DEADLINE, number))
        self._agenda.cancel((Due.HEDGE, number))
        self.drop_parked(exchange, _result_of_loser(exchange, outcome), now, out)
        self.release(exchange, CallResult.ABANDONED, now)
        self._table.remove(exchange)
        request = exchange.request
        unused_cost = 0.0
        if outcome is Outcome.ANSWER:
            exchange.pool_state.rate.completed(request.cost, now)
            unused_cost = _unused_cost(exchange)
        elif outcome is Outcome.NOT_RUN:
            unused_cost = request.cost
        self._admission.left(request, exchange.buckets, unused_cost)
        ticket = exchange.claim
        if ticket is not None and ticket.granted:
            self._claims.record(ticket, outcome, recorded, now, out)
        self.count(exchange, outcome, out)

    def drop_parked(
        self, exchange: Exchange, result: CallResult, now: float, out: list[Effect]
    ) -> None:
        """Give up the parked call of a hedged lookup, if there is one."""
        parked = exchange.parked
        if parked is None:
            return
        exchange.parked = None
        self._table.parked_call_ended(parked)
        out.append(CancelCall(parked.call_id))
        pool_state = exchange.pool_state
        pool_state.router.call_finished(parked.backend.backend_id, result, now)
        if len(pool_state.queue):
            self._freed_pools[pool_state.number] = pool_state

    def count(self, exchange: Exchange, outcome: Outcome, out: list[Effect]) -> None:
        """Count the outcome that a caller was given, once."""
        if not exchange.caller_answered:
            exchange.caller_answered = True
            out.append(self._counter(exchange.request.pool.name, outcome))

    def _counter(self, pool_name: str, outcome: Outcome) -> CountMetric:
        key = (pool_name, outcome.value)
        counter = self._counters.get(key)
        if counter is None:
            counter = CountMetric(
                REQUESTS_METRIC, 1.0, {"pool": pool_name, "outcome": outcome.value}
            )
            # Pool names come from the configuration, so the table is bounded by it.
            self._counters[key] = counter
        return counter


def _result_of_loser(exchange: Exchange, outcome: Outcome) -> CallResult:
    """Return what the losing call of a hedged lookup shows about its replica."""
    parked = exchange.parked
    if parked is None or outcome is not Outcome.ANSWER:
        return CallResult.ABANDONED
    # Another replica, asked later, answered first. One beaten call means little, but a frozen
    # replica loses them all, and its breaker opens before any of them times out.
    beaten = parked.sent_at < exchange.call_sent_at
    return CallResult.FAILURE if beaten else CallResult.ABANDONED


def _unused_cost(exchange: Exchange) -> float:
    """Return the tokens a generation asked for and did not produce."""
    completion = exchange.request.completion
    if exchange.request.kind is not RequestKind.GENERATION or completion is None:
        return 0.0
    generated = 0 if exchange.progress is None else exchange.progress.position
    return float(max(0, completion.max_tokens - generated))
