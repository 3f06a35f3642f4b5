"""Brings all engines to the newest published weight versions, a few engines at a time.

For each load, the leading keeper polls the engine's report: the weight version that it holds and
whether an order (a command to load weights) is in progress. Before the leader sends an order, it
commits an intent to the log, so that the next leader waits long enough before it sends its own
orders. Orders also carry a fencing token, by which engines refuse the orders of an earlier leader.
`fenced_calls.call_intents` sets the minimum time between the orders of two leaders.
"""

from collections.abc import Callable, Sequence
from http import HTTPStatus

import msgspec
from result import Err

from merlinstand.batch_jobs.engine_interface import (
    EngineCall,
    EngineInterface,
    EngineReport,
    OrderReply,
    WeightOrder,
)
from merlinstand.batch_jobs.engine_probes import EngineProbes
from merlinstand.batch_jobs.engines import EngineState, EngineStates
from merlinstand.batch_jobs.load_plan import PARALLEL_LOAD_SHARE, engines_to_load, load_mode
from merlinstand.batch_jobs.model_assignments import ModelAssignments
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.batch_jobs.weight_calls import CALL_PREFIX, WeightCalls
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.common.ids import BackendId, CallId
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.fenced_calls.call_intents import INTENT_TIMEOUT_SECONDS
from merlinstand.kernel.effects import Effect, LogEvent
from merlinstand.kernel.events import CallFailed, CallResponded

REPORT_AND_ORDER_ATTEMPTS = 2
"""Grants requested for a cold engine: one for a report, and one for the order that follows
immediately."""
POLL_INTERVAL_SECONDS = 0.25
"""Interval between reports of an engine while it executes an order."""
FIRST_POLL_DELAY_SECONDS = 0.9
"""Time from an order to the first report after it; about the minimum duration of a load."""
RETRY_DELAY_SECONDS = 0.5
"""Time until an engine is polled again after an unsuccessful call."""


class _Load(msgspec.Struct):
    """The load of one version at one engine."""

    backend_id: BackendId
    model: str
    version: int
    next_report_at: float = 0.0
    """Local time from which the next report may be requested."""
    sequence: int = 0
    """Number of orders that the engine had accepted as of its last report."""
    intent_proposed_at: float | None = None
    """Local time at which the intent of the next order was proposed; None if no intent is
    pending."""
    order_expires_at: float = float("-inf")
    """Local time until which an order with a committed intent may be sent, while it waits for a
    grant."""
    call_id: CallId | None = None
    """The pending call, if any."""


class OrderIntents(msgspec.Struct, frozen=True):
    """Access to the replicated call intents, which separate the orders of successive leaders."""

    holder: str
    """Name of this machine."""
    seconds_until_free: Callable[[BackendId, float], float]
    """Given an engine and the local time, returns the seconds until this keeper may send it an
    order."""
    propose_intent: Callable[[BackendId, float], list[Effect] | None]
    """Proposes the intent of an order before the order is sent; returns None if that is not
    possible now. `WeightLoader.on_intent_committed` is called once the intent is committed."""


