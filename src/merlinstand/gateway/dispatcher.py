"""Dispatches admitted requests to backends: queue, choice of a backend, claim, call.

1. `submit`: a request is dispatched at once, unless requests of its pool are queued or all backends
   are busy (`PoolBusyError`); then the request is queued. After any other error it is rejected.
2. `_enqueue`: a request is rejected if its expected wait (cost of the requests ahead divided by the
   pool's completion rate) exceeds its maximum wait, or if the queue is full and no other caller has
   more queued work.
3. `dispatch`: requests are only dispatched while the gateway holds the configuration lease.
   `routing.router` chooses the backend. For a request that is not repeatable, the idempotency key
   is claimed first (`claims`), and the request is sent once the claim is granted (`claim_flow`).
4. `dispatch_queued`: when a slot becomes free or a back-off ends, queued requests are dispatched in
   the fair order of `decisions.queue_order` until no slot is left.

`retries` decides what follows a failed attempt, `try_times` the timeouts, `admission` the
limits of the gateway and of callers, `refusals` the errors that callers get.
"""

from merlinstand.common.errors import MerlinstandError
from merlinstand.common.ids import CallId
from merlinstand.configuration.objects import Backend
from merlinstand.gateway.admission import Admission
from merlinstand.gateway.caller_request import RequestKind
from merlinstand.gateway.calls import generation_call, lookup_call
from merlinstand.gateway.claims import Claims
from merlinstand.gateway.exchange import Exchange, ExchangePhase, PoolState
from merlinstand.gateway.exchange_table import ExchangeTable
from merlinstand.gateway.finalizer import Finalizer
from merlinstand.gateway.refusals import stale_configuration, would_wait_too_long
from merlinstand.gateway.settings import GatewaySettings
from merlinstand.gateway.stream_progress import StreamProgress
from merlinstand.gateway.timer_queue import TimerKind, TimerQueue
from merlinstand.gateway.try_times import (
    hedge_delay_seconds,
    lookup_timeout_seconds,
    read_interval_seconds,
    stream_idle_seconds,
)
from merlinstand.kernel.effects import Effect, StartCall
from merlinstand.routing.errors import PoolBusyError
from merlinstand.session.control_session import ControlSession

MINIMUM_QUEUE_RETRY_SECONDS = 0.1
"""Minimum time before a busy pool's queue is dispatched again, unless a slot becomes free."""


