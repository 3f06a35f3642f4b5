"""Which groups to defer when the engines cannot complete all of them in time (pure functions).

A job is credited with the groups that complete before its deadline. Earliest deadline first is
optimal while all work fits, but makes every group late under overload. So groups are admitted in
the order of their deadlines, following the Moore-Hodgson algorithm for the fewest late jobs
(Management Science 15, 1968): when an admitted group would be late, one of the groups admitted so
far is deferred: preferably a group that its job does not need, then a group that is late in any
case, then the group with the most work. Nothing is deferred while all groups that can still meet
their deadlines fit. Deferred groups run on slots that are left over.

Models without a common engine are handled separately (see `deferral`), because an item runs only on
engines whose weights of its model are kept current.
"""

import heapq
from collections.abc import Callable, Iterable

import msgspec

from merlinstand.batch_jobs.engines import EngineState
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.state_machine import JobState

GENERATING_SHARE = 0.8
"""Share of an engine's time that generates events; weight loads, prefill and gaps between runs take
the rest: five engines generated 620 events a second of 730. If the value is too high, fewer groups
are deferred than necessary (docs/SIZE.md)."""


class GroupKey(msgspec.Struct, frozen=True, order=True):
    """Identifies a group among all open jobs."""

    job_id: str
    group: str


class GroupLoad(msgspec.Struct, kw_only=True):
    """The remaining work of one incomplete group."""

    key: GroupKey
    deadline: float
    """Group time, in seconds, at which its results are due."""
    remaining_events: float = 0.0
    """Events that all of its items together are expected to still generate."""
    longest_remaining_events: float = 0.0
    """Events that its longest item is expected to still generate."""
    is_carried: bool = False
    """Whether the group was carried over from an earlier job, so that its sender waits for it."""
    is_needed: bool = True
    """Whether it is expected to be among the groups that its sender waits for."""

    def add_run(self, run: ItemRun, remaining_events: float) -> None:
        """Add an unfinished item of the group; an item whose text is complete adds no work."""
        self.is_carried = self.is_carried or run.is_resubmitted
        if run.phase in (RunPhase.SCORING, RunPhase.LISTING):
            return
        self.remaining_events += remaining_events
        self.longest_remaining_events = max(self.longest_remaining_events, remaining_events)


class EngineCapacity(msgspec.Struct, frozen=True):
    """The speed of a set of engines."""

    events_per_second: float
    """Expected throughput of all slots together."""
    median_event_seconds: float
    """Median time per event of one run."""


def engine_capacity(
    engines: Iterable[EngineState], median_event_seconds: float, now: float
) -> EngineCapacity:
    """Sum the throughput of the engines that are neither draining nor suspect.

    Args:
        engines: Engines that are assigned any of the models.
        median_event_seconds: Median time per event over the service's engines.
        now: Local time in seconds.
    """
    events_per_second = 0.0
    for engine in engines:
        if not (engine.backend.is_draining or engine.is_suspect):
            events_per_second += engine.slots / engine.estimated_event_seconds(
                median_event_seconds, now
            )
    return EngineCapacity(GENERATING_SHARE * events_per_second, median_event_seconds)


def group_loads(
    runs: Iterable[ItemRun],
    jobs: dict[str, JobState],
    deadline_seconds: Callable[[JobState], float],
    expected_remaining_events: Callable[[ItemRun], float],
) -> list[GroupLoad]:
    """Summarize items without a result by group.

    Args:
        runs: Items without a result.
        jobs: All retained jobs by id.
        deadline_seconds: Returns the time from a job's acceptance to its deadline.
        expected_remaining_events: Returns the events that an item is expected to still generate.
    """
    loads: dict[GroupKey, GroupLoad] = {}
    for run in runs:
        key = GroupKey(run.job_id, run.item.group)
        load = loads.get(key)
        if load is None:
            job = jobs[run.job_id]
            load = loads[key] = GroupLoad(key=key, deadline=job.accepted_at + deadline_seconds(job))
        load.add_run(run, expected_remaining_events(run))
    _mark_needed(loads.values(), jobs)
    return list(loads.values())


def _mark_needed(loads: Iterable[GroupLoad], jobs: dict[str, JobState]) -> None:
    """Mark the groups each job needs: carried-over groups, then those with the least work."""
    by_job: dict[str, list[GroupLoad]] = {}
    for load in loads:
        by_job.setdefault(load.key.job_id, []).append(load)
    for job_id, of_job in by_job.items():
        job = jobs[job_id]
        wanted_count = job.job.wanted_groups
        if not wanted_count:
            continue
        complete_count = job.group_count - len(of_job)
        of_job.sort(key=lambda load: (not load.is_carried, load.remaining_events, load.key))
        for load in of_job[max(0, wanted_count - complete_count) :]:
            load.is_needed = load.is_carried


def groups_to_defer(
    loads: Iterable[GroupLoad], capacity: EngineCapacity, group_time: float
) -> frozenset[GroupKey]:
    """Choose the groups to defer, of one model or of several models that share engines.

    Args:
        loads: Their incomplete groups.
        capacity: The capacity of their engines.
        group_time: Current group time in seconds.
    """
    if capacity.events_per_second <= 0.0:
        return frozenset()
    deferred: set[GroupKey] = set()
    admitted: list[tuple[bool, bool, float, GroupKey]] = []
    """A heap; its first entry is deferred first."""
    admitted_events = 0.0
    for load in sorted(loads, key=lambda load: (load.deadline, load.key)):
        seconds_left = load.deadline - group_time
        can_meet_deadline = (
            load.longest_remaining_events * capacity.median_event_seconds <= seconds_left
        )
        entry = (load.is_needed, can_meet_deadline, -load.remaining_events, load.key)
        heapq.heappush(admitted, entry)
        admitted_events += load.remaining_events
        feasible_events = seconds_left * capacity.events_per_second
        while can_meet_deadline and admitted_events > feasible_events and load.key not in deferred:
            _needed, _can_meet_deadline, negative_events, key = heapq.heappop(admitted)
            admitted_events += negative_events
            deferred.add(key)
    return frozenset(deferred)
