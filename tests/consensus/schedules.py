"""Schedules written by hand for guards that random faults hardly ever put to the test.

Each is legal for the unchanged replicas; with its guard taken out an invariant breaks.
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


def _part(network: Network, first: str, second: str) -> None:
    network.cut |= {(first, second), (second, first)}


def _finish(network: Network) -> None:
    network.heal()
    for node in network.nodes.values():
        if node.replica is None:
            network.start(node.name)
    network.commit(b"last")
    network.run(3.0)
    network.observer.check_logs_match()


def follower_does_not_hear_the_leader(seed: int) -> None:
    """One link is cut in silence: the third replica hears both and must stay with the leader."""
    network, leader = _start(seed)
    _part(network, leader.name, _others(network, leader.name)[0])
    network.run(5.0)
    _finish(network)


def voter_restarts_as_it_is_asked(seed: int) -> None:
    """A voter restarts between its promise to the leader and a candidate's question."""
    network, leader = _start(seed)
    cut_off, voter = _others(network, leader.name)
    _part(network, leader.name, cut_off)
    for _ in range(6):
        replica = network.nodes[cut_off].replica
        assert replica is not None
        state = replica._state
        network.run_until(lambda state=state: state.role is Role.PRE_CANDIDATE, 4.0, required=False)
        network.restart(voter)
        network.run(0.2)
    _finish(network)


def whole_group_restarts_but_the_leader(seed: int) -> None:
    """Every voter but the leader restarts at once, and one of them does not reach the leader."""
    network, leader = _start(seed)
    cut_off, voter = _others(network, leader.name)
    for _ in range(6):
        network.restart(voter)
        network.restart(cut_off)
        network.run(0.1)
        _part(network, leader.name, cut_off)
        network.run(0.4)
        network.heal()
        network.run(1.0)
    _finish(network)


def changes_of_members_wait_for_slow_disks(seed: int) -> None:
    """Nothing commits for a while, but all are heard: the leader has one change under way."""
    network, leader = _start_repairing(seed)
    replaced = _others(network, leader.name)[0]
    network.lose_disk(replaced)
    network.start(replaced)
    network.sync_delay = (1.0, 1.5)
    for _ in range(40):
        network.run(0.1)
        assert leader.replica is not None
        state = leader.replica._state
        under_way = [
            index
            for index in range(state.commit_index + 1, state.log.last_index + 1)
            if state.log.entry_at(index).kind is EntryKind.MEMBERSHIP
        ]
        assert len(under_way) <= 1, f"membership changes pile up at {under_way}"
    network.sync_delay = (0.0005, 0.003)
    _finish(network)


def leader_is_not_heard_after_its_hand_over(seed: int) -> None:
    """A leader hands over and is cut off before it hears of its successor."""
    network, leader = _start(seed)
    assert leader.replica is not None
    network.perform(leader, leader.replica.hand_over(leader.local_time(network.now)))
    for name in _others(network, leader.name):
        network.cut.add((name, leader.name))
    network.run(2.0)
    _finish(network)


def old_entry_on_a_majority(seed: int) -> None:
    """An entry of an older term is on a majority, then a newer log wins (Raft, figure 8)."""
    network, first = _start(seed, members=5, limits=ONE_BY_ONE)
    partner, newer, third, idle = _others(network, first.name)
    for name in (newer, third, idle):
        _part(network, first.name, name)
        _part(network, partner, name)
    old = network.propose(b"old", first)
    assert old is not None
    network.run_until(lambda: _last_index(network, partner) >= old)
    network.crash(first.name)
    network.crash(partner)
    # Only `newer` may be elected: the others are cut off from each other.
    _part(network, third, idle)
    network.run_until(lambda: _role(network, newer) is Role.LEADER)
    _part(network, newer, third)
    _part(network, newer, idle)
    network.run_until(lambda: network.nodes[newer].disk.running is None, 1.0)
    network.crash(newer)
    # Back come the two with the old entry; the third replica receives it, but no newer one.
    network.heal()
    for name in _others(network, idle):
        _part(network, idle, name)
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


def membership_change_is_taken_back(seed: int) -> None:
    """A leader that is cut off logs a wish; the next leader's log has no such entry."""
    network, leader = _start(seed, standbys=1)
    network.isolate(leader.name)
    replica = leader.replica
    assert replica is not None
    wish = replica.request_replacement(
        None, _others(network, leader.name)[0], _time(network, leader)
    )
    assert wish.is_ok()
    network.perform(leader, wish.unwrap().step)
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


def snapshot_over_a_conflicting_log(seed: int) -> None:
    """A leader that is cut off gathers entries that nobody else has, then needs a snapshot."""
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
