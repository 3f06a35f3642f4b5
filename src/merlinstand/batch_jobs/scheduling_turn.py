"""The engines as one turn of scheduling sees them: looked at once, not once for each item."""

from collections.abc import Callable

from merlinstand.batch_jobs.engines import EngineState, EngineStates, typical_event_seconds
from merlinstand.batch_jobs.schedule import choose_engine
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
        self._fruitless: set[tuple[str, str, int]] = set()
        """Service, model and oldest version for which no engine was found."""
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

    def choose(
        self, service: str, model: str, minimum_version: int, preferred: BackendId | None
    ) -> EngineState | None:
        """Choose an engine with a free slot whose weights are new enough; see `choose_engine`."""
        wish = (service, model, minimum_version)
        open_engines = self._open.get(service)
        if not open_engines or wish in self._fruitless:
            return None
        chosen = choose_engine(
            open_engines,
            model,
            minimum_version,
            preferred,
            self._follows,
            self._now,
            self.typical_event_seconds(service),
        )
        if chosen is None:
            self._fruitless.add(wish)
        return chosen

    def note_begun(self, state: EngineState) -> None:
        """A run began: an engine that is full now is offered no more."""
        if state.free_slots <= 0:
            self._open[state.backend.service].remove(state)
