"""The engines as one turn of scheduling sees them: looked at once, not once for each item.

Made by the leading keeper's runner for one event, used by `placement` and `run_moves`, and dropped.
Owns which engines are still free within the turn; relies on the runner to count runs in their
states and to report each run that begins.
"""

from collections.abc import Callable

from merlinstand.batch_jobs.engines import EngineState, EngineStates, median_event_seconds
from merlinstand.batch_jobs.placement import ItemRequirements, choose_engine
from merlinstand.cold_servers.follower import ColdBackendBudget
from merlinstand.common.ids import BackendId


class SchedulingPass:
    """Free engines by service, for as long as one event is handled; made by the item runner."""

    def __init__(
        self,
        engines: EngineStates,
        follows: Callable[[BackendId, str], bool],
        cold: ColdBackendBudget,
        now: float,
    ) -> None:
        """Look at all engines.

        Args:
            engines: All engines.
            follows: Whether an engine is there for a model in the first place.
            cold: Knows which engines are cold, and what may be sent there.
            now: Local time.
        """
        self._follows = follows
        self._cold = cold
        self._now = now
        self.engines_by_service: dict[str, list[EngineState]] = {}
        self.open_by_service: dict[str, list[EngineState]] = {}
        """Warm engines with free slots."""
        self._granted_by_service: dict[str, list[EngineState]] = {}
        """Cold engines to which runs may be sent now."""
        self.ungranted: list[EngineState] = []
        """Cold engines with free slots to which nothing may be sent now."""
        self._typical: dict[str, float] = {}
        self._fruitless: set[tuple[object, ...]] = set()
        """Service, model, oldest version, zones and whether cold engines will do, where none was
        found."""
        for state in engines.states.values():
            service = state.backend.service
            self.engines_by_service.setdefault(service, []).append(state)
            if state.is_usable(now) and state.free_slots > 0:
                self._sort_in(state)

    def _sort_in(self, state: EngineState) -> None:
        service = state.backend.service
        if not self._cold.is_cold(state.backend):
            self.open_by_service.setdefault(service, []).append(state)
        elif self._cold.may_send_to(state.backend, self._now):
            self._granted_by_service.setdefault(service, []).append(state)
        else:
            self.ungranted.append(state)

    @property
    def has_available_engines(self) -> bool:
        """Whether any run could begin anywhere."""
        return any(self.open_by_service.values()) or any(self._granted_by_service.values())

    def typical_event_seconds(self, service: str) -> float:
        """Median time of one event over a service's engines."""
        typical = self._typical.get(service)
        if typical is None:
            typical = median_event_seconds(self.engines_by_service.get(service, ()), self._now)
            self._typical[service] = typical
        return typical

    def choose_engine(
        self, service: str, demand: ItemRequirements, allow_cold: bool = True
    ) -> EngineState | None:
        """Choose an engine with a free slot whose weights are new enough; see `choose_engine`.

        Args:
            service: Of the item.
            demand: What the item needs.
            may_be_cold: Whether a cold engine will do where no warm one is free.
        """
        zones = demand.allowed_zones
        request = (service, demand.model, demand.minimum_version, zones, allow_cold)
        if request in self._fruitless:
            return None
        chosen = self._choose_among(self.open_by_service.get(service), service, demand)
        if chosen is None and allow_cold:
            chosen = self._choose_among(self._granted_by_service.get(service), service, demand)
        if chosen is None:
            self._fruitless.add(request)
        return chosen

    def _choose_among(
        self, engines: list[EngineState] | None, service: str, demand: ItemRequirements
    ) -> EngineState | None:
        if not engines:
            return None
        typical = self.typical_event_seconds(service)
        return choose_engine(engines, demand, self._follows, self._now, typical)

    def record_start(self, state: EngineState) -> None:
        """A run began: an engine that is full now, or may be sent no more, is offered no more."""
        backend = state.backend
        is_cold = self._cold.is_cold(backend)
        self._cold.record_send(backend, self._now)
        offered = (self._granted_by_service if is_cold else self.open_by_service)[backend.service]
        if state.free_slots <= 0:
            offered.remove(state)
        elif not self._cold.may_send_to(backend, self._now):
            offered.remove(state)
            self.ungranted.append(state)
