"""The engines as one turn of scheduling sees them: looked at once, not once for each item."""

import math
from collections.abc import Callable

from merlinstand.batch_jobs.engines import EngineState, EngineStates, typical_event_seconds
from merlinstand.batch_jobs.schedule import LEAST_MOVE_RATIO, ItemDemand, choose_engine
from merlinstand.cold_servers.follower import ColdBudget
from merlinstand.common.ids import BackendId


class SchedulingTurn:
    """Free engines by service, for as long as one event is handled; made by the item runner."""

    def __init__(
        self,
        engines: EngineStates,
        follows: Callable[[BackendId, str], bool],
        cold: ColdBudget,
        now: float,
    ) -> None:
        """Look at all engines.

        Args:
            engines: All engines.
            follows: Whether an engine is there for a model in the first place.
            cold: Tells which engines are cold, and what may be sent there.
            now: Local time.
        """
        self._follows = follows
        self._cold = cold
        self._now = now
        self._all: dict[str, list[EngineState]] = {}
        self._open: dict[str, list[EngineState]] = {}
        self._granted: dict[str, list[EngineState]] = {}
        """Cold engines to which runs may be sent now."""
        self.closed: list[EngineState] = []
        """Cold engines with free slots to which nothing may be sent now."""
        self._typical: dict[str, float] = {}
        self._fruitless: set[tuple[object, ...]] = set()
        """Service, model, oldest version, zones and whether cold engines will do, where none was
        found."""
        for state in engines.states.values():
            service = state.backend.service
            self._all.setdefault(service, []).append(state)
            if state.is_usable(now) and state.free_slots > 0:
                self._sort_in(state)

    def _sort_in(self, state: EngineState) -> None:
        service = state.backend.service
        if not self._cold.is_cold(state.backend):
            self._open.setdefault(service, []).append(state)
        elif self._cold.is_open(state.backend, self._now):
            self._granted.setdefault(service, []).append(state)
        else:
            self.closed.append(state)

    @property
    def has_open_engines(self) -> bool:
        """Whether any run could begin anywhere."""
        return any(self._open.values()) or any(self._granted.values())

    def typical_event_seconds(self, service: str) -> float:
        """Median time of one event over a service's engines."""
        typical = self._typical.get(service)
        if typical is None:
            typical = typical_event_seconds(self._all.get(service, ()), self._now)
            self._typical[service] = typical
        return typical

    def choose(
        self, service: str, demand: ItemDemand, may_be_cold: bool = True
    ) -> EngineState | None:
        """Choose an engine with a free slot whose weights are new enough; see `choose_engine`.

        Args:
            service: Of the item.
            demand: What the item needs.
            may_be_cold: Whether a cold engine will do where no warm one is free.
        """
        zones = demand.allowed_zones
        wish = (service, demand.model, demand.minimum_version, zones, may_be_cold)
        if wish in self._fruitless:
            return None
        chosen = self._choose_among(self._open.get(service), service, demand)
        if chosen is None and may_be_cold:
            chosen = self._choose_among(self._granted.get(service), service, demand)
        if chosen is None:
            self._fruitless.add(wish)
        return chosen

    def _choose_among(
        self, engines: list[EngineState] | None, service: str, demand: ItemDemand
    ) -> EngineState | None:
        if not engines:
            return None
        typical = self.typical_event_seconds(service)
        return choose_engine(engines, demand, self._follows, self._now, typical)

    def slow_engines(self) -> list[EngineState]:
        """Engines whose runs may be better off elsewhere: slower than an open one."""
        slow: list[EngineState] = []
        for service, open_engines in self._open.items():
            typical = self.typical_event_seconds(service)
            fastest = min(
                (state.speed(typical, self._now) for state in open_engines), default=math.inf
            )
            slow.extend(
                state
                for state in self._all[service]
                if state.running
                and state.has_fresh_speed(self._now)
                and state.event_seconds >= LEAST_MOVE_RATIO * fastest
            )
        return slow

    def note_begun(self, state: EngineState) -> None:
        """A run began: an engine that is full now, or may be sent no more, is offered no more."""
        backend = state.backend
        is_cold = self._cold.is_cold(backend)
        self._cold.note_sent(backend, self._now)
        offered = (self._granted if is_cold else self._open)[backend.service]
        if state.free_slots <= 0:
            offered.remove(state)
        elif not self._cold.is_open(backend, self._now):
            offered.remove(state)
            self.closed.append(state)
