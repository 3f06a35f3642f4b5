"""A held lease is refused by the leader alone: standbys cost no log entries."""

from merlinstand.session.notices import LeaseGained, LeaseUnavailable
from tests.control.group import Group

RESOURCE = "job/a"


def _want(group: Group, node_id: str) -> None:
    session = group.daemon(node_id).session
    group.network.perform(node_id, session.request_lease(RESOURCE, group.network.now))


def _start_pair(seed: int) -> Group:
    group = Group(seed=seed)
    group.wait_for_leader()
    for name in ("coordinator-1", "coordinator-2"):
        group.add_daemon(name)
        group.settle_daemon(name)
    _want(group, "coordinator-1")
    holder = group.daemon("coordinator-1")
    assert group.network.run_until(lambda: bool(holder.of(LeaseGained)), 10.0)
    return group


def _applied_in(group: Group, seconds: float) -> int:
    """How many log entries are applied in a time."""
    leader = group.control(group.wait_for_leader())
    before = leader.state.applied_index
    group.network.run_for(seconds)
    return leader.state.applied_index - before


def test_a_standby_that_asks_adds_nothing_to_the_log() -> None:
    group = _start_pair(seed=21)
    group.network.run_for(3.0)
    alone = _applied_in(group, 20.0)
    _want(group, "coordinator-2")
    with_standby = _applied_in(group, 20.0)
    asked = len(group.daemon("coordinator-2").of(LeaseUnavailable))
    assert asked >= 10
    # Renewals of the holder may shift by one over the border of the stretch.
    assert with_standby <= alone + 1


def test_the_standby_gets_the_lease_of_a_dead_holder() -> None:
    group = _start_pair(seed=22)
    _want(group, "coordinator-2")
    group.network.run_for(5.0)
    standby = group.daemon("coordinator-2")
    assert not standby.of(LeaseGained)
    epoch = group.daemon("coordinator-1").of(LeaseGained)[0].epoch
    group.network.kill("coordinator-1")
    assert group.network.run_until(lambda: bool(standby.of(LeaseGained)), 12.0)
    assert standby.of(LeaseGained)[0].epoch > epoch
