"""The gateway's reducer: composes its parts and routes events to them."""

from collections.abc import Sequence
from random import Random

from merlinstand.gateway.admission import Admission
from merlinstand.gateway.cache_event_poller import CACHE_TIMER, CacheEventPoller
from merlinstand.gateway.claim_flow import ClaimFlow
from merlinstand.gateway.claims import Claims
from merlinstand.gateway.dispatcher import Dispatcher
from merlinstand.gateway.endpoint import Endpoint
from merlinstand.gateway.exchange import Exchange
from merlinstand.gateway.exchange_table import ExchangeTable
from merlinstand.gateway.finalizer import Finalizer
from merlinstand.gateway.health import MACHINES_TIMER, STATUS_TIMER, HealthPoller
from merlinstand.gateway.hedging import Hedging
from merlinstand.gateway.interruptions import Interruptions
from merlinstand.gateway.loop_delay import LoopDelay
from merlinstand.gateway.planned_stop import PlannedStop
from merlinstand.gateway.pool_states import PoolStates
from merlinstand.gateway.proxying import Proxying
from merlinstand.gateway.retries import Retries
from merlinstand.gateway.settings import GatewaySettings
from merlinstand.gateway.streaming import Streaming
from merlinstand.gateway.timer_queue import TIMER_QUEUE_TIMER, TimerKind, TimerQueue
from merlinstand.kernel.effects import Effect
from merlinstand.kernel.events import (
    CallChunk,
    CallEnded,
    CallFailed,
    CallHeaders,
    CallResponded,
    Event,
    ReadinessRequested,
    RequestAborted,
    RequestReceived,
    Started,
    StopRequested,
    TimerFired,
)
from merlinstand.session.control_session import ControlSession, SessionStep
from merlinstand.session.notices import CommandFinished, ConfigurationChanged, Notice
from merlinstand.session.settings import session_settings

FOLLOWED_KINDS = ("pool/", "drain/", "limits/", "daemon/")
"""Key prefixes of the configuration objects that a gateway applies."""


