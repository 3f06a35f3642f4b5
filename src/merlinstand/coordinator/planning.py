"""How many samples to begin now, for which batch, on how new an engine."""

import math
from collections.abc import Sequence

import msgspec

from merlinstand.coordinator.forecast import Demand


class Supply(msgspec.Struct, frozen=True):
    """A prompt's samples, which leave together."""

    oldest_version: int
    """Oldest version of its tokens, or the version that will make its first one."""
    finish_at: float
    """Expected time at which the last of them is finished; the past if it is."""
    count: int


class PlannedStart(msgspec.Struct, frozen=True):
    """Samples to begin for one batch."""

    round: int
    count: int
    minimum_version: int
    """Engines that serve an older version would make samples too old for that batch."""


def plan_starts(
    demands: Sequence[Demand],
    supplies: Sequence[Supply],
    *,
    now: float,
    fresh_seconds: float,
    usual_staleness: int,
    over_commit_factor: float,
) -> list[PlannedStart]:
    """Match supplies to demands, soonest first, and plan what is lacking.

    Args:
        demands: Expected batches of all consumers.
        supplies: Finished samples and those in progress.
        now: Local monotonic time.
        fresh_seconds: Time that a sample begun now usually takes.
        usual_staleness: Largest staleness, in versions, of an ordinary sample.
        over_commit_factor: Samples in progress for a batch as a multiple of those it lacks.

    Returns:
        What to begin, soonest first.
    """
    # The oldest leave first: what a sooner batch can still take, a later one may not.
    unassigned = sorted(supplies, key=lambda supply: (supply.oldest_version, supply.finish_at))
    starts = []
    for demand in sorted(demands, key=lambda demand: (demand.round, demand.due_at)):
        minimum_version = demand.newest_version - usual_staleness
        # A sample in progress that ends later than a new one would is no help for this batch.
        latest_finish = max(demand.due_at, now + fresh_seconds)
        fitting = [
            supply
            for supply in unassigned
            if supply.oldest_version >= minimum_version and supply.finish_at <= latest_finish
        ]
        finished = _take(fitting, demand.count, only_finished_by=now)
        lacking = demand.count - sum(supply.count for supply in finished)
        in_progress: list[Supply] = []
        if lacking > 0:
            wanted = math.ceil(lacking * over_commit_factor)
            rest = [supply for supply in fitting if supply.finish_at > now]
            in_progress = _take(rest, wanted)
            missing = wanted - sum(supply.count for supply in in_progress)
            if missing > 0:
                starts.append(PlannedStart(demand.round, missing, minimum_version))
        taken = {id(supply) for supply in (*finished, *in_progress)}
        unassigned = [supply for supply in unassigned if id(supply) not in taken]
    return starts


def _take(
    supplies: Sequence[Supply], count: int, only_finished_by: float | None = None
) -> list[Supply]:
    taken: list[Supply] = []
    total = 0
    for supply in supplies:
        if total >= count:
            break
        if only_finished_by is not None and supply.finish_at > only_finished_by:
            continue
        taken.append(supply)
        total += supply.count
    return taken
