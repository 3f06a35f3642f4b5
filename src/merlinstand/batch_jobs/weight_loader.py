"""Brings every engine to the newest named weight version by fenced orders, a few at a time.

Run by the leading keeper, ticked by its daemon. Owns the loads that are under way. Each goes from
report to report: what version does the engine hold, is an order under way there; then the order is
noted in the log, so that a later leader knows when this one gave its last, and given once the note
is committed. Relies on `model_assignments` for what an engine is to load, on `load_plan` for which
engines begin and how, on `engine_probes` for engines that failed, and on
`fenced_calls.call_intents` for the time between orders of two holders.
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
from merlinstand.batch_jobs.load_plan import PARALLEL_SHARE, engines_to_load, load_mode
from merlinstand.batch_jobs.model_assignments import ModelAssignments
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.batch_jobs.weight_calls import CALL_PREFIX, WeightCalls
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.common.ids import BackendId, CallId
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.fenced_calls.call_intents import INTENT_TIMEOUT_SECONDS
from merlinstand.kernel.effects import Effect, LogEvent
from merlinstand.kernel.events import CallFailed, CallResponded

REPORT_AND_ORDER = 2
"""Sends requested for a cold engine that is asked: an order follows the report within a moment."""
POLL_SECONDS = 0.25
"""Seconds between two reports of an engine that carries an order out. Chosen, not measured."""
FIRST_POLL_SECONDS = 0.9
"""Seconds from an order to the first report after it: a load takes about this long at least."""
RETRY_SECONDS = 0.5
"""Seconds until an engine is asked again after a call that came to nothing. Chosen, not
measured."""


class _Load(msgspec.Struct):
    """One engine on its way to a version."""

    backend_id: BackendId
    model: str
    version: int
    next_at: float = 0.0
    """When it is to be asked for a report again."""
    sequence: int = 0
    """Orders that the engine had taken when it was asked."""
    noted_since: float | None = None
    """When the note of the next order was proposed; None if none is."""
    order_until: float = float("-inf")
    """Until when an order that is noted may be given; it waits for a grant."""
    call_id: CallId | None = None
    """The call that is under way; None if none is."""


class OrderLeases(msgspec.Struct, frozen=True):
    """This keeper's turn to order an engine, among all that ever led."""

    holder: str
    """This machine's name."""
    seconds_until_free: Callable[[BackendId, float], float]
    """Seconds until this holder may order an engine, whoever did before."""
    propose_order: Callable[[BackendId, float], list[Effect] | None]
    """Proposes to note an order, before it is given; `WeightLoader.order_noted` follows. None if
    that can't be done now."""


