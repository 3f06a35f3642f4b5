"""Requests for a lease with another holder are refused without log entries."""

from merlinstand.session.notices import LeaseGained, LeaseUnavailable
from tests.control.group import Group

RESOURCE = "job/a"


def _request_lease(group: Group, node_id: str) -> None:
    session = group.daemon(node_id).session
    group.network.perform(node_id, session.request_lease(RESOURCE, group.network.now))


def _start_pair(seed: int) -> Group:
    group = Group(seed=seed)
    group.wait_for_leader()
    for name in ("coordinator-1", "coordinator-2"):
        group.add_daemon(name)
        group.settle_daemon(name)
    _request_lease(group, "coordinator-1")
    holder = group.daemon("coordinator-1")
    assert group.network.run_until(lambda: bool(holder.of(LeaseGained)), 10.0)
    return group


def _count_applied(group: Group, seconds: float) -> int:
    """Return the number of log entries applied in a period."""
    leader = group.control(group.wait_for_leader())
    before = leader.state.applied_index
    group.network.run_for(seconds)
    return leader.state.applied_index - before


def test_refused_standby_adds_no_log_entries() -> None:
    group = _start_pair(seed=21)
    group.network.run_for(3.0)
    without_standby = _count_applied(group, 20.0)
    _request_lease(group, "coordinator-2")
    with_standby = _count_applied(group, 20.0)
    refusals = len(group.daemon("coordinator-2").of(LeaseUnavailable))
    assert refusals >= 10
    # One more renewal of the holder may fall into the period.
    assert with_standby <= without_standby + 1


def test_standby_acquires_the_lease_of_a_killed_holder() -> None:
    group = _start_pair(seed=22)
    _request_lease(group, "coordinator-2")
    group.network.run_for(5.0)
    standby = group.daemon("coordinator-2")
    assert not standby.of(LeaseGained)
    epoch = group.daemon("coordinator-1").of(LeaseGained)[0].epoch
    group.network.kill("coordinator-1")
    assert group.network.run_until(lambda: bool(standby.of(LeaseGained)), 12.0)
    assert standby.of(LeaseGained)[0].epoch > epoch
