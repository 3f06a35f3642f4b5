"""Health probes of engines that failed several times in a row.

Used by the leading keeper's weight loader. Such an engine gets no runs for several seconds; probes
detect its recovery sooner.
"""

from http import HTTPStatus

from merlinstand.batch_jobs.engine_interface import EngineInterface
from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.weight_calls import WeightCalls
from merlinstand.common.ids import BackendId, CallId
from merlinstand.kernel.effects import Effect, LogEvent
from merlinstand.kernel.events import CallFailed, CallResponded

PROBE_INTERVAL_SECONDS = 1.0
"""Time between two probes of an engine."""


class EngineProbes:
    """Probes of one leadership term."""

    def __init__(
        self, engines: EngineStates, interface: EngineInterface, calls: WeightCalls
    ) -> None:
        """Create without probes; `tick` starts them.

        Args:
            engines: All engines.
            interface: Builds the requests for state reports.
            calls: Creates the calls.
        """
        self._engines = engines
        self._interface = interface
        self._calls = calls
        self._in_flight: dict[CallId, BackendId] = {}
        self._next_at: dict[BackendId, float] = {}

    def clear(self) -> None:
        """Remove all probes, when a leadership term starts or ends."""
        self._in_flight.clear()
        self._next_at.clear()

    def tick(self, now: float) -> list[Effect]:
        """Start the probes that are due."""
        effects: list[Effect] = []
        for backend_id, state in self._engines.states.items():
            is_due = now >= self._next_at.get(backend_id, 0.0)
            if not (state.is_suspect and is_due) or state.backend.is_draining:
                continue
            if not self._calls.try_reserve_send(state, now):
                continue
            self._next_at[backend_id] = now + PROBE_INTERVAL_SECONDS
            call = self._calls.make_call("probe", state, self._interface.make_report_call())
            self._in_flight[call.call_id] = backend_id
            effects.append(call)
        return effects

    def handles(self, call_id: CallId) -> bool:
        """Return whether a call is a probe in progress."""
        return call_id in self._in_flight

    def on_call(self, event: CallResponded | CallFailed) -> list[Effect]:
        """Process the end of a probe; any report shows that the engine works again."""
        backend_id = self._in_flight.pop(event.call_id)
        state = self._engines.states.get(backend_id)
        if state is None or isinstance(event, CallFailed) or event.status != HTTPStatus.OK:
            return []
        state.record_success()
        return [LogEvent("engine.works_again", {"backend": backend_id})]
