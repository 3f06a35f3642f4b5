"""Reproducible random faults in the simulated network."""

import random

from merlinstand.consensus.settings import ReplicaLimits, ReplicaTimings

from .network import Network

ACTIONS = (
    "propose",
    "propose",
    "propose",
    "read",
    "crash",
    "start",
    "isolate",
    "cut_one_way",
    "heal",
    "freeze",
    "lossy",
    "hand_over",
    "hand_over_by_leader",
    "lose_disk",
    "restart",
    "power_failure",
    "slow_disks",
    "pause",
)

SMALL_LIMITS = ReplicaLimits(
    compaction_entries=12, retained_entries=3, snapshot_chunk_bytes=64, append_entries=4
)
FAST_REPAIR = ReplicaTimings(repair_delay_seconds=4.0)


class Chaos:
    """Applies actions to a network."""

    def __init__(self, network: Network) -> None:
        self.network = network
        self._proposals = 0
        self._reads = 0

    def run_random(self, seed: int, actions: int) -> None:
        rng = random.Random(seed)
        names = sorted(self.network.nodes)
        for _ in range(actions):
            self.act(rng.choice(ACTIONS), rng.choice(names), rng.random())

    def act(self, action: str, name: str, amount: float) -> None:
        """Perform an action, then advance the clock by a time that depends on `amount`."""
        getattr(self, f"_{action}")(name, amount)
        self.network.run(amount * amount * 1.5)

    def _propose(self, name: str, amount: float) -> None:
        for _ in range(1 + int(amount * 8)):
            self._proposals += 1
            self.network.propose(b"p%d" % self._proposals, self.network.nodes[name])
            self.network.propose(b"q%d" % self._proposals)

    def _read(self, name: str, amount: float) -> None:
        """Request a read from every replica that considers itself the leader."""
        for node in self.network.nodes.values():
            if node.replica is not None and node.replica.is_leader:
                self._reads += 1
                self.network.read(node, f"r{self._reads}")

    def _crash(self, name: str, amount: float) -> None:
        if self.network.nodes[name].replica is not None:
            self.network.crash(name)

    def _start(self, name: str, amount: float) -> None:
        for node in self.network.nodes.values():
            if node.replica is None:
                self.network.start(node.name)

    def _isolate(self, name: str, amount: float) -> None:
        self.network.isolate(name)

    def _cut_one_way(self, name: str, amount: float) -> None:
        others = sorted(self.network.nodes)
        self.network.cut.add((name, others[int(amount * len(others))]))

    def _restart(self, name: str, amount: float) -> None:
        if self.network.nodes[name].replica is not None:
            self.network.restart(name)

    def _power_failure(self, name: str, amount: float) -> None:
        for node in self.network.nodes.values():
            if node.replica is not None:
                self.network.crash(node.name)
        self.network.run(amount * 0.5)
        self._start(name, amount)

    def _slow_disks(self, name: str, amount: float) -> None:
        self.network.sync_delay = (0.0005, 0.4 * amount)

    def _hand_over_by_leader(self, name: str, amount: float) -> None:
        leader = self.network.acting_leader()
        if leader is not None:
            self._hand_over(leader.name, amount)

    def _heal(self, name: str, amount: float) -> None:
        self.network.heal()
        self.network.delay = (0.0005, 0.002)
        self.network.sync_delay = (0.0005, 0.003)

    def _freeze(self, name: str, amount: float) -> None:
        self.network.freeze(name, amount * 4.0)

    def _lossy(self, name: str, amount: float) -> None:
        self.network.loss = amount * 0.3
        self.network.duplication = amount * 0.3
        self.network.delay = (0.0005, 0.3 * amount)

    def _hand_over(self, name: str, amount: float) -> None:
        node = self.network.nodes[name]
        if node.replica is not None and node.frozen_until <= self.network.now:
            step = node.replica.hand_over(node.local_time(self.network.now))
            self.network.perform(node, step)

    def _lose_disk(self, name: str, amount: float) -> None:
        """Replace a disk by a blank one, unless an earlier loss is not repaired yet."""
        node = self.network.nodes[name]
        if self._is_intact():
            self.network.lose_disk(name)
            self.network.start(name)
        elif node.replica is None:
            self.network.start(name)

    def _is_intact(self) -> bool:
        """Whether the committed membership lists the current incarnation of every voter."""
        leader = self.network.acting_leader()
        if leader is None or leader.replica is None:
            return False
        committed = leader.replica.membership
        if leader.replica._state.history.current_index > leader.replica.commit_index:
            return False
        incarnations = {n.name: n.disk.incarnation for n in self.network.nodes.values()}
        return len(committed.voters) >= 3 and all(
            incarnations[member.identity.node_id] == member.identity.incarnation
            for member in committed.voters
        )

    def _pause(self, name: str, amount: float) -> None:
        self.network.run(amount * 3.0)

    def finish(self, bound_seconds: float = 40.0) -> None:
        """Remove all faults; the group must commit, then recover, each within the bound."""
        network = self.network
        self._heal("", 0.0)
        for node in network.nodes.values():
            node.frozen_until = min(node.frozen_until, network.now)
            if node.replica is None:
                network.start(node.name)
        network.commit(b"after the last fault", bound_seconds)
        network.run_until(self._is_recovered, bound_seconds)
        network.observer.check_logs_match()

    def _is_recovered(self) -> bool:
        network = self.network
        leader = network.acting_leader()
        if leader is None or leader.replica is None or not self._is_intact():
            return False
        members = leader.replica.membership
        return not members.learners and all(
            network.nodes[m.identity.node_id].applied_index == leader.applied_index
            for m in members.voters
        )


def start_chaos(seed: int, members: int = 3, standbys: int = 1, **options: object) -> Chaos:
    """Start a group with small limits, so that snapshots and repairs are frequent."""
    network = Network(
        members=members,
        standbys=standbys,
        seed=seed,
        drift=0.01,
        limits=SMALL_LIMITS,
        timings=FAST_REPAIR,
        **options,  # type: ignore[arg-type]
    )
    network.start_all()
    network.commit(b"first")
    return Chaos(network)


def play(seed: int, actions: int = 60) -> None:
    """Run random faults on a group whose size depends on the seed."""
    members = 3 if seed % 3 else 5
    standbys = seed % 2 + (1 if seed % 3 else 0)
    chaos = start_chaos(seed, members, standbys)
    chaos.run_random(seed, actions)
    chaos.finish()
