"""The order in which waiting items start (pure functions).

The leading keeper's runner sorts the waiting items whenever a slot becomes free. `overload` decides
which groups are deferred, `placement` on which engine an item runs. See docs/DECIDING.md,
rounds 7 and 8.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import msgspec

from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.common.ids import BackendId

GroupId = tuple[str, str]
"""Job id and group name. A plain tuple, because one is created per item and scheduling pass, and it
is cheaper to look up than the equivalent `overload.GroupKey`."""


class GroupProgress(msgspec.Struct):
    """The unfinished items of one group."""

    started_count: int = 0
    """Items that are running or already have part of their text."""
    last_backend_id: BackendId | None = None
    """Engine that last ran an item of the group, and so has the group's shared prompt cached."""


def group_progress(runs: Iterable[ItemRun]) -> dict[GroupId, GroupProgress]:
    """Summarize unfinished items by job and group."""
    groups: dict[GroupId, GroupProgress] = {}
    for run in runs:
        group = groups.setdefault((run.job_id, run.item.group), GroupProgress())
        is_idle = run.phase is RunPhase.WAITING
        if not is_idle or run.text.last_event_id:
            group.started_count += 1
            group.last_backend_id = run.backend_id or group.last_backend_id
    return groups


def job_ranks(jobs: Iterable[JobState]) -> dict[str, int]:
    """Return by open job how many open jobs of the same model were accepted before it."""
    ranks: dict[str, int] = {}
    open_counts: Counter[str] = Counter()
    open_jobs = [job for job in jobs if job.is_open]
    for job in sorted(open_jobs, key=lambda job: job.accepted_at):
        ranks[job.job.job_id] = open_counts[job.job.model]
        open_counts[job.job.model] += 1
    return ranks


def urgency_key(
    run: ItemRun, group: GroupProgress, job_rank: int, latest_start_at: float
) -> tuple[object, ...]:
    """Return the sort key of a waiting item; the smallest key starts first.

    Items of one model start in the order in which their jobs were accepted, because its trainer
    waits for the jobs in this order. Items of different models are ordered by least slack: a long
    item must start before a short one of a job that was accepted slightly earlier. Ties go to
    groups that have started.

    Args:
        run: A waiting item.
        group: Its group.
        job_rank: Number of open jobs of the same model that were accepted earlier.
        latest_start_at: Result of `latest_start` for the item: the group time by which it must
            start to end within a fixed time after its job was accepted.
    """
    return (job_rank, latest_start_at, not group.started_count, run.item.group, run.order)


def deferred_urgency_key(
    run: ItemRun, accepted_at: float, group_remaining_events: float
) -> tuple[object, ...]:
    """Return the sort key among items of deferred groups.

    The earliest job comes first, and within a job the group with the least work, so that groups
    complete one by one.

    Args:
        run: A waiting item.
        accepted_at: When its job was accepted, in group time.
        group_remaining_events: Events that its group still has to generate.
    """
    return (accepted_at, group_remaining_events, run.item.group, run.order)


def latest_start(accepted_at: float, remaining_events: float, median_event_seconds: float) -> float:
    """Return the time by which an item must start, up to a constant that is equal for all items.

    Args:
        accepted_at: When its job was accepted, in group time.
        remaining_events: Expected number of events that it still has to generate.
        median_event_seconds: Median time per event.
    """
    return accepted_at - remaining_events * median_event_seconds


def sort_by_urgency(
    waiting: list[ItemRun],
    groups: Mapping[GroupId, GroupProgress],
    jobs: Mapping[str, JobState],
    deferred_remaining_events: Callable[[ItemRun], float | None],
    expected_remaining_events: Callable[[ItemRun], float],
    median_event_seconds: float,
) -> None:
    """Sort waiting items: the most urgent first, those of deferred groups last.

    Args:
        waiting: Items that wait for an engine; sorted in place.
        groups: Their groups.
        jobs: All retained jobs by id.
        deferred_remaining_events: Returns the events that an item's group still has to generate
            if the group is deferred, else None.
        expected_remaining_events: Returns the events that an item is expected to still generate.
        median_event_seconds: Median time per event over all engines.
    """
    ranks = job_ranks(jobs.values())

    def key(run: ItemRun) -> tuple[bool, tuple[object, ...]]:
        accepted_at = jobs[run.job_id].accepted_at
        group_events = deferred_remaining_events(run)
        if group_events is not None:
            return (True, deferred_urgency_key(run, accepted_at, group_events))
        latest = latest_start(accepted_at, expected_remaining_events(run), median_event_seconds)
        group = groups[(run.job_id, run.item.group)]
        return (False, urgency_key(run, group, ranks.get(run.job_id, 0), latest))

    waiting.sort(key=key)
