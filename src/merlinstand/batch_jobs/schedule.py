"""Which waiting item runs next, and on which engine (pure decisions)."""

from collections import Counter
from collections.abc import Callable, Iterable

import msgspec

from merlinstand.batch_jobs.engines import EngineState, typical_event_seconds
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.common.ids import BackendId

LEAST_MOVE_RATIO = 1.15
"""A run leaves an engine only if its events take this many times as long as elsewhere: the load of
the moment makes smaller differences."""
FIRST_READ_SECONDS = 0.1
"""Assumed time to read a prompt while none was measured."""
SHORTEST_STAY_SECONDS = 0.6
REMOTE_REGION_SECONDS = 0.15
"""An item goes to an engine in another region only if it ends this much sooner there: its text
comes back over the link between regions, which is narrow and paid by the byte. Half of what an item
of the mean length takes, so that a free engine at home is preferred and a queue at home isn't."""


class GroupProgress(msgspec.Struct):
    """Items of one group that have no result yet."""

    unfinished: int = 0
    begun: int = 0
    last_backend: BackendId | None = None


def group_progress(runs: Iterable[ItemRun]) -> dict[tuple[str, str], GroupProgress]:
    """Sum items up by job and group."""
    groups: dict[tuple[str, str], GroupProgress] = {}
    for run in runs:
        group = groups.setdefault((run.job_id, run.item.group), GroupProgress())
        group.unfinished += 1
        is_idle = run.phase in (RunPhase.WAITING, RunPhase.HELD)
        if not is_idle or run.text.last_event_id:
            group.begun += 1
            group.last_backend = run.backend_id or group.last_backend
    return groups


def job_ranks(jobs: Iterable[JobState]) -> dict[str, int]:
    """Tell of each open job how many open ones of its model came before it."""
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
    """Tell when an item must begin, apart from a constant that is the same for all.

    Args:
        accepted_at: When its job came, in group time.
        rest_events: Events that it is expected to have yet.
        event_seconds: Typical time of one event.
    """
    return accepted_at - rest_events * event_seconds


class ItemDemand(msgspec.Struct, frozen=True, kw_only=True):
    """What an item needs of an engine."""

    model: str
    """Empty if any will do."""
    minimum_version: int
    """Oldest weight version allowed."""
    rest_events: float = 1.0
    """Events that it is expected to have yet."""
    preferred: BackendId | None = None
    """Engine that holds its group's shared prompt."""
    allowed_zones: frozenset[str] | None = None
    """Zones whose engines may run it; None for all of them."""
    is_suspect: bool = False
    """Whether engines have ended under it: it goes where fewest such items run, so that the next
    end tells the guilty one from the others."""

    def allows(self, zone: str) -> bool:
        """Whether an engine of a zone may run it."""
        return self.allowed_zones is None or zone in self.allowed_zones


def choose_engine(
    engines: Iterable[EngineState],
    demand: ItemDemand,
    follows: Callable[[BackendId, str], bool],
    now: float,
    typical_seconds: float | None = None,
) -> EngineState | None:
    """Choose an engine with a free slot whose weights are new enough.

    The one where the item is expected to end first; reading its prompt takes time, too, but not
    where its group's prompt is held.

    Args:
        engines: Engines of the item's service.
        demand: What the item needs.
        follows: Whether an engine is there for a model in the first place.
        now: Local time.
        typical_seconds: Median time of one event over the service's engines; None to take it
            over `engines`.
    """
    engines = list(engines)
    typical = typical_seconds
    if typical is None:
        typical = typical_event_seconds(engines, now)
    model = demand.model
    fitting = [
        state
        for state in engines
        if state.is_usable(now)
        and state.free_slots > 0
        and (not model or state.version_of(model) >= demand.minimum_version)
        and demand.allows(state.backend.zone)
    ]
    return min(
        fitting,
        key=lambda state: (
            not follows(state.backend.backend_id, model),
            state.suspects if demand.is_suspect else 0,
            expected_seconds(state, demand, typical, now),
        ),
        default=None,
    )


def expected_seconds(
    state: EngineState, demand: ItemDemand, typical_seconds: float, now: float
) -> float:
    """Tell how long an item would take at an engine from now on."""
    generating = demand.rest_events * state.event_cost(typical_seconds, now)
    holds_prompt = state.backend.backend_id == demand.preferred
    reading = 0.0 if holds_prompt else state.first_event_seconds or FIRST_READ_SECONDS
    return generating + reading + remote_seconds(state)


def remote_seconds(state: EngineState) -> float:
    """What an engine in another region must win to be chosen."""
    return REMOTE_REGION_SECONDS if state.is_remote else 0.0


def seconds_won(
    run: ItemRun,
    present: EngineState,
    other: EngineState,
    rest_events: float,
    typical_seconds: float,
    now: float,
) -> float:
    """Tell what a run gains by going on at another engine; 0 if it had better stay.

    The other engine reads the prompt and what was generated anew; a run that has hardly begun, or
    has moved just now, stays.
    """
    is_settled = now - run.begun_at >= SHORTEST_STAY_SECONDS and run.has_head
    if not (is_settled and present.has_fresh_speed(now)):
        return 0.0
    present_seconds = present.event_seconds
    other_seconds = other.event_cost(typical_seconds, now)
    if present_seconds < LEAST_MOVE_RATIO * other_seconds:
        return 0.0
    reading = other.first_event_seconds or FIRST_READ_SECONDS
    reading += max(0.0, remote_seconds(other) - remote_seconds(present))
    won = rest_events * (present_seconds - other_seconds) - reading
    return won if won >= reading else 0.0
