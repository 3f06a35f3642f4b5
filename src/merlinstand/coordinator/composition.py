"""Which finished samples make a batch."""

from collections.abc import Sequence

import msgspec

from merlinstand.coordinator.samples import Sample


class Candidate(msgspec.Struct, frozen=True):
    """A sample that the policy lets go now."""

    sample: Sample
    weight: float
    at_bound: bool = False
    """Whether it uses up the whole staleness bound."""
    passed_over: bool = False
    """Whether an earlier batch could have taken it."""


def compose(
    units: Sequence[Sequence[Candidate]], batch_size: int, passed_over_budget: int
) -> tuple[Candidate, ...]:
    """Choose whole units until the batch is full.

    Args:
        units: Samples that leave together, unit by unit.
        batch_size: Samples in the batch.
        passed_over_budget: Most samples at the bound that an earlier batch could have taken.

    Returns:
        Exactly `batch_size` candidates, or none if the units do not suffice.
    """
    ordered = sorted(units, key=_delivery_order)
    full_unit_size = max(map(len, ordered), default=0)
    partial_units = [unit for unit in ordered if len(unit) < full_unit_size]
    # A part of a prompt may leave a rest that no whole prompt fits into: the youngest parts
    # then wait, as many as it takes.
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
    """Take units in order while they fit; none of them if the batch does not get full."""
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
    """Oldest first: they expire next."""
    oldest = min(candidate.sample.oldest_version for candidate in unit)
    return oldest, unit[0].sample.slot
