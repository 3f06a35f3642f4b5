"""Each guard of consensus, taken out, is noticed under random faults."""

import pytest

from tests.consensus import mutants
from tests.consensus.chaos import play
from tests.consensus.mutants import Mutant

WINDOW = 10
"""Seeds tried from the recorded one on: changes of timing move the catching seed."""

CATCHING_SEEDS: tuple[tuple[Mutant, int], ...] = (
    (mutants.vote_not_persisted, 0),
    (mutants.replies_do_not_wait_for_the_disk, 12),
    (mutants.votes_count_by_node, 14),
    (mutants.acknowledgements_count_by_node, 0),
    (mutants.log_not_compared_in_votes, 1),
    (mutants.founded_by_a_majority, 5),
    (mutants.lease_ignores_clock_drift, 27),
    (mutants.lease_counted_from_the_answer, 117),
    (mutants.lapsed_lease_still_counts, 0),
    (mutants.lease_held_before_the_own_entry_commits, 0),
    (mutants.reads_pass_without_proof, 25),
    (mutants.group_time_begins_anew, 0),
    (mutants.group_time_of_an_earlier_leader_counts, 6),
    (mutants.proof_claimed_before_delivery, 0),
    (mutants.proof_from_a_leader_without_lease, 0),
    (mutants.membership_changes_pile_up, 71),
    (mutants.snapshot_chunks_joined_blindly, 1),
    (mutants.previous_entry_not_compared, 3),
)


def _is_noticed(seed: int) -> bool:
    try:
        play(seed)
    except (AssertionError, ValueError):
        # A snapshot of wrongly joined chunks can't be decoded (ValueError).
        return True
    return False


@pytest.mark.parametrize(
    ("mutant", "seed"), CATCHING_SEEDS, ids=[mutant.__name__ for mutant, _ in CATCHING_SEEDS]
)
def test_a_mutant_is_noticed(mutant: Mutant, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    with monkeypatch.context() as patch:
        mutant(patch)
        found = next((one for one in range(seed, seed + WINDOW) if _is_noticed(one)), None)
    assert found is not None, "no seed of the window notices the missing guard"
    # The unchanged product passes the same seed.
    play(found)
