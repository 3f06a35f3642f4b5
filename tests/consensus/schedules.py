"""Fixed fault schedules for guards that random faults rarely exercise.

The unchanged replicas pass each schedule; without the guard an invariant is violated.
"""

from merlinstand.consensus.settings import ReplicaLimits, ReplicaTimings
from merlinstand.consensus.state import Role
from merlinstand.consensus.step import EntryKind

from .chaos import FAST_REPAIR, SMALL_LIMITS
from .network import Network, Node

NO_REPAIR = ReplicaTimings(repair_delay_seconds=1000.0)
ONE_BY_ONE = ReplicaLimits(append_entries=1, appends_in_flight=1)


def _start(seed: int, members: int = 3, **options: object) -> tuple[Network, Node]:
    network = Network(members=members, seed=seed, timings=NO_REPAIR, **options)
    network.start_all()
    network.commit(b"first")
    network.run(1.0)
    return network, network.settle()


def _start_repairing(seed: int) -> tuple[Network, Node]:
    network = Network(members=3, standbys=2, seed=seed, timings=FAST_REPAIR)
    network.start_all()
    network.commit(b"first")
    network.run(1.0)
    return network, network.settle()


def _others(network: Network, *names: str) -> list[str]:
    return [name for name in network.nodes if name not in names]


def _cut_link(network: Network, first: str, second: str) -> None:
    network.cut |= {(first, second), (second, first)}


def _finish(network: Network) -> None:
    network.heal()
    for node in network.nodes.values():
        if node.replica is None:
            network.start(node.name)
    network.commit(b"last")
    network.run(3.0)
    network.observer.check_logs_match()


def follower_isolated_from_leader(seed: int) -> None:
    """One link is cut: the third replica reaches both nodes and must stay with the leader."""
    network, leader = _start(seed)
    _cut_link(network, leader.name, _others(network, leader.name)[0])
    network.run(5.0)
    _finish(network)


def voter_restarts_before_vote_request(seed: int) -> None:
    """A voter restarts between its promise to the leader and a candidate's vote request."""
    network, leader = _start(seed)
    cut_off, voter = _others(network, leader.name)
    _cut_link(network, leader.name, cut_off)
    for _ in range(6):
        replica = network.nodes[cut_off].replica
        assert replica is not None
        state = replica._state
        network.run_until(lambda state=state: state.role is Role.PRE_CANDIDATE, 4.0, required=False)
        network.restart(voter)
        network.run(0.2)
    _finish(network)


def all_followers_restart(seed: int) -> None:
    """Both followers restart at once, and one of them cannot reach the leader."""
    network, leader = _start(seed)
    cut_off, voter = _others(network, leader.name)
    for _ in range(6):
        network.restart(voter)
        network.restart(cut_off)
        network.run(0.1)
        _cut_link(network, leader.name, cut_off)
        network.run(0.4)
        network.heal()
        network.run(1.0)
    _finish(network)


def membership_change_with_slow_disks(seed: int) -> None:
    """Commits are slow, but all replicas reply: at most one membership change is pending."""
    network, leader = _start_repairing(seed)
    replaced = _others(network, leader.name)[0]
    network.lose_disk(replaced)
    network.start(replaced)
    network.sync_delay = (1.0, 1.5)
    for _ in range(40):
        network.run(0.1)
        assert leader.replica is not None
        state = leader.replica._state
        pending = [
            index
            for index in range(state.commit_index + 1, state.log.last_index + 1)
            if state.log.entry_at(index).kind is EntryKind.MEMBERSHIP
        ]
        assert len(pending) <= 1, f"uncommitted membership changes at {pending}"
    network.sync_delay = (0.0005, 0.003)
    _finish(network)


def leader_isolated_after_hand_over(seed: int) -> None:
    """A leader hands over and receives no message of its successor."""
    network, leader = _start(seed)
    assert leader.replica is not None
    network.perform(leader, leader.replica.hand_over(leader.local_time(network.now)))
    for name in _others(network, leader.name):
        network.cut.add((name, leader.name))
    network.run(2.0)
    _finish(network)


def old_entry_on_a_majority(seed: int) -> None:
    """A majority holds an entry of an older term, then a newer log wins (Raft, figure 8)."""
    network, first = _start(seed, members=5, limits=ONE_BY_ONE)
    partner, newer, third, idle = _others(network, first.name)
    for name in (newer, third, idle):
        _cut_link(network, first.name, name)
        _cut_link(network, partner, name)
    old = network.propose(b"old", first)
    assert old is not None
    network.run_until(lambda: _last_index(network, partner) >= old)
    network.crash(first.name)
    network.crash(partner)
    # Only `newer` may be elected: the others are cut off from each other.
    _cut_link(network, third, idle)
    network.run_until(lambda: _role(network, newer) is Role.LEADER)
    _cut_link(network, newer, third)
    _cut_link(network, newer, idle)
    network.run_until(lambda: network.nodes[newer].disk.running is None, 1.0)
    network.crash(newer)
    # The two nodes with the old entry restart; the third one receives it, but no newer entry.
    network.heal()
    for name in _others(network, idle):
        _cut_link(network, idle, name)
    network.start(first.name)
    network.start(partner)
    network.run_until(lambda: _last_index(network, third) >= old)
    for name in (first.name, partner):
        network.cut.add((name, third))
    network.run(0.05)
    network.crash(first.name)
    network.crash(partner)
    network.heal()
    network.start(newer)
    network.commit(b"of the newer log")
    _finish(network)


def membership_change_is_truncated(seed: int) -> None:
    """An isolated leader logs a replacement order that the next leader's log does not contain."""
    network, leader = _start(seed, standbys=1)
    network.isolate(leader.name)
    replica = leader.replica
    assert replica is not None
    order = replica.request_replacement(
        None, _others(network, leader.name)[0], _time(network, leader)
    )
    assert order.is_ok()
    network.perform(leader, order.unwrap().step)
    network.run(4.0)
    network.commit(b"in the next term")
    network.heal()
    network.run(3.0)
    memberships = {
        node.name: node.replica.membership
        for node in network.nodes.values()
        if node.replica is not None and node.replica.membership.voters
    }
    assert len(set(memberships.values())) == 1, f"memberships differ: {memberships}"


def snapshot_replaces_conflicting_log(seed: int) -> None:
    """An isolated leader appends entries that no other node holds, then needs a snapshot."""
    network, leader = _start(seed, limits=SMALL_LIMITS)
    network.isolate(leader.name)
    for number in range(60):
        network.propose(b"lost %d" % number, leader)
    network.run(4.0)
    for number in range(30):
        network.commit(b"kept %d" % number)
    network.heal()
    network.run(3.0)
    network.observer.check_logs_match()
    _finish(network)


def _time(network: Network, node: Node) -> float:
    return node.local_time(network.now)


def _last_index(network: Network, name: str) -> int:
    replica = network.nodes[name].replica
    return 0 if replica is None else replica._state.log.last_index


def _role(network: Network, name: str) -> Role | None:
    replica = network.nodes[name].replica
    return None if replica is None else replica._state.role
