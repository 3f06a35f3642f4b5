"""In which order waiting items start (pure decisions).

Used by the leading keeper's runner, which sorts the waiting items whenever a slot came free. Reads
runs and jobs, changes neither. Which groups are deferred is decided by `overload`; where an item
then goes, by `placement`. What the order is worth: docs/DECIDING.md, rounds 7 and 8.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

import msgspec

from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.common.ids import BackendId

GroupId = tuple[str, str]
"""Id of a job, and name of a group in it. A plain tuple, since one is made for each item at each
turn; looking one up takes half the time of an `overload.GroupKey`, which names the same."""


class GroupProgress(msgspec.Struct):
    """Items of one group that have no result yet."""

    begun: int = 0
    """Those that run, or have a part of their text."""
    last_backend_id: BackendId | None = None
    """Engine where one of them ran last: it holds the shared prompt."""


def group_progress(runs: Iterable[ItemRun]) -> dict[GroupId, GroupProgress]:
    """Sum items up by job and group."""
    groups: dict[GroupId, GroupProgress] = {}
    for run in runs:
        group = groups.setdefault((run.job_id, run.item.group), GroupProgress())
        is_idle = run.phase in (RunPhase.WAITING, RunPhase.HELD)
        if not is_idle or run.text.last_event_id:
            group.begun += 1
            group.last_backend_id = run.backend_id or group.last_backend_id
    return groups


def job_ranks(jobs: Iterable[JobState]) -> dict[str, int]:
    """Count, for each open job, the open ones of its model that came before it."""
    ranks: dict[str, int] = {}
    counts: Counter[str] = Counter()
    open_jobs = [job for job in jobs if job.is_open]
    for job in sorted(open_jobs, key=lambda job: job.accepted_at):
        ranks[job.job.job_id] = counts[job.job.model]
        counts[job.job.model] += 1
    return ranks


def urgency(
    run: ItemRun, group: GroupProgress, job_rank: int, latest_begin: float
) -> tuple[object, ...]:
    """Sort key: the smallest goes first.

    Earlier jobs of a model go before its later ones: its trainer waits for them in this order.
    Among jobs of several models those items go first that have the least slack: one that takes
    long must begin before a short one of a job that came a little earlier. Then begun groups.

    Args:
        run: An item that waits.
        group: Its group.
        job_rank: How many open jobs of the same model came before.
        latest_begin: When it would have to begin to end a fixed time after its job came, in group
            time; see `latest_begin`.
    """
    return (job_rank, latest_begin, not group.begun, run.item.group, run.order)


def deferred_urgency(run: ItemRun, accepted_at: float, group_events: float) -> tuple[object, ...]:
    """Sort key among items of groups that are deferred: whole groups of the earliest job first.

    Args:
        run: An item that waits.
        accepted_at: When its job came, in group time.
        group_events: Events that its group still needs.
    """
    return (accepted_at, group_events, run.item.group, run.order)


def latest_begin(accepted_at: float, rest_events: float, event_seconds: float) -> float:
    """Give the time by which an item must begin, less a constant that is the same for all.

    Args:
        accepted_at: When its job came, in group time.
        rest_events: Events that it is expected to have yet.
        event_seconds: Typical time of one event.
    """
    return accepted_at - rest_events * event_seconds


def sort_by_urgency(
    waiting: list[ItemRun],
    groups: Mapping[GroupId, GroupProgress],
    jobs: Mapping[str, JobState],
    deferred_events: Callable[[ItemRun], float | None],
    expected_rest: Callable[[ItemRun], float],
    typical_event_seconds: float,
) -> None:
    """Sort waiting items: the most urgent first, those of deferred groups after all others.

    Args:
        waiting: Items that wait for an engine; sorted in place.
        groups: Their groups.
        jobs: All kept jobs.
        deferred_events: Events that an item's group still needs if it is deferred, else None.
        expected_rest: Events that an item is expected to have yet.
        typical_event_seconds: Median time of one event over all engines.
    """
    ranks = job_ranks(jobs.values())

    def key(run: ItemRun) -> tuple[bool, tuple[object, ...]]:
        accepted_at = jobs[run.job_id].accepted_at
        group_events = deferred_events(run)
        if group_events is not None:
            return (True, deferred_urgency(run, accepted_at, group_events))
        latest = latest_begin(accepted_at, expected_rest(run), typical_event_seconds)
        group = groups[(run.job_id, run.item.group)]
        return (False, urgency(run, group, ranks.get(run.job_id, 0), latest))

    waiting.sort(key=key)
