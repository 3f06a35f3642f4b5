"""State of the engines as observed by the leading keeper: slots, weight versions, health, speed.

Every keeper tracks the directory's engines; only the leading keeper observes runs and calls. The
counts of runs are updated by `item_calls`, speeds and failures by `item_streams`, versions and
`is_loading` by `weight_loader`.
"""

from collections.abc import Iterable

import msgspec

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.ids import BackendId
from merlinstand.common.median import median
from merlinstand.common.recent_minimum import RecentMinimum
from merlinstand.decisions.distance import Distance, ProcessLocation
from merlinstand.directory.follower import DirectoryFollower

DEFAULT_SLOTS = 4
"""Number of slots assumed of an engine that does not report it."""
DEFAULT_EVENT_SECONDS = 0.03
"""Time per event assumed until the first event time is measured at any engine."""
SPEED_MAXIMUM_AGE_SECONDS = 5.0
"""Age from which an engine's average time per event is no longer used, because the engine may have
recovered from a slowdown. Its lowest average so far is used instead."""
EVENT_TIME_WEIGHT = 0.1
"""Weight of the newest sample in the exponential moving averages, from 0 to 1."""
LONG_WINDOW_SECONDS = 10.0
"""Window of an engine's long-term best event time: long enough to ignore pauses of the machine,
short enough to detect an engine that has become slow."""
SHORT_WINDOW_SECONDS = 1.0
"""Window of an engine's short-term best event time. A shorter slowdown ends before a run would gain
by moving to another engine."""
BUSY_SLOWDOWN_SHARE = 0.2
"""Share by which events are expected to take longer when all slots are busy, beyond what the
measured event time already includes. Its only effect is to rank engines of equal speed by their
load."""
SUSPECT_BACKOFF_SECONDS = 1.0
"""Backoff from which on an engine is suspect; the third consecutive failure, with 1.2 s, exceeds
it."""
INITIAL_BACKOFF_SECONDS = 0.3
"""Backoff after a first failure, during which no run starts at the engine; doubled on each further
failure until a text completes on the engine."""
MAXIMUM_BACKOFF_SECONDS = 1.5
"""Upper limit of the backoff. If the only engine with room has recovered, items start on it within
2 s."""