class WeightLoader:
    """Orders of one leadership; the owner ticks it while it may act."""

    def __init__(
        self,
        follower: DirectoryFollower,
        engines: EngineStates,
        interface: EngineInterface,
        names: HeaderNames,
        demand_of: Callable[[str], float],
        turns: OrderLeases,
        recent_jobs: Callable[[str], Sequence[JobState]] = lambda _model: (),
    ) -> None:
        """Begin without orders.

        Args:
            follower: The directory, for the named versions and the services' models.
            engines: All engines.
            interface: Translates orders and reports.
            names: Header names.
            demand_of: Work lately asked for of a model, in tokens.
            turns: When this keeper may order an engine.
            recent_jobs: Newest jobs of a model, newest first; without, engines are shared out by
                their number only.
        """
        self._follower = follower
        self._engines = engines
        self._interface = interface
        self._turns = turns
        self._followed = ModelAssignments(follower, engines, demand_of, recent_jobs)
        self._calls = WeightCalls(follower, names)
        self._probes = EngineProbes(engines, interface, self._calls)
        self._loads: dict[BackendId, _Load] = {}
        self._is_holder = False
        self._fence = 0

    def begin(self, fence: int) -> None:
        """A leadership begins.

        Args:
            fence: Above that of every earlier holder.
        """
        self._fence = fence
        self._is_holder = True
        self._forget()

    def end(self) -> None:
        """The leadership is over: nothing is ordered any more."""
        self._is_holder = False
        self._forget()

    def _forget(self) -> None:
        for state in self._engines.states.values():
            state.is_loading = False
        self._loads.clear()
        self._probes.forget()
        self._followed.forget()

    def is_assigned(self, backend_id: BackendId, model: str) -> bool:
        """Whether an engine's weights of a model are kept new."""
        return self._followed.is_assigned(backend_id, model)

    def tick(self, now: float) -> list[Effect]:
        """Start and continue loads; call it only while this process may act as leader."""
        if not self._is_holder:
            return []
        self._drop_finished()
        effects = self._followed.update(now)
        effects.extend(self._probes.tick(now))
        for service in self._follower.routes.services.values():
            for model in service.models:
                effects.extend(self._begin_loads(service.name, model, now))
        for load in list(self._loads.values()):
            if load.call_id is None:
                effects.extend(self._go_on(load, now))
        return effects

    def _go_on(self, load: _Load, now: float) -> list[Effect]:
        """Give an order that waits for a grant, or ask for a report if that is due."""
        state = self._engines.states[load.backend_id]
        if load.order_until >= now:
            return self._give_order(load, state, now)
        if load.next_at <= now and self._calls.may_send(state, now, REPORT_AND_ORDER):
            return [self._start_call(load, state, "report", self._interface.report_call())]
        return []

    def _drop_finished(self) -> None:
        for backend_id, load in list(self._loads.items()):
            if self._is_gone(backend_id):
                self._end_load(load)

    def _is_gone(self, backend_id: BackendId) -> bool:
        """Whether an engine is to be asked or ordered nothing any more."""
        state = self._engines.states.get(backend_id)
        return state is None or state.backend.is_draining

    def _begin_loads(self, service: str, model: str, now: float) -> list[Effect]:
        """Begin loads at engines that are behind the named version of a model."""
        target = self._follower.weights.get(model, 0)
        engines = self._engines.of_service(service)
        loading = sum(1 for state in engines if state.backend.backend_id in self._loads)
        effects: list[Effect] = []
        for state in engines_to_load(
            engines,
            loading,
            lambda state: self._is_behind(state, model, target, now),
            PARALLEL_SHARE,
        ):
            backend_id = state.backend.backend_id
            self._loads[backend_id] = _Load(backend_id, model, target)
            fields = {"backend": backend_id, "model": model, "version": target}
            effects.append(LogEvent("weights.load_begins", fields))
        return effects

    def _is_behind(self, state: EngineState, model: str, target: int, now: float) -> bool:
        """Whether an engine is to load a version and may begin now."""
        backend = state.backend
        is_busy = (
            backend.backend_id in self._loads
            or state.backoff_until > now
            or self._turns.seconds_until_free(backend.backend_id, now) > 0.0
        )
        is_free = not is_busy and not backend.is_draining
        is_meant = self._followed.is_assigned(backend.backend_id, model)
        return is_free and is_meant and state.version_of(model) < target

    # Calls

    def _start_call(self, load: _Load, state: EngineState, kind: str, call: EngineCall) -> Effect:
        started = self._calls.start(kind, state, call)
        load.call_id = started.call_id
        return started

    def on_call(self, event: CallResponded | CallFailed, may_act: bool, now: float) -> list[Effect]:
        """A call with `CALL_PREFIX` ended."""
        if self._probes.handles(event.call_id):
            return self._probes.on_call(event)
        kind, _number, backend_id = event.call_id.removeprefix(CALL_PREFIX).split(":", 2)
        load = self._loads.get(BackendId(backend_id))
        if load is None or load.call_id != event.call_id:
            return []
        if self._is_gone(load.backend_id):
            self._end_load(load)
            return []
        load.call_id = None
        load.next_at = now + RETRY_SECONDS
        if isinstance(event, CallFailed):
            return self._on_silence(load, kind, now)
        if not may_act or not self._is_holder:
            return []
        if kind == "report":
            return self._on_report(load, event, now)
        return self._on_order_reply(load, event, now)

    def _on_silence(self, load: _Load, kind: str, now: float) -> list[Effect]:
        """An engine did not answer: its place is free for others until it is tried again.

        Only a report that is not answered counts as a failure: an order may be taken, or be carried
        out late, without an answer.
        """
        if kind == "report":
            self._engines.states[load.backend_id].record_failure(now)
            self._end_load(load)
        fields = {"backend": load.backend_id, "version": load.version, "call": kind}
        return [LogEvent("weights.no_answer", fields, "warning")]

    def _on_report(self, load: _Load, event: CallResponded, now: float) -> list[Effect]:
        if event.status != HTTPStatus.OK:
            return []
        read = self._interface.read_report(event.body)
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
        if report.is_ordered:
            load.next_at = now + POLL_SECONDS
            return []
        return self._prepare_order(load, report, now)

    def _prepare_order(self, load: _Load, report: EngineReport, now: float) -> list[Effect]:
        """Have the order noted: a later leader must know when this one gave its last."""
        wait_seconds = self._turns.seconds_until_free(load.backend_id, now)
        if wait_seconds > 0.0:
            load.next_at = now + wait_seconds
            return []
        load.sequence = report.sequence
        load.noted_since = now
        effects = self._turns.propose_order(load.backend_id, now)
        if effects is None:
            load.noted_since = None
            return []
        load.next_at = now + INTENT_TIMEOUT_SECONDS + RETRY_SECONDS
        return effects

    def on_order_committed(self, backend_id: BackendId, may_act: bool, now: float) -> list[Effect]:
        """The note of an order is committed: give it, unless too much time has passed."""
        load = self._loads.get(backend_id)
        state = self._engines.states.get(backend_id)
        if load is None or state is None or load.noted_since is None:
            return []
        if state.backend.is_draining:
            self._end_load(load)
            return []
        left = load.noted_since + INTENT_TIMEOUT_SECONDS - now
        load.noted_since = None
        if not (left >= 0.0 and may_act and self._is_holder) or load.call_id is not None:
            return []
        load.order_until = now + left
        return self._give_order(load, state, now)

    def _give_order(self, load: _Load, state: EngineState, now: float) -> list[Effect]:
        """Give a noted order, unless it waits for a grant."""
        if not self._calls.may_send(state, now):
            return []
        load.order_until = float("-inf")
        return [self._order(load, state)]

    def _order(self, load: _Load, state: EngineState) -> Effect:
        state.is_loading = True
        order = WeightOrder(
            model=load.model,
            version=load.version,
            mode=load_mode(load.model, self._follower.routes),
            holder=self._turns.holder,
            fence=self._fence,
            expected_sequence=load.sequence,
        )
        return self._start_call(load, state, "order", self._interface.order_call(order))

    def _on_order_reply(self, load: _Load, event: CallResponded, now: float) -> list[Effect]:
        reply = self._interface.read_order_reply(event.status)
        state = self._engines.states[load.backend_id]
        fields = {
            "backend": load.backend_id,
            "model": load.model,
            "version": load.version,
            "fence": self._fence,
            "reply": reply.value,
        }
        if reply is OrderReply.UNDER_WAY:
            load.next_at = now + FIRST_POLL_SECONDS
        elif reply is OrderReply.HOLDS_ALREADY:
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
