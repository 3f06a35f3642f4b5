"""Asks engines that failed several times in a row whether they work again.

Part of the leading keeper's weight loader. Owns the probes that are under way. No run begins at
such an engine for seconds, so without a probe nobody would notice that it is back.
"""

from http import HTTPStatus

from merlinstand.batch_jobs.engine_interface import EngineInterface
from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.weight_calls import WeightCalls
from merlinstand.common.ids import BackendId, CallId
from merlinstand.kernel.effects import Effect, LogEvent
from merlinstand.kernel.events import CallFailed, CallResponded

PROBE_SECONDS = 1.0
"""Seconds between two probes of one engine. Chosen, not measured."""


class EngineProbes:
    """Probes of one leadership."""

    def __init__(
        self, engines: EngineStates, interface: EngineInterface, calls: WeightCalls
    ) -> None:
        """Begin without probes.

        Args:
            engines: All engines.
            interface: Translates requests for reports.
            calls: Makes the calls.
        """
        self._engines = engines
        self._interface = interface
        self._calls = calls
        self._under_way: dict[CallId, BackendId] = {}
        self._next_at: dict[BackendId, float] = {}

    def clear(self) -> None:
        """A leadership begins or is over."""
        self._under_way.clear()
        self._next_at.clear()

    def tick(self, now: float) -> list[Effect]:
        """Begin the probes that are due."""
        effects: list[Effect] = []
        for backend_id, state in self._engines.states.items():
            is_due = now >= self._next_at.get(backend_id, 0.0)
            if not (state.is_suspect and is_due) or state.backend.is_draining:
                continue
            if not self._calls.try_reserve_send(state, now):
                continue
            self._next_at[backend_id] = now + PROBE_SECONDS
            call = self._calls.start("probe", state, self._interface.make_report_call())
            self._under_way[call.call_id] = backend_id
            effects.append(call)
        return effects

    def handles(self, call_id: CallId) -> bool:
        """Whether a call is a probe that is under way."""
        return call_id in self._under_way

    def on_call(self, event: CallResponded | CallFailed) -> list[Effect]:
        """A probe ended: any report shows that the engine works."""
        backend_id = self._under_way.pop(event.call_id)
        state = self._engines.states.get(backend_id)
        if state is None or isinstance(event, CallFailed) or event.status != HTTPStatus.OK:
            return []
        state.record_success()
        return [LogEvent("engine.works_again", {"backend": backend_id})]
