"""Whom a daemon asks while control is silent."""

import random

from merlinstand.configuration.objects import Daemon
from merlinstand.control.settings import ControlMember
from merlinstand.session.replica_choice import (
    MAXIMUM_BACKOFF_FACTOR,
    MAXIMUM_PEER_CANDIDATES,
    ReplicaSelector,
)

MEMBERS = tuple(ControlMember(f"control-{number}", f"10.0.0.{number}:1") for number in range(7))
DAEMONS = {
    name: Daemon(name, "gateway", f"10.1.0.1:{number}", "", "zone")
    for number, name in enumerate(f"gateway-{number}" for number in range(630))
}


def test_a_long_silence_connects_each_daemon_to_a_few_peers_only() -> None:
    choice = ReplicaSelector("gateway-1", MEMBERS, ())
    generator = random.Random(1)
    asked: set[str] = set()
    for _ in range(500):
        choice.record_failure()
        _, addresses = choice.choose_targets(DAEMONS, generator)
        asked.update(address.node_id for address in addresses)
    assert len(asked) == MAXIMUM_PEER_CANDIDATES
    assert "gateway-1" not in asked


def test_peers_of_different_daemons_differ() -> None:
    asked: set[str] = set()
    for name in list(DAEMONS)[:100]:
        choice = ReplicaSelector(name, MEMBERS, ())
        for _ in range(20):
            choice.record_failure()
            _, addresses = choice.choose_targets(DAEMONS, random.Random(len(asked)))
            asked.update(address.node_id for address in addresses)
    assert len(asked) > 300


def test_waits_grow_while_nobody_answers_and_shrink_again() -> None:
    choice = ReplicaSelector("gateway-1", MEMBERS, ())
    waits = []
    for _ in range(6):
        waits.append(choice.backoff_factor)
        choice.record_failure()
    assert waits == [1, 1, 2, 4, 4, 4]
    assert waits[-1] == MAXIMUM_BACKOFF_FACTOR
    choice.record_success(choice.current)
    assert choice.backoff_factor == 1
