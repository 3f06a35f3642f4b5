"""Brings every engine to the newest named weight version by fenced orders, a few at a time."""

from collections.abc import Callable

import msgspec
from result import Err

from merlinstand.batch_jobs.engine_assignment import (
    Assignment,
    apparent_assignment,
    assign_engines,
)
from merlinstand.batch_jobs.engine_interface import (
    EngineCall,
    EngineInterface,
    EngineReport,
    LoadMode,
    OrderReply,
    WeightOrder,
)
from merlinstand.batch_jobs.engines import EngineState, EngineStates
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.routes import RouteKind
from merlinstand.common.ids import BackendId, CallId
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.fenced_calls.turns import NOTE_SECONDS
from merlinstand.kernel.effects import Effect, LogEvent, StartCall
from merlinstand.kernel.events import CallFailed, CallResponded

CALL_PREFIX = "weights:"
PARALLEL_SHARE = 0.4
"""Share of a service's engines that may load at once; those that leave don't count."""
CALL_TIMEOUT_SECONDS = 1.0
REPORT_AND_ORDER = 2
"""Sends wished for a cold engine that is asked: an order follows the report within a moment."""
POLL_SECONDS = 0.25
FIRST_POLL_SECONDS = 0.9
"""A load takes about this long at least."""
RETRY_SECONDS = 0.5
ASSIGNMENT_SECONDS = 10.0
"""The engines are shared out anew this often, as demand changes."""
PROBE_SECONDS = 1.0
SUCCESS_STATUS = 200


class _Load(msgspec.Struct):
    """One engine on its way to a version."""

    backend_id: BackendId
    model: str
    version: int
    next_at: float = 0.0
    sequence: int = 0
    """Orders that the engine had taken when it was asked."""
    noted_since: float | None = None
    """When the note of the next order was proposed; None if none is."""
    order_until: float = float("-inf")
    """Until when an order that is noted may be given; it waits for a grant."""
    call_id: CallId | None = None