class WeightLoader:
    """Loads weights during one leadership term; ticked only while this keeper may act as leader."""

    def __init__(
        self,
        follower: DirectoryFollower,
        engines: EngineStates,
        interface: EngineInterface,
        names: HeaderNames,
        demand_of: Callable[[str], float],
        order_intents: OrderIntents,
        recent_jobs: Callable[[str], Sequence[JobState]] = lambda _model: (),
    ) -> None:
        """Create an idle loader; `begin` starts a leadership term.

        Args:
            follower: The directory, for the published weight versions and the services' models.
            engines: All engines.
            interface: Translates orders and reports.
            names: Header names.
            demand_of: Returns the work recently requested of a model, in tokens.
            order_intents: Returns when this keeper may send an order to an engine, and proposes
                intents.
            recent_jobs: Returns the newest jobs of a model, newest first; without it, engines are
                assigned by count only.
        """
        self._follower = follower
        self._engines = engines
        self._interface = interface
        self._order_intents = order_intents
        self._assignments = ModelAssignments(follower, engines, demand_of, recent_jobs)
        self._calls = WeightCalls(follower, names)
        self._probes = EngineProbes(engines, interface, self._calls)
        self._loads: dict[BackendId, _Load] = {}
        self._is_leading = False
        self._fence = 0

    def begin(self, fence: int) -> None:
        """Start a leadership term.

        Args:
            fence: Fencing token, higher than the token of every earlier leader.
        """
        self._fence = fence
        self._is_leading = True
        self._reset()

    def end(self) -> None:
        """End the leadership term; no further orders are sent."""
        self._is_leading = False
        self._reset()

    def _reset(self) -> None:
        for state in self._engines.states.values():
            state.is_loading = False
        self._loads.clear()
        self._probes.clear()
        self._assignments.reset()

    def is_assigned(self, backend_id: BackendId, model: str) -> bool:
        """Whether an engine is assigned a model, and so keeps its weights current."""
        return self._assignments.is_assigned(backend_id, model)

    def tick(self, now: float) -> list[Effect]:
        """Start and advance loads; call it only while this process may act as leader."""
        if not self._is_leading:
            return []
        self._drop_unavailable()
        effects = self._assignments.update(now)
        effects.extend(self._probes.tick(now))
        for service in self._follower.routes.services.values():
            for model in service.models:
                effects.extend(self._start_loads(service.name, model, now))
        for load in list(self._loads.values()):
            if load.call_id is None:
                effects.extend(self._advance(load, now))
        return effects

    def _advance(self, load: _Load, now: float) -> list[Effect]:
        """Send an order that waits for a grant, or request a report if it is due."""
        state = self._engines.states[load.backend_id]
        if load.order_expires_at >= now:
            return self._send_order_if_granted(load, state, now)
        if load.next_report_at <= now and self._calls.try_reserve_send(
            state, now, REPORT_AND_ORDER_ATTEMPTS
        ):
            return [self._start_call(load, state, "report", self._interface.make_report_call())]
        return []

    def _drop_unavailable(self) -> None:
        for backend_id, load in list(self._loads.items()):
            if self._is_unavailable(backend_id):
                self._end_load(load)

    def _is_unavailable(self, backend_id: BackendId) -> bool:
        """Whether an engine has left or is draining, so that no call may be made to it."""
        state = self._engines.states.get(backend_id)
        return state is None or state.backend.is_draining

    def _start_loads(self, service: str, model: str, now: float) -> list[Effect]:
        """Start loads at engines that are behind the published version of a model."""
        target = self._follower.weights.get(model, 0)
        engines = self._engines.of_service(service)
        loading_count = sum(1 for state in engines if state.backend.backend_id in self._loads)
        effects: list[Effect] = []
        for state in engines_to_load(
            engines,
            loading_count,
            lambda state: self._is_behind(state, model, target, now),
            PARALLEL_LOAD_SHARE,
        ):
            backend_id = state.backend.backend_id
            self._loads[backend_id] = _Load(backend_id, model, target)
            fields = {"backend": backend_id, "model": model, "version": target}
            effects.append(LogEvent("weights.load_begins", fields))
        return effects

    def _is_behind(self, state: EngineState, model: str, target: int, now: float) -> bool:
        """Whether an engine needs a version and may start to load it now."""
        backend = state.backend
        is_busy = (
            backend.backend_id in self._loads
            or state.backoff_until > now
            or self._order_intents.seconds_until_free(backend.backend_id, now) > 0.0
        )
        is_available = not is_busy and not backend.is_draining
        is_assigned = self._assignments.is_assigned(backend.backend_id, model)
        return is_available and is_assigned and state.version_of(model) < target

    # Calls

    def _start_call(self, load: _Load, state: EngineState, kind: str, call: EngineCall) -> Effect:
        started = self._calls.make_call(kind, state, call)
        load.call_id = started.call_id
        return started

    def on_call(self, event: CallResponded | CallFailed, may_act: bool, now: float) -> list[Effect]:
        """Handle the end of a call whose id starts with `CALL_PREFIX`."""
        if self._probes.handles(event.call_id):
            return self._probes.on_call(event)
        kind, _number, backend_id = event.call_id.removeprefix(CALL_PREFIX).split(":", 2)
        load = self._loads.get(BackendId(backend_id))
        if load is None or load.call_id != event.call_id:
            return []
        if self._is_unavailable(load.backend_id):
            self._end_load(load)
            return []
        load.call_id = None
        load.next_report_at = now + RETRY_DELAY_SECONDS
        if isinstance(event, CallFailed):
            return self._on_call_failed(load, kind, now)
        if not may_act or not self._is_leading:
            return []
        if kind == "report":
            return self._on_report(load, event, now)
        return self._on_order_reply(load, event, now)

    def _on_call_failed(self, load: _Load, kind: str, now: float) -> list[Effect]:
        """Handle a call without a response.

        A report without a response counts as a failure and ends the load, so that other engines may
        load until this one is retried. An order without a response does not end the load, because
        the engine may have accepted the order and may execute it late.
        """
        if kind == "report":
            self._engines.states[load.backend_id].record_failure(now)
            self._end_load(load)
        fields = {"backend": load.backend_id, "version": load.version, "call": kind}
        return [LogEvent("weights.no_answer", fields, "warning")]

    def _on_report(self, load: _Load, event: CallResponded, now: float) -> list[Effect]:
        if event.status != HTTPStatus.OK:
            return []
        read = self._interface.parse_report(event.body)
        if isinstance(read, Err):
            return [LogEvent("weights.bad_report", {"backend": load.backend_id}, "warning")]
        report = read.ok_value
        state = self._engines.states[load.backend_id]
        state.record_version(load.model, report.versions.get(load.model, 0))
        load.version = max(load.version, self._follower.weights.get(load.model, 0))
        if state.version_of(load.model) >= load.version:
            self._end_load(load)
            fields = {"backend": load.backend_id, "model": load.model, "version": load.version}
            return [LogEvent("weights.loaded", fields)]
        if report.has_pending_order:
            load.next_report_at = now + POLL_INTERVAL_SECONDS
            return []
        return self._propose_intent(load, report, now)

    def _propose_intent(self, load: _Load, report: EngineReport, now: float) -> list[Effect]:
        """Propose the intent of an order, so that a later leader knows that it may be sent."""
        wait_seconds = self._order_intents.seconds_until_free(load.backend_id, now)
        if wait_seconds > 0.0:
            load.next_report_at = now + wait_seconds
            return []
        load.sequence = report.sequence
        load.intent_proposed_at = now
        effects = self._order_intents.propose_intent(load.backend_id, now)
        if effects is None:
            load.intent_proposed_at = None
            return []
        load.next_report_at = now + INTENT_TIMEOUT_SECONDS + RETRY_DELAY_SECONDS
        return effects

    def on_intent_committed(self, backend_id: BackendId, may_act: bool, now: float) -> list[Effect]:
        """Send the order of a committed intent, unless `INTENT_TIMEOUT_SECONDS` have passed."""
        load = self._loads.get(backend_id)
        state = self._engines.states.get(backend_id)
        if load is None or state is None or load.intent_proposed_at is None:
            return []
        if state.backend.is_draining:
            self._end_load(load)
            return []
        seconds_left = load.intent_proposed_at + INTENT_TIMEOUT_SECONDS - now
        load.intent_proposed_at = None
        if not (seconds_left >= 0.0 and may_act and self._is_leading) or load.call_id is not None:
            return []
        load.order_expires_at = now + seconds_left
        return self._send_order_if_granted(load, state, now)

    def _send_order_if_granted(self, load: _Load, state: EngineState, now: float) -> list[Effect]:
        """Send an order with a committed intent, unless it has to wait for a grant."""
        if not self._calls.try_reserve_send(state, now):
            return []
        load.order_expires_at = float("-inf")
        return [self._start_order(load, state)]

    def _start_order(self, load: _Load, state: EngineState) -> Effect:
        state.is_loading = True
        order = WeightOrder(
            model=load.model,
            version=load.version,
            mode=load_mode(load.model, self._follower.routes),
            holder=self._order_intents.holder,
            fence=self._fence,
            expected_sequence=load.sequence,
        )
        return self._start_call(load, state, "order", self._interface.make_order_call(order))

    def _on_order_reply(self, load: _Load, event: CallResponded, now: float) -> list[Effect]:
        reply = self._interface.parse_order_reply(event.status)
        state = self._engines.states[load.backend_id]
        fields = {
            "backend": load.backend_id,
            "model": load.model,
            "version": load.version,
            "fence": self._fence,
            "reply": reply.value,
        }
        if reply is OrderReply.IN_PROGRESS:
            load.next_report_at = now + FIRST_POLL_DELAY_SECONDS
        elif reply is OrderReply.ALREADY_LOADED:
            state.record_version(load.model, load.version)
            self._end_load(load)
        else:
            state.is_loading = False
        return [LogEvent("weights.ordered", fields)]

    def _end_load(self, load: _Load) -> None:
        self._loads.pop(load.backend_id, None)
        state = self._engines.states.get(load.backend_id)
        if state is not None:
            state.is_loading = False
