"""The restart census, and elections after a restart of the whole group."""

import pytest

from merlinstand.common.ids import NodeId
from merlinstand.consensus.membership import Identity
from merlinstand.consensus.restart_census import RestartCensus
from merlinstand.consensus.settings import ReplicaTimings

from .network import Network

FIRST = Identity(NodeId("n1"), 1)
SECOND = Identity(NodeId("n2"), 2)
WIPED = Identity(NodeId("n2"), 3)
ELECTION_TIMEOUT_SECONDS = ReplicaTimings().election_timeout_seconds
DOWN_SECONDS = 0.2

CensusReply = tuple[Identity, int, int]
"""Voter, number of the round, start number."""


@pytest.mark.parametrize(
    ("first_round", "second_round", "is_complete", "is_confirmed"),
    [
        ([(FIRST, 1, 7), (SECOND, 1, 8)], [(FIRST, 2, 7), (SECOND, 2, 8)], True, True),
        ([(FIRST, 1, 7), (SECOND, 1, 8)], [(FIRST, 2, 7), (SECOND, 2, 9)], True, False),
        ([(FIRST, 1, 7), (SECOND, 1, 8)], [(FIRST, 2, 7), (SECOND, 1, 8)], False, False),
        ([(FIRST, 1, 7), (SECOND, 1, 8)], [(FIRST, 2, 7), (SECOND, 2, 0)], False, False),
        ([(FIRST, 1, 7), (SECOND, 1, 8)], [(FIRST, 2, 7), (WIPED, 2, 8)], False, True),
        ([(FIRST, 1, 7)], [(FIRST, 2, 7), (SECOND, 2, 8)], True, False),
    ],
    ids=[
        "same starts in both rounds",
        "a voter restarted in between",
        "a reply to the previous round",
        "a voter leads or follows",
        "a voter lost its disk",
        "first round incomplete",
    ],
)
def test_census_is_confirmed_by_two_equal_rounds(
    first_round: list[CensusReply],
    second_round: list[CensusReply],
    is_complete: bool,
    is_confirmed: bool,
) -> None:
    census = RestartCensus()
    census.open_round(1)
    for voter, answered, start in first_round:
        census.record_reply(voter, answered, start)
    if census.is_complete([FIRST, SECOND]):
        census.close_round()
    census.open_round(2)
    for voter, answered, start in second_round:
        census.record_reply(voter, answered, start)
    assert census.is_complete([FIRST, SECOND]) == is_complete
    assert census.is_confirmed() == is_confirmed


@pytest.mark.parametrize("members", [3, 5])
def test_restarted_group_elects_a_leader_within_half_an_election_timeout(members: int) -> None:
    for seed in range(20):
        network = Network(members=members, seed=seed)
        network.start_all()
        network.commit(b"before")
        for name in network.nodes:
            network.crash(name)
        # Messages still in flight are lost, since no replica runs.
        network.run(DOWN_SECONDS)
        network.start_all()
        started_at = network.now
        network.settle()
        assert network.now - started_at < ELECTION_TIMEOUT_SECONDS / 2


def test_missing_voter_delays_the_election_by_the_full_timeout() -> None:
    """The missing voter may be an isolated leader, so the restart promises must not be skipped."""
    for seed in range(20):
        network = Network(seed=seed)
        network.start_all()
        network.commit(b"before")
        for name in network.nodes:
            network.crash(name)
        network.start("n0")
        network.start("n1")
        started_at = network.now
        network.settle()
        assert network.now - started_at >= ELECTION_TIMEOUT_SECONDS
