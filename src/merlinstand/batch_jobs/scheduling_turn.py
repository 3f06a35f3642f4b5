"""The engines as one turn of scheduling sees them: looked at once, not once for each item."""

import math
from collections.abc import Callable

from merlinstand.batch_jobs.engines import EngineState, EngineStates, typical_event_seconds
from merlinstand.batch_jobs.schedule import LEAST_MOVE_RATIO, ItemDemand, choose_engine
from merlinstand.common.ids import BackendId


class SchedulingTurn:
    """Free engines by service, for as long as one event is handled; made by the item runner."""

    def __init__(
        self, engines: EngineStates, follows: Callable[[BackendId, str], bool], now: float
    ) -> None:
        """Look at all engines.

        Args:
            engines: All engines.
            follows: Whether an engine is there for a model in the first place.
            now: Local time.
        """
        self._follows = follows
        self._now = now
        self._all: dict[str, list[EngineState]] = {}
        self._open: dict[str, list[EngineState]] = {}
        self._typical: dict[str, float] = {}
        self._fruitless: set[tuple[object, ...]] = set()
        """Service, model, oldest version and zones for which no engine was found."""
        for state in engines.states.values():
            service = state.backend.service
            self._all.setdefault(service, []).append(state)
            if state.is_usable(now) and state.free_slots > 0:
                self._open.setdefault(service, []).append(state)

    @property
    def has_open_engines(self) -> bool:
        """Whether any run could begin anywhere."""
        return any(self._open.values())

    def typical_event_seconds(self, service: str) -> float:
        """Median time of one event over a service's engines."""
        typical = self._typical.get(service)
        if typical is None:
            typical = typical_event_seconds(self._all.get(service, ()), self._now)
            self._typical[service] = typical
        return typical

    def choose(self, service: str, demand: ItemDemand) -> EngineState | None:
        """Choose an engine with a free slot whose weights are new enough; see `choose_engine`."""
        wish = (service, demand.model, demand.minimum_version, demand.allowed_zones)
        open_engines = self._open.get(service)
        if not open_engines or wish in self._fruitless:
            return None
        typical = self.typical_event_seconds(service)
        chosen = choose_engine(open_engines, demand, self._follows, self._now, typical)
        if chosen is None:
            self._fruitless.add(wish)
        return chosen

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
        """A run began: an engine that is full now is offered no more."""
        if state.free_slots <= 0:
            self._open[state.backend.service].remove(state)
