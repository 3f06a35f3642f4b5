"""Engines as the leading keeper sees them: free slots, weight versions, own evidence.

Every keeper follows the directory's engines; what runs and calls show of them, only the leading one
learns. Owns the state of each engine. Who changes what: `item_calls` the counts of runs,
`item_streams` speeds and failures, `weight_loader` versions and `is_loading`.
"""

from collections.abc import Iterable

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.places import ZoneMap
from merlinstand.common.ids import BackendId
from merlinstand.common.median import median
from merlinstand.common.recent_minimum import RecentMinimum
from merlinstand.decisions.distance import Distance, ProcessLocation
from merlinstand.directory.follower import DirectoryFollower

DEFAULT_SLOTS = 4
"""Slots assumed of an engine that does not report any. Chosen, not measured."""
FIRST_EVENT_SECONDS = 0.03
"""Seconds assumed of one event while nothing is known of any engine. Chosen, not measured; the
first events take its place."""
SPEED_FRESH_SECONDS = 5.0
"""A measure of an engine's speed that is older than this many seconds gives way to its best: it may
have recovered. Chosen, not measured."""
EVENT_TIME_WEIGHT = 0.1
"""Weight of the newest event in the moving average, from 0 to 1. Chosen, not measured."""
STEADY_SECONDS = 10.0
"""An engine's steady speed is its best within about this many seconds: long enough that pauses of
the machine don't count, short enough that one that has become slow is seen as slow."""
LASTING_SECONDS = 1.0
"""An engine's slowness lasts if its best within about this many seconds shows it; a shorter one is
over before a run would gain by leaving."""
BUSY_SLOWDOWN = 0.2
"""An engine's events are expected to take this share longer when all of its slots are busy, beyond
what its measured speed shows already; so it only orders engines of equal speed. Chosen, not
measured."""
SUSPECT_PENALTY_SECONDS = 1.0
"""An engine with a penalty of this many seconds failed several times in a row: the third failure
brings 1.2 s. Chosen, not measured."""
FIRST_PENALTY_SECONDS = 0.3
"""Seconds for which an engine that failed begins no run; doubled with each failure that follows
without a whole text between. Chosen, not measured."""
LONGEST_PENALTY_SECONDS = 4.0
"""Longest such time in seconds. Chosen, not measured."""


class EngineState(msgspec.Struct):
    """One engine."""

    backend: Backend
    running: int = 0
    """Runs that this keeper has there."""
    suspect_runs: int = 0
    """Runs among them under whose items engines have crashed before."""
    is_loading: bool = False
    """Whether it loads weights, and so begins no run."""
    versions: dict[str, int] = msgspec.field(default_factory=dict)
    """Newest weight version seen, by model."""
    backoff_until: float = 0.0
    """Local time until which no run begins there: it failed, or refused a run."""
    backoff_seconds: float = 0.0
    """How long its last failure had it avoided; 0 once it worked again."""
    event_seconds: float = 0.0
    """Moving average of the time between two events of one run; 0 if none was seen."""
    measured_at: float = 0.0
    """When it was last measured."""
    best_event_seconds: float = 0.0
    """Lowest that the average ever was: what the engine can do; 0 if none was seen."""
    steady: RecentMinimum = msgspec.field(default_factory=lambda: RecentMinimum(STEADY_SECONDS))
    """The average at its best within some seconds, whatever disturbs the machine."""
    lasting: RecentMinimum = msgspec.field(default_factory=lambda: RecentMinimum(LASTING_SECONDS))
    """The average at its best within a second or two: a slowness that has lasted shows in it."""
    first_event_seconds: float = 0.0
    """Moving average of the time from a run's begin to its first event; 0 if none was seen."""
    is_remote: bool = False
    """Whether it stands in another region than this keeper."""

    def record_event_time(self, seconds: float, now: float) -> None:
        """Take in how long one event took; pauses for a load of weights don't count."""
        if self.is_loading:
            return
        if self.has_fresh_speed(now):
            self.event_seconds += EVENT_TIME_WEIGHT * (seconds - self.event_seconds)
        else:
            self.event_seconds = seconds
        self.measured_at = now
        best = self.best_event_seconds
        self.best_event_seconds = min(best, self.event_seconds) if best else self.event_seconds
        self.steady.record(self.event_seconds, now)
        self.lasting.record(self.event_seconds, now)

    def record_first_event(self, seconds: float) -> None:
        """Take in how long a run's first event took: its prompt was read before."""
        if self.is_loading:
            return
        known = self.first_event_seconds or seconds
        self.first_event_seconds = known + EVENT_TIME_WEIGHT * (seconds - known)

    def has_fresh_speed(self, now: float) -> bool:
        """Whether its speed was measured lately."""
        return self.event_seconds > 0.0 and now - self.measured_at < SPEED_FRESH_SECONDS

    def event_cost(self, typical_seconds: float, now: float) -> float:
        """Seconds of one event if one more run begins here: slow and busy engines come last."""
        busy_share = self.running / self.slots
        return self.speed(typical_seconds, now) * (1.0 + BUSY_SLOWDOWN * busy_share)

    def speed(self, typical_seconds: float, now: float) -> float:
        """Seconds of one event: as measured lately, else the best ever, else the typical time."""
        if self.has_fresh_speed(now):
            return self.event_seconds
        return self.best_event_seconds or typical_seconds

    def version_of(self, model: str) -> int:
        """Newest weight version known; versions never go back within an incarnation."""
        return max(self.versions.get(model, 0), self.backend.version_of(model))

    def record_version(self, model: str, version: int) -> None:
        """Take in a version that the engine showed."""
        if version > self.versions.get(model, 0):
            self.versions[model] = version

    @property
    def slots(self) -> int:
        """Requests that it works on at once."""
        return self.backend.slots or DEFAULT_SLOTS

    @property
    def free_slots(self) -> int:
        """Slots that this keeper does not use."""
        return self.slots - self.running

    def record_failure(self, now: float) -> None:
        """Avoid the engine for a while, longer each time."""
        longer = max(FIRST_PENALTY_SECONDS, self.backoff_seconds * 2)
        self.backoff_seconds = min(LONGEST_PENALTY_SECONDS, longer)
        self.backoff_until = now + self.backoff_seconds

    def record_success(self) -> None:
        """The engine works."""
        self.backoff_seconds = 0.0
        self.backoff_until = 0.0

    @property
    def is_suspect(self) -> bool:
        """Whether it failed several times in a row and has not worked since."""
        return self.backoff_seconds >= SUSPECT_PENALTY_SECONDS

    def is_usable(self, now: float) -> bool:
        """Whether a run may begin there now."""
        is_sound = self.backoff_until <= now
        return is_sound and not self.is_loading and not self.backend.is_draining


