"""The engines that are available during one scheduling pass.

Engines are classified once per pass, not once per item. The leading keeper's runner creates one
`SchedulingPass` per event. After it starts a run, the runner must first count the run in
`EngineState.running`, then call `SchedulingPass.record_start`.
"""

from collections.abc import Callable

from merlinstand.batch_jobs.engines import EngineState, EngineStates, median_event_seconds
from merlinstand.batch_jobs.placement import ItemRequirements, choose_engine
from merlinstand.cold_servers.follower import ColdBackendBudget
from merlinstand.common.ids import BackendId


class SchedulingPass:
    """Available engines by service, valid while one event is handled."""

    def __init__(
        self,
        engines: EngineStates,
        is_assigned: Callable[[BackendId, str], bool],
        cold: ColdBackendBudget,
        now: float,
    ) -> None:
        """Classify all engines.

        Args:
            engines: All engines.
            is_assigned: Whether an engine is assigned a model, and so keeps its weights current.
            cold: Knows which engines are cold, and how many attempts are granted at each of them.
            now: Local time in seconds.
        """
        self._is_assigned = is_assigned
        self._cold = cold
        self._now = now
        self.engines_by_service: dict[str, list[EngineState]] = {}
        self.warm_by_service: dict[str, list[EngineState]] = {}
        """Warm engines with free slots."""
        self._granted_by_service: dict[str, list[EngineState]] = {}
        """Cold engines with free slots and granted attempts."""
        self.ungranted: list[EngineState] = []
        """Cold engines with free slots, but without granted attempts."""
        self._median_event_seconds: dict[str, float] = {}
        self._unsatisfiable: set[tuple[object, ...]] = set()
        """Requests for which no engine was found: service, model, minimum version, zones and
        `allow_cold`."""
        for state in engines.states.values():
            service = state.backend.service
            self.engines_by_service.setdefault(service, []).append(state)
            if state.is_usable(now) and state.free_slots > 0:
                self._classify(state)

    def _classify(self, state: EngineState) -> None:
        service = state.backend.service
        if not self._cold.is_cold(state.backend):
            self.warm_by_service.setdefault(service, []).append(state)
        elif self._cold.may_send_to(state.backend, self._now):
            self._granted_by_service.setdefault(service, []).append(state)
        else:
            self.ungranted.append(state)

    @property
    def has_available_engines(self) -> bool:
        """Whether any engine can accept a run."""
        return any(self.warm_by_service.values()) or any(self._granted_by_service.values())

    def median_event_seconds(self, service: str) -> float:
        """Return the median time per event over a service's engines."""
        median_seconds = self._median_event_seconds.get(service)
        if median_seconds is None:
            median_seconds = median_event_seconds(
                self.engines_by_service.get(service, ()), self._now
            )
            self._median_event_seconds[service] = median_seconds
        return median_seconds

    def choose_engine(
        self, service: str, requirements: ItemRequirements, allow_cold: bool = True
    ) -> EngineState | None:
        """Choose an engine with a free slot whose weights are recent enough; None if there is none.

        Warm engines are preferred to cold ones; see `placement.choose_engine`.

        Args:
            service: The item's service.
            requirements: What the item requires of an engine.
            allow_cold: Whether a cold engine may be chosen if no warm one is available.
        """
        zones = requirements.allowed_zones
        request = (service, requirements.model, requirements.minimum_version, zones, allow_cold)
        if request in self._unsatisfiable:
            return None
        chosen = self._choose_among(self.warm_by_service.get(service), service, requirements)
        if chosen is None and allow_cold:
            chosen = self._choose_among(
                self._granted_by_service.get(service), service, requirements
            )
        if chosen is None:
            self._unsatisfiable.add(request)
        return chosen

    def _choose_among(
        self, engines: list[EngineState] | None, service: str, requirements: ItemRequirements
    ) -> EngineState | None:
        if not engines:
            return None
        median_seconds = self.median_event_seconds(service)
        return choose_engine(engines, requirements, self._is_assigned, self._now, median_seconds)

    def record_start(self, state: EngineState) -> None:
        """Record a started run; drops an engine that is now full or has no grants left."""
        backend = state.backend
        is_cold = self._cold.is_cold(backend)
        self._cold.record_send(backend, self._now)
        candidates = (self._granted_by_service if is_cold else self.warm_by_service)[
            backend.service
        ]
        if state.free_slots <= 0:
            candidates.remove(state)
        elif not self._cold.may_send_to(backend, self._now):
            candidates.remove(state)
            self.ungranted.append(state)
