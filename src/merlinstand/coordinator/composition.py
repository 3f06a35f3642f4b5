"""Composes batches from finished samples."""

from collections.abc import Sequence

import msgspec

from merlinstand.coordinator.samples import Sample


class Candidate(msgspec.Struct, frozen=True):
    """A sample that the policy allows to be delivered now."""

    sample: Sample
    weight: float
    at_bound: bool = False
    """Whether the sample's staleness is above the usual limit, but within the full bound."""
    passed_over: bool = False
    """Whether an earlier batch could have included the sample."""


def compose(
    units: Sequence[Sequence[Candidate]], batch_size: int, passed_over_budget: int
) -> tuple[Candidate, ...]:
    """Choose complete units until the batch is full.

    Args:
        units: Groups of samples that must be delivered together.
        batch_size: Number of samples in the batch.
        passed_over_budget: Limit on samples at the bound that an earlier batch could have
            included.

    Returns:
        Exactly `batch_size` candidates, or none if the units cannot fill the batch.
    """
    ordered = sorted(units, key=_delivery_order)
    full_unit_size = max(map(len, ordered), default=0)
    partial_units = [unit for unit in ordered if len(unit) < full_unit_size]
    # Prompts with only some of their samples may fill the batch so far that no complete prompt
    # fits into the rest. Then as many of the newest partial prompts as necessary are left out.
    for excluded_count in range(len(partial_units) + 1):
        excluded = {id(unit) for unit in partial_units[len(partial_units) - excluded_count :]}
        remaining_units = [unit for unit in ordered if id(unit) not in excluded]
        chosen = _fill(remaining_units, batch_size, passed_over_budget)
        if chosen:
            return chosen
    return ()


def _fill(
    units: Sequence[Sequence[Candidate]], batch_size: int, budget: int
) -> tuple[Candidate, ...]:
    """Take units in order while they fit; returns none if they do not fill the batch."""
    chosen: list[Candidate] = []
    for unit in units:
        spent = sum(candidate.at_bound and candidate.passed_over for candidate in unit)
        if spent > budget or len(chosen) + len(unit) > batch_size:
            continue
        chosen.extend(unit)
        budget -= spent
        if len(chosen) == batch_size:
            return tuple(chosen)
    return ()


def _delivery_order(unit: Sequence[Candidate]) -> tuple[int, int]:
    """Sort key: units with the oldest version first, since they expire next."""
    oldest = min(candidate.sample.oldest_version for candidate in unit)
    return oldest, unit[0].sample.slot
