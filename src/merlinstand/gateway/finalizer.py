"""Ends exchanges: sends the final response, releases slots, records and counts the outcome.

Also keeps the counters of outcomes and the list of pools in which a slot became free.
"""

from merlinstand.common.errors import MerlinstandError
from merlinstand.gateway.admission import Admission
from merlinstand.gateway.caller_request import RequestKind
from merlinstand.gateway.claims import Claims, RecordedResponse
from merlinstand.gateway.exchange import Exchange, ExchangePhase, PoolState
from merlinstand.gateway.exchange_table import ExchangeTable
from merlinstand.gateway.outcome import Outcome
from merlinstand.gateway.responses import backend_response, rejection
from merlinstand.gateway.timer_queue import TimerKind, TimerQueue
from merlinstand.kernel.effects import CancelCall, CountMetric, Effect, LogEvent
from merlinstand.kernel.events import CallResponded
from merlinstand.routing.router import CallResult

REQUESTS_METRIC = "merlinstand_gateway_requests_total"


class Finalizer:
    """Ends exchanges; `finalize` takes effect exactly once for each, however it ends."""

    def __init__(
        self, table: ExchangeTable, timer_queue: TimerQueue, admission: Admission, claims: Claims
    ) -> None:
        """Create a finalizer from the parts that hold state of exchanges."""
        self._table = table
        self._timer_queue = timer_queue
        self._admission = admission
        self._claims = claims
        self._counters: dict[tuple[str, str], CountMetric] = {}
        self._freed_pools: dict[int, PoolState] = {}

    def take_freed_pools(self) -> list[PoolState]:
        """Return the pools with queued requests in which a slot became free since the last call."""
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
        is_draining: bool = False,
    ) -> None:
        """Release the slot that an exchange holds at a backend, with the result of its call."""
        self._table.remove_call(exchange)
        backend = exchange.backend
        if backend is None:
            return
        exchange.backend = None
        pool_state = exchange.pool_state
        pool_state.router.record_call_end(
            backend.backend_id,
            result,
            now,
            retry_after_seconds=retry_after_seconds,
            is_draining=is_draining,
        )
        if len(pool_state.queue):
            self._freed_pools[pool_state.number] = pool_state

    def forward_response(
        self,
        exchange: Exchange,
        backend_id: str,
        event: CallResponded,
        now: float,
        out: list[Effect],
    ) -> None:
        """End an exchange with a complete response of a backend."""
        if not exchange.client_disconnected:
            request_id = exchange.request.request_id
            out.append(
                backend_response(
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
            recorded = RecordedResponse(event.status, event.body, content_type)
        self.finalize(exchange, Outcome.ANSWER, recorded, now, out)

    def reject(
        self, exchange: Exchange, error: MerlinstandError, now: float, out: list[Effect]
    ) -> None:
        """End an exchange with an error.

        The outcome is `unknown` if the request may have run, else `not_run`.
        """
        outcome = Outcome.UNKNOWN if exchange.may_have_run else Outcome.NOT_RUN
        self.reject_as(exchange, error, outcome, now, out)

    def reject_as(
        self,
        exchange: Exchange,
        error: MerlinstandError,
        outcome: Outcome,
        now: float,
        out: list[Effect],
    ) -> None:
        """End an exchange with an error and a given outcome."""
        self.respond_with_error(exchange, error, outcome, out)
        self.finalize(exchange, outcome, None, now, out)

    def respond_with_error(
        self, exchange: Exchange, error: MerlinstandError, outcome: Outcome, out: list[Effect]
    ) -> None:
        """Respond to the caller with an error, without ending the exchange."""
        if not exchange.client_disconnected:
            out.append(rejection(exchange.endpoint_id, exchange.request.request_id, error, outcome))
        out.append(
            LogEvent(
                "request.refused" if outcome is Outcome.NOT_RUN else "request.unknown",
                {
                    "request_id": exchange.request.request_id,
                    "pool": exchange.request.pool.name,
                    "code": type(error).code,
                    "tries": exchange.attempts,
                },
                "debug" if outcome is Outcome.NOT_RUN else "warning",
            )
        )
        self.count_outcome(exchange, outcome, out)

    def finalize(
        self,
        exchange: Exchange,
        outcome: Outcome,
        recorded: RecordedResponse | None,
        now: float,
        out: list[Effect],
    ) -> None:
        """Release all resources of an exchange whose caller has its response or disconnected."""
        if exchange.phase is ExchangePhase.DONE:
            return
        number = exchange.number
        if exchange.phase is ExchangePhase.QUEUED:
            exchange.pool_state.queue.remove(number)
            self._timer_queue.cancel((TimerKind.QUEUE_WAIT, number))
        elif exchange.phase is ExchangePhase.RESUMING:
            self._timer_queue.cancel((TimerKind.RESUME, number))
        exchange.phase = ExchangePhase.DONE
        self._timer_queue.cancel((TimerKind.DEADLINE, number))
        self._timer_queue.cancel((TimerKind.HEDGE, number))
        self.cancel_secondary_call(exchange, _losing_call_result(exchange, outcome), now, out)
        self.release(exchange, CallResult.INCONCLUSIVE, now)
        self._table.remove(exchange)
        request = exchange.request
        unused_cost = 0.0
        if outcome is Outcome.ANSWER:
            exchange.pool_state.rate.record(request.cost, now)
            unused_cost = _unused_cost(exchange)
        elif outcome is Outcome.NOT_RUN:
            unused_cost = request.cost
        self._admission.release(request, exchange.buckets, unused_cost)
        ticket = exchange.claim
        if ticket is not None and ticket.granted:
            self._claims.record(ticket, outcome, recorded, now, out)
        self.count_outcome(exchange, outcome, out)

    def cancel_secondary_call(
        self, exchange: Exchange, result: CallResult, now: float, out: list[Effect]
    ) -> None:
        """Cancel the secondary call of a hedged lookup, if there is one."""
        secondary_call = exchange.secondary_call
        if secondary_call is None:
            return
        exchange.secondary_call = None
        self._table.remove_secondary_call(secondary_call)
        out.append(CancelCall(secondary_call.call_id))
        pool_state = exchange.pool_state
        pool_state.router.record_call_end(secondary_call.backend.backend_id, result, now)
        if len(pool_state.queue):
            self._freed_pools[pool_state.number] = pool_state

    def count_outcome(self, exchange: Exchange, outcome: Outcome, out: list[Effect]) -> None:
        """Count the outcome of an exchange, once."""
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
            # Pool names come from the configuration, which bounds the table.
            self._counters[key] = counter
        return counter


def _losing_call_result(exchange: Exchange, outcome: Outcome) -> CallResult:
    """Return how the breaker counts the hedged call that was pending when the exchange ended."""
    secondary_call = exchange.secondary_call
    if secondary_call is None or outcome is not Outcome.ANSWER:
        return CallResult.INCONCLUSIVE
    # Counted as a failure if a replica that was sent the request later responded first: a frozen
    # replica loses every hedge, so its breaker opens before any of its calls times out.
    was_overtaken = secondary_call.sent_at < exchange.call_sent_at
    return CallResult.FAILURE if was_overtaken else CallResult.INCONCLUSIVE


def _unused_cost(exchange: Exchange) -> float:
    """Return the tokens that a generation requested and did not produce; 0 for lookups."""
    completion = exchange.request.completion
    if exchange.request.kind is not RequestKind.GENERATION or completion is None:
        return 0.0
    generated = 0 if exchange.progress is None else exchange.progress.position
    return float(max(0, completion.max_tokens - generated))