class EngineState(msgspec.Struct):
    """The observed state of one engine."""

    backend: Backend
    running: int = 0
    """Number of this keeper's runs on the engine."""
    interrupted_runs: int = 0
    """Number of these runs whose items were interrupted earlier; see `ItemRun.was_interrupted`."""
    is_loading: bool = False
    """Whether the engine is loading weights; no run starts on it meanwhile."""
    versions: dict[str, int] = msgspec.field(default_factory=dict)
    """Newest observed weight version by model."""
    backoff_until: float = 0.0
    """Local time until which no run starts on the engine, because it failed or refused a run."""
    backoff_seconds: float = 0.0
    """Length of the backoff after the last failure; 0 after a success."""
    event_seconds: float = 0.0
    """Moving average of the time per event of one run; 0 if none was measured."""
    measured_at: float = 0.0
    """Local time of the newest sample of `event_seconds`."""
    best_event_seconds: float = 0.0
    """Lowest value of `event_seconds` so far; 0 if none was measured."""
    long_window_minimum: RecentMinimum = msgspec.field(
        default_factory=lambda: RecentMinimum(LONG_WINDOW_SECONDS)
    )
    """Minimum of `event_seconds` over about `LONG_WINDOW_SECONDS`; unaffected by short
    disturbances."""
    short_window_minimum: RecentMinimum = msgspec.field(
        default_factory=lambda: RecentMinimum(SHORT_WINDOW_SECONDS)
    )
    """Minimum of `event_seconds` over one to two `SHORT_WINDOW_SECONDS`; only sustained slowness
    raises it."""
    first_event_seconds: float = 0.0
    """Moving average of the time from a run's start to its first event; 0 if none was measured."""
    is_remote: bool = False
    """Whether the engine is in another region than this keeper."""

    def record_event_time(self, seconds: float, now: float) -> None:
        """Record the time of one event, unless the engine is loading weights."""
        if self.is_loading:
            return
        if self.has_recent_speed(now):
            self.event_seconds += EVENT_TIME_WEIGHT * (seconds - self.event_seconds)
        else:
            self.event_seconds = seconds
        self.measured_at = now
        best = self.best_event_seconds
        self.best_event_seconds = min(best, self.event_seconds) if best else self.event_seconds
        self.long_window_minimum.record(self.event_seconds, now)
        self.short_window_minimum.record(self.event_seconds, now)

    def record_first_event(self, seconds: float) -> None:
        """Record the time to a run's first event, including prefill, unless weights are loading."""
        if self.is_loading:
            return
        average = self.first_event_seconds or seconds
        self.first_event_seconds = average + EVENT_TIME_WEIGHT * (seconds - average)

    def has_recent_speed(self, now: float) -> bool:
        """Whether the event time was measured within `SPEED_MAXIMUM_AGE_SECONDS`."""
        return self.event_seconds > 0.0 and now - self.measured_at < SPEED_MAXIMUM_AGE_SECONDS

    def event_seconds_with_new_run(self, median_seconds: float, now: float) -> float:
        """Return the expected time per event if one more run starts here."""
        busy_share = self.running / self.slots
        return self.estimated_event_seconds(median_seconds, now) * (
            1.0 + BUSY_SLOWDOWN_SHARE * busy_share
        )

    def estimated_event_seconds(self, median_seconds: float, now: float) -> float:
        """Return the time per event: the recent average, else the best so far, else the median."""
        if self.has_recent_speed(now):
            return self.event_seconds
        return self.best_event_seconds or median_seconds

    def version_of(self, model: str) -> int:
        """Return the newest known version; it never decreases within an engine's incarnation."""
        return max(self.versions.get(model, 0), self.backend.version_of(model))

    def record_version(self, model: str, version: int) -> None:
        """Record a weight version observed at the engine."""
        if version > self.versions.get(model, 0):
            self.versions[model] = version

    @property
    def slots(self) -> int:
        """Number of requests that the engine processes concurrently."""
        return self.backend.slots or DEFAULT_SLOTS

    @property
    def free_slots(self) -> int:
        """Number of slots without a run of this keeper."""
        return self.slots - self.running

    def record_failure(self, now: float) -> None:
        """Start a backoff, twice as long as the previous one."""
        doubled = max(INITIAL_BACKOFF_SECONDS, self.backoff_seconds * 2)
        self.backoff_seconds = min(MAXIMUM_BACKOFF_SECONDS, doubled)
        self.backoff_until = now + self.backoff_seconds

    def record_success(self) -> None:
        """End the backoff, because the engine works."""
        self.backoff_seconds = 0.0
        self.backoff_until = 0.0

    @property
    def is_suspect(self) -> bool:
        """Whether the engine failed several times in a row and has not succeeded since."""
        return self.backoff_seconds >= SUSPECT_BACKOFF_SECONDS

    def is_usable(self, now: float) -> bool:
        """Whether a run may start on the engine now, regardless of free slots."""
        has_no_backoff = self.backoff_until <= now
        return has_no_backoff and not self.is_loading and not self.backend.is_draining


def median_event_seconds(engines: Iterable[EngineState], now: float) -> float:
    """Return the median time per event over the engines measured recently.

    Returns `DEFAULT_EVENT_SECONDS` if no engine was measured recently.
    """
    known = [state.event_seconds for state in engines if state.has_recent_speed(now)]
    return median(known) if known else DEFAULT_EVENT_SECONDS


def fastest_event_seconds(engines: Iterable[EngineState], now: float) -> float:
    """Return the time per event of the fastest engine measured recently; 0 if none was measured."""
    measured = [state.event_seconds for state in engines if state.has_recent_speed(now)]
    return min(measured, default=0.0)


class EngineStates:
    """The states of all registered engines."""

    def __init__(
        self, follower: DirectoryFollower, places: ZoneMap | None = None, zone: str = ""
    ) -> None:
        """Start without engines; `refresh` adds those of the directory.

        Args:
            follower: Provides the registered engines.
            places: Regions of the zones; without it, no engine is remote.
            zone: This keeper's zone.
        """
        self._follower = follower
        self._standpoint = ProcessLocation(zone, ZoneMap() if places is None else places)
        self._revision = -1
        self.states: dict[BackendId, EngineState] = {}

    def refresh(self) -> None:
        """Apply the directory's newest list of engines, if it changed."""
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
        """Return the engines that hold weights of a model, except those that are draining."""
        present = (state for state in self.states.values() if not state.backend.is_draining)
        return [state for state in present if state.version_of(model) > 0]

    def median_event_seconds(self, now: float) -> float:
        """Return the median time per event over all engines measured recently."""
        return median_event_seconds(self.states.values(), now)

    def of_service(self, service: str) -> list[EngineState]:
        """Return the engines of a service."""
        return [state for state in self.states.values() if state.backend.service == service]
