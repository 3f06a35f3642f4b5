"""Which waiting item runs next, and on which engine (pure decisions)."""

from collections.abc import Callable, Iterable

import msgspec

from merlinstand.batch_jobs.engines import EngineState
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.common.ids import BackendId


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
) -> EngineState | None:
    """Choose an engine with a free slot whose weights are new enough.

    Args:
        engines: Engines of the item's service.
        model: The item's model; empty if any will do.
        minimum_version: Oldest weight version allowed.
        preferred: Engine that holds the group's shared prompt.
        follows: Whether an engine is there for a model in the first place.
        now: Local time.
    """
    fitting = [
        state
        for state in engines
        if state.is_usable(now)
        and state.free_slots > 0
        and (not model or state.version_of(model) >= minimum_version)
    ]
    for state in fitting:
        if state.backend.backend_id == preferred:
            return state
    return min(
        fitting,
        key=lambda state: (
            not follows(state.backend.backend_id, model),
            state.running / state.slots,
        ),
        default=None,
    )