class GatewayDaemon:
    """One gateway process."""

    def __init__(self, settings: GatewaySettings, session: ControlSession | None = None) -> None:
        """Create a gateway; `start` must be called first.

        Args:
            settings: Identity and settings of the gateway.
            session: Session with the control group; created from the settings if None.
        """
        self._settings = settings
        self._session = session or ControlSession(session_settings(settings, "gateway"))
        self._timer_queue = TimerQueue()
        self._table = ExchangeTable()
        self._loop_delay = LoopDelay()
        self._admission = Admission(settings.admission, self._loop_delay)
        self._claims = Claims(settings.node_id, settings.claims, self._session)
        self._finalizer = Finalizer(self._table, self._timer_queue, self._admission, self._claims)
        self._dispatcher = self._make_dispatcher()
        self._claim_flow = self._make_claim_flow()
        self._hedging = Hedging(self._dispatcher)
        self._retries = Retries(
            settings.requests, self._timer_queue, self._dispatcher, self._finalizer
        )
        self._interruptions = self._make_interruptions()
        self._proxying = Proxying(settings.requests, self._retries, self._finalizer)
        self._streaming = Streaming(settings.requests, self._retries, self._finalizer)
        self._random = Random(0)
        self._pool_states = PoolStates(settings, self._random)
        self._health_poller = HealthPoller(
            settings.health, settings.machine_list_address, self._pool_states
        )
        self._cache_event_poller = CacheEventPoller(settings.health, self._pool_states)
        self._endpoint = self._make_endpoint()
        self._planned_stop = PlannedStop(
            settings.stop, self._session, self._table, self._claims, self._endpoint
        )

    def _make_dispatcher(self) -> Dispatcher:
        return Dispatcher(
            self._settings,
            self._session,
            self._table,
            self._timer_queue,
            self._admission,
            self._claims,
            self._finalizer,
        )

    def _make_claim_flow(self) -> ClaimFlow:
        return ClaimFlow(
            self._settings.claims,
            self._session,
            self._table,
            self._claims,
            self._dispatcher,
            self._finalizer,
        )

    def _make_interruptions(self) -> Interruptions:
        return Interruptions(
            self._settings.claims.linger_seconds,
            self._timer_queue,
            self._dispatcher,
            self._retries,
            self._finalizer,
        )

    def _make_endpoint(self) -> Endpoint:
        return Endpoint(
            self._settings,
            self._session,
            self._pool_states,
            self._admission,
            self._claims,
            self._dispatcher,
        )

    @property
    def in_flight(self) -> int:
        """Number of exchanges that are not finished."""
        return len(self._table)

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Start the session with the control group and the polling of backends."""
        self._random.seed(event.seed)
        self._claims.start(self._random)
        out: list[Effect] = []
        self._apply_session_step(self._session.start(event, now), now, out)
        self._apply_configuration(now, out)
        self._health_poller.start(out)
        self._cache_event_poller.start(out)
        return out

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Handle one event at local time `now`, and return the effects for the host to perform."""
        out: list[Effect] = []
        if isinstance(event, CallChunk):
            # By far the most frequent event, so steps that it does not need are skipped.
            exchange = self._table.by_call.get(event.call_id)
            if exchange is None:
                return out
            self._streaming.on_chunk(exchange, event, now, out)
            if exchange.call_id is not None:
                return out
        else:
            self._route(event, now, out)
        for pool_state in self._finalizer.take_freed_pools():
            self._dispatcher.dispatch_queued(pool_state, now, out)
        if self._endpoint.stopping:
            self._planned_stop.stop_if_drained(now, out)
        self._timer_queue.set_host_timer(now, out)
        return out

    # Routing of events ----------------------------------------------------------------

    def _route(self, event: Event, now: float, out: list[Effect]) -> None:
        match event:
            case RequestReceived():
                self._endpoint.receive(event, now, out)
            case ReadinessRequested():
                self._endpoint.answer_readiness(event.request_id, now, out)
            case CallResponded() | CallHeaders() | CallEnded() | CallFailed():
                self._route_call(event, now, out)
            case RequestAborted():
                exchange = self._table.by_endpoint.get(event.request_id)
                if exchange is not None:
                    self._interruptions.on_client_disconnect(exchange, now, out)
            case StopRequested():
                self._planned_stop.begin(out)
            case TimerFired() if event.name.startswith("gateway."):
                self._on_timer(event.name, now, out)
            case _:
                if self._session.handles(event):
                    self._apply_session_step(self._session.reduce(event, now), now, out)

    def _route_call(
        self,
        event: CallResponded | CallHeaders | CallEnded | CallFailed,
        now: float,
        out: list[Effect],
    ) -> None:
        exchange = self._table.by_call.get(event.call_id)
        if exchange is None:
            self._on_polling_call(event, now, out)
            return
        self._hedging.select_call(exchange, event.call_id)
        match event:
            case CallResponded():
                self._proxying.on_response(exchange, event, now, out)
            case CallHeaders():
                self._streaming.on_headers(exchange, event, now, out)
            case CallEnded():
                self._streaming.on_end(exchange, event, now, out)
            case CallFailed():
                self._on_call_failed(exchange, event, now, out)

    def _on_call_failed(
        self, exchange: Exchange, event: CallFailed, now: float, out: list[Effect]
    ) -> None:
        if exchange.request.completion is None:
            self._proxying.on_failure(exchange, event, now, out)
        else:
            self._streaming.on_failure(exchange, event, now, out)

    def _on_polling_call(self, event: Event, now: float, out: list[Effect]) -> None:
        """Handle an event of a polling call; late events of finished calls are ignored."""
        if isinstance(event, CallResponded):
            self._cache_event_poller.on_response(event)
            pool_state = self._health_poller.on_response(event, now)
            if pool_state is not None and len(pool_state.queue):
                self._dispatcher.dispatch_queued(pool_state, now, out)
        elif isinstance(event, CallFailed):
            self._cache_event_poller.on_failure(event)
            self._health_poller.on_failure(event)

    # Timers ---------------------------------------------------------------------------

    def _on_timer(self, name: str, now: float, out: list[Effect]) -> None:
        if name == TIMER_QUEUE_TIMER:
            self._timer_queue.on_host_timer()
            for due, number in self._timer_queue.pop_due(now):
                self._on_timer_due(due, number, now, out)
        elif name == STATUS_TIMER:
            self._loop_delay.record_timer_fired(now)
            self._loop_delay.record_timer_set(now, self._health_poller.on_status_timer(now, out))
        elif name == MACHINES_TIMER:
            self._health_poller.on_machines_timer(out)
        elif name == CACHE_TIMER:
            self._cache_event_poller.on_timer(out)
        else:
            self._planned_stop.on_timer(name)

    def _on_timer_due(self, due: TimerKind, number: int, now: float, out: list[Effect]) -> None:
        if due is TimerKind.DISPATCH_QUEUED:
            pool_state = self._pool_states.get_by_number(number)
            if pool_state is not None:
                self._dispatcher.dispatch_queued(pool_state, now, out)
            return
        exchange = self._table.by_number.get(number)
        if exchange is None:
            return
        if due is TimerKind.DEADLINE:
            self._interruptions.on_deadline(exchange, now, out)
        elif due is TimerKind.QUEUE_WAIT:
            self._interruptions.on_queue_timeout(exchange, now, out)
        elif due is TimerKind.HEDGE:
            self._hedging.on_delay_elapsed(exchange, now, out)
        else:
            self._retries.resume(exchange, now, out)

    # Control --------------------------------------------------------------------------

    def _apply_session_step(self, step: SessionStep, now: float, out: list[Effect]) -> None:
        out.extend(step.effects)
        for notice in step.notices:
            self._on_notice(notice, now, out)

    def _on_notice(self, notice: Notice, now: float, out: list[Effect]) -> None:
        if isinstance(notice, CommandFinished):
            result = self._claims.on_command_finished(notice)
            if result is not None:
                self._claim_flow.on_claim_finished(result, now, out)
        elif isinstance(notice, ConfigurationChanged) and _affects_gateways(notice):
            self._apply_configuration(now, out)

    def _apply_configuration(self, now: float, out: list[Effect]) -> None:
        view = self._session.view
        self._pool_states.configure(view)
        self._admission.rate_limits.configure(view.limits)
        self._health_poller.poll_new_replicas(now, out)


def _affects_gateways(notice: ConfigurationChanged) -> bool:
    return any(key.startswith(FOLLOWED_KINDS) for key in notice.changed_keys)