class WeightLoader:
    """Orders of one leadership; the owner ticks it while it may act."""

    def __init__(
        self,
        follower: DirectoryFollower,
        engines: EngineStates,
        interface: EngineInterface,
        names: HeaderNames,
        holder: str,
        demand_of: Callable[[str], float],
        free_in: Callable[[BackendId, float], float],
        note_order: Callable[[BackendId, float], list[Effect] | None],
    ) -> None:
        """Begin without orders.

        Args:
            follower: Tells the named versions and the services' models.
            engines: All engines.
            interface: Translates orders and reports.
            names: Header names.
            holder: This machine's name.
            demand_of: Work lately asked for of a model.
            free_in: Seconds until this holder may order an engine, whoever did before.
            note_order: Proposes to note an order, before it is given; `order_noted` follows.
                None if that can't be done now.
        """
        self._follower = follower
        self._engines = engines
        self._interface = interface
        self._names = names
        self._holder = holder
        self._demand_of = demand_of
        self._free_in = free_in
        self._note_order = note_order
        self._assignment: Assignment = {}
        self._assigned_for: tuple[object, ...] = ()
        self._assign_again_at = 0.0
        self._probes: dict[CallId, BackendId] = {}
        self._probe_at: dict[BackendId, float] = {}
        self._loads: dict[BackendId, _Load] = {}
        self._is_holder = False
        self._fence = 0
        self._calls = 0

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
        self._probes.clear()
        self._probe_at.clear()
        self._assigned_for = ()
        self._assignment = {}

    def follows(self, backend_id: BackendId, model: str) -> bool:
        """Whether an engine's weights of a model are kept new."""
        return model in self._assignment.get(backend_id, ())

    def _assign(self, now: float) -> None:
        """Share the engines out anew when some came or went, and now and then."""
        services = [s for s in self._follower.routes.services.values() if s.models]
        sound = {service.name: self._sound_engines(service.name) for service in services}
        basis = tuple((s.name, s.models, tuple(sound[s.name])) for s in services)
        if basis == self._assigned_for and now < self._assign_again_at:
            return
        self._assigned_for = basis
        self._assign_again_at = now + ASSIGNMENT_SECONDS
        held = self._assignment or self._apparent_assignment()
        assignment: Assignment = {}
        for service in services:
            demand = {model: self._demand_of(model) + 1.0 for model in service.models}
            assignment |= assign_engines(sound[service.name], demand, held)
        self._assignment = assignment

    def _sound_engines(self, service: str) -> list[BackendId]:
        """Engines that stay and work; the own region's first, so that all models get some."""
        sound = [
            state
            for state in self._engines.of_service(service)
            if not state.backend.is_leaving and not state.is_suspect
        ]
        sound.sort(key=lambda state: (state.is_remote, state.backend.backend_id))
        return [state.backend.backend_id for state in sound]

    def _apparent_assignment(self) -> Assignment:
        """What a leader before this one has decided, as far as the engines show it."""
        return apparent_assignment(
            {
                state.backend.backend_id: {
                    model: self._follower.weights.get(model, 1) - state.version_of(model)
                    for model in service.models
                }
                for service in self._follower.routes.services.values()
                for state in self._engines.of_service(service.name)
            }
        )

    def _probe_suspects(self, now: float) -> list[Effect]:
        """Ask engines that failed several times whether they work again."""
        effects: list[Effect] = []
        for backend_id, state in self._engines.states.items():
            is_due = now >= self._probe_at.get(backend_id, 0.0)
            if not (state.is_suspect and is_due) or state.backend.is_leaving:
                continue
            if not self._may_send(state, now):
                continue
            self._probe_at[backend_id] = now + PROBE_SECONDS
            self._calls += 1
            call_id = CallId(f"{CALL_PREFIX}probe:{self._calls}:{backend_id}")
            self._probes[call_id] = backend_id
            effects.append(self._call(call_id, state, self._interface.report_call()))
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Start and continue loads; call it only while this process may act as leader."""
        if not self._is_holder:
            return []
        self._drop_finished()
        self._assign(now)
        effects = self._probe_suspects(now)
        for service in self._follower.routes.services.values():
            for model in service.models:
                target = self._follower.weights.get(model, 0)
                effects.extend(self._start_loads(service.name, model, target, now))
        for load in list(self._loads.values()):
            if load.call_id is None:
                effects.extend(self._go_on(load, now))
        return effects

    def _go_on(self, load: _Load, now: float) -> list[Effect]:
        """Give an order that waits for a grant, or ask for a report if that is due."""
        state = self._engines.states[load.backend_id]
        if load.order_until >= now:
            return self._give_order(load, state, now)
        if load.next_at <= now and self._may_send(state, now, REPORT_AND_ORDER):
            return [self._ask_report(load)]
        return []

    def _may_send(self, state: EngineState, now: float, sends: int = 1) -> bool:
        """Whether a call may go to an engine now: a cold one bears only so many of any kind.

        Args:
            state: The engine.
            now: Local time.
            sends: Calls to wish if not: this one, and those that will follow it at once.
        """
        cold = self._follower.cold
        if not cold.is_open(state.backend, now):
            cold.request_grants(f"{CALL_PREFIX}{state.backend.backend_id}", sends, (state.backend,))
            return False
        cold.note_sent(state.backend, now)
        return True

    def _drop_finished(self) -> None:
        for backend_id, load in list(self._loads.items()):
            if self._is_gone(backend_id):
                self._end_load(load)

    def _is_gone(self, backend_id: BackendId) -> bool:
        """Whether an engine is to be asked or ordered nothing any more."""
        state = self._engines.states.get(backend_id)
        return state is None or state.backend.is_leaving

    def _start_loads(self, service: str, model: str, target: int, now: float) -> list[Effect]:
        engines = self._engines.of_service(service)
        staying = sum(1 for state in engines if not state.backend.is_leaving)
        limit = max(1, round(staying * PARALLEL_SHARE))
        loading = sum(1 for state in engines if state.backend.backend_id in self._loads)
        effects: list[Effect] = []
        behind = [state for state in engines if self._lacks(state, model, target, now)]
        behind.sort(key=lambda state: state.running)
        for state in behind[: max(0, limit - loading)]:
            backend_id = state.backend.backend_id
            self._loads[backend_id] = _Load(backend_id, model, target)
            fields = {"backend": backend_id, "model": model, "version": target}
            effects.append(LogEvent("weights.load_begins", fields))
        return effects

    def _lacks(self, state: EngineState, model: str, target: int, now: float) -> bool:
        backend = state.backend
        is_busy = (
            backend.backend_id in self._loads
            or state.avoid_until > now
            or self._free_in(backend.backend_id, now) > 0.0
        )
        is_free = not is_busy and not backend.is_leaving
        is_meant = self.follows(backend.backend_id, model)
        return is_free and is_meant and state.version_of(model) < target

    # Calls

    def _start_call(self, load: _Load, call: EngineCall, kind: str) -> Effect:
        state = self._engines.states[load.backend_id]
        self._calls += 1
        load.call_id = CallId(f"{CALL_PREFIX}{kind}:{self._calls}:{load.backend_id}")
        return self._call(load.call_id, state, call)

    def _call(self, call_id: CallId, state: EngineState, call: EngineCall) -> Effect:
        backend = state.backend
        return StartCall(
            call_id=call_id,
            address=backend.address,
            method=call.method,
            path=call.path,
            headers={**call.headers, self._names.expected_backend: backend.backend_id},
            body=call.body,
            timeout_seconds=CALL_TIMEOUT_SECONDS,
        )

    def _ask_report(self, load: _Load) -> Effect:
        return self._start_call(load, self._interface.report_call(), "report")

    def on_call(self, event: CallResponded | CallFailed, may_act: bool, now: float) -> list[Effect]:
        """A call with `CALL_PREFIX` ended."""
        if event.call_id in self._probes:
            return self._on_probe(event)
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

        Only the report tells: an order may be taken, or be carried out late, without an answer.
        """
        if kind == "report":
            self._engines.states[load.backend_id].note_failure(now)
            self._end_load(load)
        fields = {"backend": load.backend_id, "version": load.version, "call": kind}
        return [LogEvent("weights.no_answer", fields, "warning")]

    def _on_probe(self, event: CallResponded | CallFailed) -> list[Effect]:
        backend_id = self._probes.pop(event.call_id)
        state = self._engines.states.get(backend_id)
        if state is None or isinstance(event, CallFailed) or event.status != SUCCESS_STATUS:
            return []
        state.note_success()
        return [LogEvent("engine.works_again", {"backend": backend_id})]

    def _on_report(self, load: _Load, event: CallResponded, now: float) -> list[Effect]:
        if event.status != SUCCESS_STATUS:
            return []
        read = self._interface.read_report(event.body)
        if isinstance(read, Err):
            return [LogEvent("weights.bad_report", {"backend": load.backend_id}, "warning")]
        report = read.ok_value
        state = self._engines.states[load.backend_id]
        state.note_version(load.model, report.versions.get(load.model, 0))
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
        wait_seconds = self._free_in(load.backend_id, now)
        if wait_seconds > 0.0:
            load.next_at = now + wait_seconds
            return []
        load.sequence = report.sequence
        load.noted_since = now
        effects = self._note_order(load.backend_id, now)
        if effects is None:
            load.noted_since = None
            return []
        load.next_at = now + NOTE_SECONDS + RETRY_SECONDS
        return effects

    def order_noted(self, backend_id: BackendId, may_act: bool, now: float) -> list[Effect]:
        """The note of an order is committed: give it, unless too much time has passed."""
        load = self._loads.get(backend_id)
        state = self._engines.states.get(backend_id)
        if load is None or state is None or load.noted_since is None:
            return []
        if state.backend.is_leaving:
            self._end_load(load)
            return []
        left = load.noted_since + NOTE_SECONDS - now
        load.noted_since = None
        if not (left >= 0.0 and may_act and self._is_holder) or load.call_id is not None:
            return []
        load.order_until = now + left
        return self._give_order(load, state, now)

    def _give_order(self, load: _Load, state: EngineState, now: float) -> list[Effect]:
        """Give a noted order, unless it waits for a grant."""
        if not self._may_send(state, now):
            return []
        load.order_until = float("-inf")
        return [self._order(load, state)]

    def _order(self, load: _Load, state: EngineState) -> Effect:
        state.is_loading = True
        order = WeightOrder(
            model=load.model,
            version=load.version,
            mode=self._mode(load.model),
            holder=self._holder,
            fence=self._fence,
            expected_sequence=load.sequence,
        )
        return self._start_call(load, self._interface.order_call(order), "order")

    def _mode(self, model: str) -> LoadMode:
        """Runs go on under new weights unless a route wants one version a text."""
        services = {s.name for s in self._follower.routes.services.values() if model in s.models}
        for route in self._follower.routes.document.routes:
            is_strict = route.kind is RouteKind.BATCH and route.single_version
            if is_strict and any(target.service in services for target in route.targets):
                return LoadMode.LET_END
        return LoadMode.GO_ON

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
            state.note_version(load.model, load.version)
            self._end_load(load)
        else:
            state.is_loading = False
        return [LogEvent("weights.ordered", fields)]

    def _end_load(self, load: _Load) -> None:
        self._loads.pop(load.backend_id, None)
        state = self._engines.states.get(load.backend_id)
        if state is not None:
            state.is_loading = False
