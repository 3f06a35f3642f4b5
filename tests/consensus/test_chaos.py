"""Under random faults of every kind the invariants hold, and the group recovers afterwards."""

import pytest

from tests.consensus.chaos import play

SEEDS = 40


@pytest.mark.parametrize("first", range(0, SEEDS, 10))
def test_invariants_hold_and_the_group_recovers(first: int) -> None:
    for seed in range(first, first + 10):
        play(seed)
