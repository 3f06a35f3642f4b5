"""Which waiting item runs next, and on which engine (pure decisions)."""

from collections.abc import Callable, Iterable

import msgspec

from merlinstand.batch_jobs.engines import EngineState, typical_event_seconds
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.common.ids import BackendId

SLOW_RATIO = 1.8
"""An engine is slow if its events take this many times as long as another's."""
SHORTEST_STAY_SECONDS = 0.6


class GroupProgress(msgspec.Struct):
    """Items of one group that have no result yet."""

    unfinished: int = 0
    begun: int = 0
    last_backend: BackendId | None = None
    longest_expected: int = 0


def group_progress(runs: Iterable[ItemRun]) -> dict[tuple[str, str], GroupProgress]:
    """Sum items up by job and group."""
    groups: dict[tuple[str, str], GroupProgress] = {}
    for run in runs:
        group = groups.setdefault((run.job_id, run.item.group), GroupProgress())
        group.unfinished += 1
        group.longest_expected = max(group.longest_expected, run.item.expected_tokens)
        if run.phase is not RunPhase.WAITING or run.text.last_event_id:
            group.begun += 1
            group.last_backend = run.backend_id or group.last_backend
    return groups


def urgency(run: ItemRun, group: GroupProgress) -> tuple[object, ...]:
    """Sort key: the smallest goes first.

    Earlier jobs, carried groups, begun groups, groups with long items (they would end last),
    and within a group the longest item.
    """
    return (
        run.order[0],
        not run.is_carried,
        not group.begun,
        -group.longest_expected,
        run.item.group,
        -run.item.expected_tokens,
        run.order[1],
    )


def choose_engine(
    engines: Iterable[EngineState],
    model: str,
    minimum_version: int,
    preferred: BackendId | None,
    follows: Callable[[BackendId, str], bool],
    now: float,
    typical_seconds: float | None = None,
) -> EngineState | None:
    """Choose an engine with a free slot whose weights are new enough.

    Args:
        engines: Engines of the item's service.
        model: The item's model; empty if any will do.
        minimum_version: Oldest weight version allowed.
        preferred: Engine that holds the group's shared prompt.
        follows: Whether an engine is there for a model in the first place.
        now: Local time.
        typical_seconds: Median time of one event over the service's engines; None to take it
            over `engines`.
    """
    engines = list(engines)
    typical = typical_seconds
    if typical is None:
        typical = typical_event_seconds(engines, now)
    fitting = [
        state
        for state in engines
        if state.is_usable(now)
        and state.free_slots > 0
        and (not model or state.version_of(model) >= minimum_version)
    ]
    best = min(
        fitting,
        key=lambda state: (
            not follows(state.backend.backend_id, model),
            state.cost(typical, now),
        ),
        default=None,
    )
    for state in fitting:
        if best is not None and state.backend.backend_id == preferred:
            is_slow = state.speed(typical, now) > SLOW_RATIO * best.speed(typical, now)
            return best if is_slow else state
    return best


def is_worth_moving(
    run: ItemRun, present: EngineState, other: EngineState, typical_seconds: float, now: float
) -> bool:
    """Whether a run had better go on at another engine.

    The other engine reads the prompt and what was generated anew, which takes some ten
    milliseconds; a run that has hardly begun, or has moved just now, stays.
    """
    is_settled = now - run.begun_at >= SHORTEST_STAY_SECONDS and run.has_head
    if not (is_settled and present.has_fresh_speed(now)):
        return False
    return present.event_seconds > SLOW_RATIO * other.speed(typical_seconds, now)
