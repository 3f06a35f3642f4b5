"""Which groups to defer when the engines can't make all in time (pure decisions).

A job earns by its groups that are whole before its results are due. Earliest due first is the best
order as long as everything fits. With more work than that it makes every group late. So, as by
Moore's and Hodgson's rule for the fewest late jobs (Management Science 15, 1968), groups are taken
up in the order in which they are due, and whenever one would be late, one of those taken up so far
is deferred: one that its job doesn't need, else one that is late in any case, else the one with
most work. What is deferred runs as slots are left over.

Models that have no engine in common are judged by themselves: an item runs only where the weights
of its model are kept new, so the engines of one model are little help to another.

Nothing is deferred while everything that can still be in time fits.

Used by `deferral` in the leading keeper; reads runs and jobs and changes neither.
"""

import heapq
from collections.abc import Callable, Iterable

import msgspec

from merlinstand.batch_jobs.engines import EngineState
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.state_machine import JobState

GENERATING_SHARE = 0.8
"""Share of their time in which engines make events; weight loads, prompts and pauses between runs
take the rest. Measured: 620 of 730 events a second were made at five engines. Too high a value only
defers less (docs/SIZE.md)."""


class GroupKey(msgspec.Struct, frozen=True, order=True):
    """Names a group within all open jobs."""

    job_id: str
    group: str


class GroupLoad(msgspec.Struct, kw_only=True):
    """What one group that isn't whole still needs."""

    key: GroupKey
    due_at: float
    """Group time in seconds at which its results are due."""
    rest_events: float = 0.0
    """Events that all of its items are expected to have yet."""
    longest_rest_events: float = 0.0
    """The same of its longest item."""
    is_carried: bool = False
    """Whether it stood in an earlier job: then the sender waits for this very group."""
    is_needed: bool = True
    """Whether its sender waits for it, as far as the work in it shows."""

    def take(self, run: ItemRun, rest_events: float) -> None:
        """Add one of its items."""
        self.is_carried = self.is_carried or run.is_carried
        if run.phase in (RunPhase.SCORING, RunPhase.LISTING):
            return
        self.rest_events += rest_events
        self.longest_rest_events = max(self.longest_rest_events, rest_events)


class EngineCapacity(msgspec.Struct, frozen=True):
    """How fast engines make events."""

    events_per_second: float
    """Those that the models may count on, all slots together."""
    event_seconds: float
    """Time of one event of one run, typically."""


def engine_capacity(
    engines: Iterable[EngineState], typical_seconds: float, now: float
) -> EngineCapacity:
    """Sum up the engines that are sound and stay.

    Args:
        engines: Engines that follow any of the models.
        typical_seconds: Median time of one event over the service's engines.
        now: Local time.
    """
    rate = 0.0
    for engine in engines:
        if not (engine.backend.is_draining or engine.is_suspect):
            rate += engine.slots / engine.speed(typical_seconds, now)
    return EngineCapacity(GENERATING_SHARE * rate, typical_seconds)


def group_loads(
    runs: Iterable[ItemRun],
    jobs: dict[str, JobState],
    due_seconds: Callable[[JobState], float],
    expected_rest: Callable[[ItemRun], float],
) -> list[GroupLoad]:
    """Sum up the items without a result by group.

    Args:
        runs: Those items.
        jobs: All kept jobs.
        due_seconds: How long after a job was accepted its results are due.
        expected_rest: Events that an item is expected to have yet.
    """
    loads: dict[GroupKey, GroupLoad] = {}
    for run in runs:
        key = GroupKey(run.job_id, run.item.group)
        load = loads.get(key)
        if load is None:
            job = jobs[run.job_id]
            load = loads[key] = GroupLoad(key=key, due_at=job.accepted_at + due_seconds(job))
        load.take(run, expected_rest(run))
    _mark_needed(loads.values(), jobs)
    return list(loads.values())


def _mark_needed(loads: Iterable[GroupLoad], jobs: dict[str, JobState]) -> None:
    """Of each job, those carried over are needed, then those with least work."""
    by_job: dict[str, list[GroupLoad]] = {}
    for load in loads:
        by_job.setdefault(load.key.job_id, []).append(load)
    for job_id, of_job in by_job.items():
        job = jobs[job_id]
        wanted = job.job.wanted_groups
        if not wanted:
            continue
        whole = job.group_count - len(of_job)
        of_job.sort(key=lambda load: (not load.is_carried, load.rest_events, load.key))
        for load in of_job[max(0, wanted - whole) :]:
            load.is_needed = load.is_carried


def groups_to_defer(
    loads: Iterable[GroupLoad], capacity: EngineCapacity, group_time: float
) -> frozenset[GroupKey]:
    """Choose the groups that had better wait, of models that share engines or of one.

    Args:
        loads: Their groups that aren't whole.
        capacity: What their engines can do.
        group_time: Present time in seconds.
    """
    if capacity.events_per_second <= 0.0:
        return frozenset()
    deferred: set[GroupKey] = set()
    taken_up: list[tuple[bool, bool, float, GroupKey]] = []
    """A heap; its first entry is to be deferred first."""
    events = 0.0
    for load in sorted(loads, key=lambda load: (load.due_at, load.key)):
        left_seconds = load.due_at - group_time
        can_be_in_time = load.longest_rest_events * capacity.event_seconds <= left_seconds
        entry = (load.is_needed, can_be_in_time, -load.rest_events, load.key)
        heapq.heappush(taken_up, entry)
        events += load.rest_events
        possible_events = left_seconds * capacity.events_per_second
        while can_be_in_time and events > possible_events and load.key not in deferred:
            _needed, _in_time, negative_events, key = heapq.heappop(taken_up)
            events += negative_events
            deferred.add(key)
    return frozenset(deferred)
