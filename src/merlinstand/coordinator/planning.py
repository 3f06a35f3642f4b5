"""How many samples to begin now, for which batch, on how new an engine.

The decision (`plan_starts`), batch by batch, soonest first:

1. What is finished or in progress is set against the batch, soonest finished first, if it will be
   fresh enough at the version expected when the batch is asked for. Each sample counts for one
   batch.
2. While the batch is not due, one more sample is planned for each one expected to finish too late
   for it, up to `over_commit_factor` times its size in all: a straggler then delays no trainer.
   With 1.5 in place of 1.25 trainers idled as long, and 0.176 in place of 0.125 of the tokens were
   not used (vitrina-calm, 60 s steps, one seed).
3. What is lacking is begun, on engines that serve a version new enough for that batch.

Pure; times are local monotonic seconds, staleness is counted in versions.
"""

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
    allowed_staleness: int
    """Largest staleness, in versions, at which a batch will take them."""


class PlannedStart(msgspec.Struct, frozen=True):
    """Samples to begin for one batch."""

    batches_ahead: int
    count: int
    minimum_version: int
    """Engines that serve an older version would make samples too old for that batch."""


def plan_starts(
    demands: Sequence[Demand],
    supplies: Sequence[Supply],
    *,
    usual_staleness: int,
    over_commit_factor: float,
) -> list[PlannedStart]:
    """Match supplies to demands, soonest first, and plan what is lacking.

    A sample in progress that is expected to end after its batch is due is replaced, within
    `over_commit_factor`, and carried over to the next batch. Once the batch is due nothing is
    begun in place of stragglers: what is begun for later batches may overtake them.

    Args:
        demands: Expected batches of all consumers.
        supplies: Finished samples and those in progress.
        usual_staleness: Largest staleness, in versions, of an ordinary sample.
        over_commit_factor: Most samples in progress for a batch, as a multiple of its size.

    Returns:
        What to begin, soonest first.
    """
    unassigned = sorted(supplies, key=lambda supply: supply.finish_at)
    starts = []
    for demand in sorted(demands, key=lambda demand: (demand.batches_ahead, demand.due_at)):
        fitting = _fresh_supplies(demand, unassigned)
        wanted = demand.count + _extra_samples(demand, fitting, over_commit_factor)
        taken = _take(fitting, wanted)
        missing = wanted - sum(supply.count for supply in taken)
        if missing > 0:
            minimum_version = demand.newest_version - usual_staleness
            starts.append(PlannedStart(demand.batches_ahead, missing, minimum_version))
        taken_ids = {id(supply) for supply in taken}
        unassigned = [supply for supply in unassigned if id(supply) not in taken_ids]
    return starts


def _fresh_supplies(demand: Demand, supplies: Sequence[Supply]) -> list[Supply]:
    """Return the supplies that a batch will take, at the version expected at its request."""
    return [
        supply
        for supply in supplies
        if demand.newest_version - supply.oldest_version <= supply.allowed_staleness
    ]


def _extra_samples(demand: Demand, fitting: Sequence[Supply], over_commit_factor: float) -> int:
    """Return how many samples to have in progress beyond the batch's size; see step 2 above."""
    if demand.is_awaited:
        return 0
    # While the length of the consumer's step is not known, the batch is due at any moment.
    late = sum(supply.count for supply in fitting if supply.finish_at > demand.due_at)
    return min(late, math.ceil(demand.count * (over_commit_factor - 1.0)))


def _take(supplies: Sequence[Supply], count: int) -> list[Supply]:
    taken: list[Supply] = []
    total = 0
    for supply in supplies:
        if total >= count:
            break
        taken.append(supply)
        total += supply.count
    return taken
