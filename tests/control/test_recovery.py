"""Recovery from lost disks and replicas, and of replicas that are far behind."""

from merlinstand.control.settings import ControlTimings
from tests.control.group import Group, pool_object, put


def _change(group: Group, first: int, count: int) -> None:
    for number in range(first, first + count):
        name = f"p{number % 7}"
        value = pool_object(name, count=number % 40 + 1)
        assert group.operator(f"c{number}", put(f"pool/{name}", value))[0] == 200


def _all_equal(group: Group, names: set[str]) -> bool:
    return len({group.control(name).state.snapshot() for name in names}) == 1


def _followers(group: Group) -> list[str]:
    leader = group.wait_for_leader()
    return [member.node_id for member in group.members if member.node_id != leader]


def test_replica_far_behind_catches_up_by_snapshot() -> None:
    group = Group(seed=31, timings=ControlTimings(snapshot_every_entries=50))
    _change(group, 0, 60)
    name = _followers(group)[0]
    group.network.kill(name)
    # The log retains 2,000 entries before a snapshot for followers that are slightly behind.
    _change(group, 100, 2_300)
    group.network.start(name)
    group.network.run_for(5.0)
    assert _all_equal(group, {member.node_id for member in group.members})
    assert group.network.message_counts.get("SnapshotChunk", 0) > 0


def test_replica_with_an_empty_disk_becomes_a_voter_before_a_second_loss() -> None:
    group = Group(seed=32, timings=ControlTimings(replacement_delay_seconds=3.0))
    _change(group, 0, 20)
    first, second = _followers(group)
    group.lose_disk(first)
    group.network.run_for(1.0)
    group.network.start(first)
    leader = group.wait_for_leader()
    returned = group.network.processes[first].incarnation

    def is_voter() -> bool:
        voters = group.control(leader).replica.membership.voters
        return (first, returned) in {
            (member.identity.node_id, member.identity.incarnation) for member in voters
        }

    assert group.network.run_until(is_voter, 30.0), (
        "the replica with an empty disk did not become a voter"
    )
    group.network.run_for(1.0)
    group.network.kill(second)
    _change(group, 50, 5)
    assert _all_equal(group, {leader, first}) or group.network.run_until(
        lambda: _all_equal(group, {leader, first}), 3.0
    )


def test_lost_voter_is_replaced_from_the_standbys_without_an_operator() -> None:
    group = Group(
        size=3, standbys=1, seed=33, timings=ControlTimings(replacement_delay_seconds=3.0)
    )
    _change(group, 0, 20)
    lost = next(name for name in _followers(group) if name != "control-4")
    group.network.kill(lost)
    expected = {"control-1", "control-2", "control-3", "control-4"} - {lost}
    assert group.network.run_until(lambda: group.voters() == expected, 60.0)
    _change(group, 50, 5)
    group.network.run_for(1.0)
    assert _all_equal(group, expected)


def test_operator_replaces_a_running_replica() -> None:
    group = Group(size=3, standbys=1, seed=34)
    _change(group, 0, 10)
    leaving = next(name for name in _followers(group) if name != "control-4")
    command = {
        "command": "change_membership", "add_node": "control-4", "remove_node": leaving,
    }  # fmt: skip
    assert group.operator("m1", command)[0] == 200
    expected = {"control-1", "control-2", "control-3", "control-4"} - {leaving}
    assert group.network.run_until(lambda: group.voters() == expected, 60.0)


def test_replaced_leader_and_new_replicas_serve_the_sessions() -> None:
    group = Group(
        size=3, standbys=1, seed=35, timings=ControlTimings(replacement_delay_seconds=3.0)
    )
    group.add_daemon("gateway-1")
    group.settle_daemon("gateway-1")
    group.network.kill(group.wait_for_leader())
    group.wait_for_leader()
    assert group.network.run_until(lambda: "control-4" in group.voters(), 60.0)
    other = next(name for name in sorted(group.voters()) if name != group.leader)
    group.network.kill(other)
    _change(group, 0, 3)
    assert group.network.run_until(
        lambda: len(group.daemon("gateway-1").session.view.pools) == 3, 5.0
    )
