"""Targets of a daemon's pulls while no control replica replies."""

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


def test_long_outage_connects_each_daemon_to_few_peers() -> None:
    selector = ReplicaSelector("gateway-1", MEMBERS, ())
    generator = random.Random(1)
    contacted: set[str] = set()
    for _ in range(500):
        selector.record_failure()
        _, addresses = selector.choose_targets(DAEMONS, generator)
        contacted.update(address.node_id for address in addresses)
    assert len(contacted) == MAXIMUM_PEER_CANDIDATES
    assert "gateway-1" not in contacted


def test_different_daemons_select_different_peers() -> None:
    contacted: set[str] = set()
    for name in list(DAEMONS)[:100]:
        selector = ReplicaSelector(name, MEMBERS, ())
        for _ in range(20):
            selector.record_failure()
            _, addresses = selector.choose_targets(DAEMONS, random.Random(len(contacted)))
            contacted.update(address.node_id for address in addresses)
    assert len(contacted) > 300


def test_backoff_factor_grows_with_failures_and_resets_on_success() -> None:
    selector = ReplicaSelector("gateway-1", MEMBERS, ())
    factors = []
    for _ in range(6):
        factors.append(selector.backoff_factor)
        selector.record_failure()
    assert factors == [1, 1, 2, 4, 4, 4]
    assert factors[-1] == MAXIMUM_BACKOFF_FACTOR
    selector.record_success(selector.current)
    assert selector.backoff_factor == 1