def median_event_seconds(engines: Iterable[EngineState], now: float) -> float:
    """Median time of one event over the engines measured lately."""
    known = [state.event_seconds for state in engines if state.has_fresh_speed(now)]
    return median(known) if known else FIRST_EVENT_SECONDS


def fastest_event_seconds(engines: Iterable[EngineState], now: float) -> float:
    """Time of one event at the fastest engine that was measured lately; 0 if none was."""
    measured = [state.event_seconds for state in engines if state.has_fresh_speed(now)]
    return min(measured, default=0.0)


class EngineStates:
    """All registered engines."""

    def __init__(
        self, follower: DirectoryFollower, places: ZoneMap | None = None, zone: str = ""
    ) -> None:
        """Begin without engines; `refresh` takes in those of the directory.

        Args:
            follower: The directory.
            places: Regions of the zones; without, no engine is remote.
            zone: The keeper's own zone.
        """
        self._follower = follower
        self._standpoint = ProcessLocation(zone, ZoneMap() if places is None else places)
        self._revision = -1
        self.states: dict[BackendId, EngineState] = {}

    def refresh(self) -> None:
        """Follow the directory."""
        if self._revision == self._follower.view_revision:
            return
        self._revision = self._follower.view_revision
        previous = self.states
        self.states = {}
        for backend in self._follower.backends:
            state = previous.get(backend.backend_id)
            if state is None:
                distance = self._standpoint.distance_to(backend.zone)
                state = EngineState(backend, is_remote=distance is Distance.OTHER_REGION)
            state.backend = backend
            self.states[backend.backend_id] = state

    def holding_model(self, model: str) -> list[EngineState]:
        """Engines that hold weights of a model, leaving ones left out."""
        present = (state for state in self.states.values() if not state.backend.is_draining)
        return [state for state in present if state.version_of(model) > 0]

    def median_event_seconds(self, now: float) -> float:
        """Median time of one event over all engines measured lately."""
        return median_event_seconds(self.states.values(), now)

    def has_single_healthy_engine(self, service: str, now: float) -> bool:
        """Whether only one of several engines of a service is sound, as far as anybody knows."""
        states = [s for s in self.of_service(service) if not s.backend.is_draining]
        has_crashed = self._follower.suspects.has_crashed
        sound = [
            s for s in states if s.backoff_until <= now and not has_crashed(s.backend.backend_id)
        ]
        return len(states) > 1 and len(sound) <= 1

    def of_service(self, service: str) -> list[EngineState]:
        """Engines of a service."""
        return [state for state in self.states.values() if state.backend.service == service]