class Dispatcher:
    """Queues exchanges and sends their calls."""

    def __init__(
        self,
        settings: GatewaySettings,
        session: ControlSession,
        table: ExchangeTable,
        timer_queue: TimerQueue,
        admission: Admission,
        claims: Claims,
        finalizer: Finalizer,
    ) -> None:
        """Create a dispatcher from the parts of the gateway that dispatch depends on."""
        self._settings = settings
        self._session = session
        self._table = table
        self._timer_queue = timer_queue
        self._admission = admission
        self._claims = claims
        self._finalizer = finalizer
        self._call_number = 0

    # Submission -----------------------------------------------------------------------

    def submit(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        """Dispatch, queue or reject an admitted request."""
        self._table.add(exchange)
        self._timer_queue.schedule((TimerKind.DEADLINE, exchange.number), exchange.deadline_at)
        pool_state = exchange.pool_state
        pool_state.router.retry_budget.record_first_attempt(now)
        pool_state.hedge_budget.record_first_attempt(now)
        if len(pool_state.queue):
            self._enqueue(exchange, now, out)
            return
        error = self.dispatch(exchange, now, out)
        if isinstance(error, PoolBusyError):
            self._enqueue(exchange, now, out)
            self._schedule_queue_retry(pool_state, error, now)
        elif error is not None:
            self._finalizer.reject(exchange, error, now, out)

    def _enqueue(self, exchange: Exchange, now: float, out: list[Effect]) -> None:
        pool_state, request, weight = exchange.pool_state, exchange.request, exchange.buckets.weight
        maximum_seconds = self._maximum_wait_seconds(exchange, now)
        expected_seconds = pool_state.expected_wait_seconds(request.caller, weight, now)
        if expected_seconds > maximum_seconds:
            self._finalizer.reject(exchange, would_wait_too_long(expected_seconds), now, out)
            return
        accepted, evicted = pool_state.queue.push(
            exchange.number, exchange, request.caller, weight, request.cost
        )
        if evicted is not None:
            self._finalizer.reject(evicted, would_wait_too_long(expected_seconds), now, out)
        if not accepted:
            self._finalizer.reject(exchange, would_wait_too_long(expected_seconds), now, out)
            return
        self._timer_queue.schedule((TimerKind.QUEUE_WAIT, exchange.number), now + maximum_seconds)

    def _maximum_wait_seconds(self, exchange: Exchange, now: float) -> float:
        admission = self._settings.admission
        if exchange.request.kind is RequestKind.LOOKUP:
            bound_seconds = admission.maximum_lookup_wait_seconds
        else:
            bound_seconds = admission.maximum_generation_wait_seconds
        return min(bound_seconds, exchange.remaining_seconds(now))

    # Dispatch -------------------------------------------------------------------------

    def dispatch(
        self, exchange: Exchange, now: float, out: list[Effect]
    ) -> MerlinstandError | None:
        """Send an exchange to a backend, or return the error that prevents it now."""
        if not self._session.may_take_new_work(now):
            # The configuration may be outdated: its backends may have been drained in the meantime.
            return stale_configuration(self._session.seconds_until_retry(now))
        chosen = exchange.pool_state.router.choose(
            now, exclude=exchange.tried_backends, affinity=exchange.request.affinity
        )
        if chosen.is_err():
            return chosen.unwrap_err()
        backend = chosen.unwrap()
        exchange.pool_state.router.record_call_start(backend.backend_id, now)
        exchange.backend = backend
        if exchange.request.repeatable or exchange.claim is not None:
            self.call(exchange, backend, now, out)
        else:
            exchange.phase = ExchangePhase.CLAIMING
            self._claims.claim(exchange, now, out)
        return None

    def call(self, exchange: Exchange, backend: Backend, now: float, out: list[Effect]) -> None:
        """Send an exchange to the backend at which it holds a slot, and schedule a hedge."""
        call_id = self.next_call_id()
        out.append(self._build_call(exchange, backend, call_id, now))
        exchange.attempts += 1
        exchange.tried_backends.add(backend.backend_id)
        exchange.phase = ExchangePhase.CALLING
        exchange.call_sent_at = now
        self._table.add_call(exchange, call_id)
        if exchange.attempts == 1:
            delay_seconds = hedge_delay_seconds(exchange, self._settings.requests, now)
            if delay_seconds is not None:
                self._timer_queue.schedule((TimerKind.HEDGE, exchange.number), now + delay_seconds)

    def _build_call(
        self, exchange: Exchange, backend: Backend, call_id: CallId, now: float
    ) -> StartCall:
        settings = self._settings.requests
        completion = exchange.request.completion
        if completion is None:
            linger_seconds = self._settings.claims.linger_seconds
            timeout_seconds = lookup_timeout_seconds(exchange, settings, linger_seconds, now)
            return lookup_call(exchange, backend, call_id, timeout_seconds, now)
        if exchange.progress is None:
            exchange.progress = StreamProgress(
                exchange.request.request_id,
                completion.max_tokens,
                settings.maximum_answer_bytes,
                relayed=completion.stream,
            )
        else:
            exchange.progress.start_call()
        timeout_seconds = stream_idle_seconds(exchange, settings, now)
        interval_seconds = read_interval_seconds(self._admission.generation_count, settings)
        return generation_call(
            exchange, completion, backend, call_id, timeout_seconds, interval_seconds, now
        )

    def next_call_id(self) -> CallId:
        """Return a new call id, unique in this run of the gateway."""
        self._call_number += 1
        return CallId(f"call.{self._call_number}")

    # Queues ---------------------------------------------------------------------------

    def dispatch_queued(self, pool_state: PoolState, now: float, out: list[Effect]) -> None:
        """Dispatch queued requests of a pool while there are free slots."""
        while len(pool_state.queue) and pool_state.router.free_slots() > 0:
            exchange = pool_state.queue.peek()
            if exchange is None:
                return
            error = self.dispatch(exchange, now, out)
            if isinstance(error, PoolBusyError):
                self._schedule_queue_retry(pool_state, error, now)
                return
            if error is not None:
                self._finalizer.reject(exchange, error, now, out)
                continue
            # `pop` rather than `remove`: it advances the virtual time of the fair queue.
            pool_state.queue.pop()
            self._timer_queue.cancel((TimerKind.QUEUE_WAIT, exchange.number))

    def _schedule_queue_retry(
        self, pool_state: PoolState, error: PoolBusyError, now: float
    ) -> None:
        wait_seconds = max(MINIMUM_QUEUE_RETRY_SECONDS, error.retry_after_seconds or 0.0)
        self._timer_queue.schedule(
            (TimerKind.DISPATCH_QUEUED, pool_state.number), now + wait_seconds
        )
