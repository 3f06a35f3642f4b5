"""Elections right after the whole group restarted, and what the census counts."""

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

Answer = tuple[Identity, int, int]
"""Voter, round it answers, number of its start."""


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
        "same starts twice",
        "one restarted in between",
        "an answer to the round before",
        "one leads or follows",
        "one lost its disk",
        "first round incomplete",
    ],
)
def test_what_two_rounds_prove(
    first_round: list[Answer], second_round: list[Answer], is_complete: bool, is_confirmed: bool
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
def test_a_group_whose_replicas_were_all_killed_leads_again_at_once(members: int) -> None:
    """On the users' bench it took 0.5 s after a kill of all processes (vitrina-ro, scale-1)."""
    for seed in range(20):
        network = Network(members=members, seed=seed)
        network.start_all()
        network.commit(b"before")
        for name in network.nodes:
            network.crash(name)
        # What the former leader sent last has arrived nowhere.
        network.run(DOWN_SECONDS)
        network.start_all()
        started_at = network.now
        network.settle()
        assert network.now - started_at < ELECTION_TIMEOUT_SECONDS / 2


def test_one_that_does_not_come_back_is_waited_for() -> None:
    """It may be a leader that lives behind a cut, so the promises hold for their full time."""
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
