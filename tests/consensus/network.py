"""Deterministic simulated network of replicas on a virtual clock.

All randomness comes from one seed. The invariants of `Observer` are checked after every event.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from merlinstand.common.ids import NodeId
from merlinstand.consensus.replica import Replica
from merlinstand.consensus.settings import PeerSettings, ReplicaSettings
from merlinstand.consensus.step import LeadershipChange, Step
from merlinstand.kernel.effects import (
    AppendRecords,
    CancelTimer,
    SaveSnapshot,
    SendMessage,
    SetTimer,
)
from merlinstand.kernel.events import (
    Event,
    MessageReceived,
    RecordsSynced,
    SnapshotSaved,
    Started,
    TimerFired,
)

from .observer import Observer


class Disk:
    """State of one node that survives a crash."""

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.snapshot: bytes | None = None
        self.records: list[bytes] = []
        self.running: AppendRecords | SaveSnapshot | None = None

    def finish(self) -> None:
        write, self.running = self.running, None
        if isinstance(write, SaveSnapshot):
            self.snapshot = write.data
            self.records = list(write.records)
        elif isinstance(write, AppendRecords):
            self.records.extend(write.records)

    def crash(self, rng: random.Random) -> None:
        """Lose all or the tail of a running append; a running snapshot is saved entirely or not."""
        write = self.running
        if isinstance(write, SaveSnapshot) and rng.random() < 0.5:
            self.finish()
        elif isinstance(write, AppendRecords):
            self.records.extend(write.records[: rng.randint(0, len(write.records))])
        self.running = None


class Node:
    """One node: its clock, its disk and, if it runs, its replica."""

    def __init__(self, name: str, settings: ReplicaSettings, disk: Disk) -> None:
        self.name = name
        self.settings = settings
        self.disk = disk
        self.replica: Replica | None = None
        self.run = 0
        self.clock_rate = 1.0
        self.clock_offset = 0.0
        self.frozen_until = 0.0
        self.timers: dict[str, int] = {}
        self.applied: list[bytes] = []
        self.applied_index = 0

    def local_time(self, now: float) -> float:
        return now * self.clock_rate + self.clock_offset


class Network:
    """Nodes, the messages between them, and injected faults."""

    def __init__(
        self,
        members: int = 3,
        standbys: int = 0,
        seed: int = 0,
        make_replica: Callable[[ReplicaSettings], Replica] = Replica,
        drift: float = 0.0,
        **overrides: Any,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = 0.0
        self.duplication = 0.0
        self.delay = (0.0005, 0.002)
        self.sync_delay = (0.0005, 0.003)
        self.cut: set[tuple[str, str]] = set()
        self.observer = Observer(self)
        self.message_count = 0
        self._make_replica = make_replica
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._incarnations = itertools.count(1000)
        names = [f"n{i}" for i in range(members + standbys)]
        peers = tuple(
            PeerSettings(node_id=NodeId(name), address=f"10.0.0.{i}:1", zone=f"z{i % 3}")
            for i, name in enumerate(names)
        )
        self.nodes: dict[str, Node] = {}
        for peer in peers:
            settings = ReplicaSettings(
                node_id=peer.node_id,
                address=peer.address,
                zone=peer.zone,
                members=peers[:members],
                standbys=peers[members:],
                **overrides,
            )
            node = Node(peer.node_id, settings, Disk(next(self._incarnations)))
            node.clock_rate = 1.0 + self.rng.choice((-drift, 0.0, drift))
            node.clock_offset = self.rng.uniform(0.0, 1000.0)
            self.nodes[peer.node_id] = node

    # Nodes

    def start_all(self) -> None:
        for name in self.nodes:
            self.start(name)

    def start(self, name: str) -> None:
        node = self.nodes[name]
        assert node.replica is None
        node.run += 1
        node.timers.clear()
        node.applied, node.applied_index = [], 0
        node.frozen_until = 0.0
        node.replica = self._make_replica(node.settings)
        event = Started(
            node_id=NodeId(name),
            incarnation=node.disk.incarnation,
            seed=self.rng.getrandbits(32),
            snapshot=node.disk.snapshot,
            records=tuple(node.disk.records),
        )
        self._perform(node, node.replica.start(event, node.local_time(self.now)))

    def crash(self, name: str) -> None:
        node = self.nodes[name]
        node.replica = None
        node.disk.crash(self.rng)

    def restart(self, name: str) -> None:
        self.crash(name)
        self.start(name)

    def lose_disk(self, name: str) -> None:
        self.crash(name)
        self.nodes[name].disk = Disk(next(self._incarnations))

    def freeze(self, name: str, seconds: float) -> None:
        self.nodes[name].frozen_until = self.now + seconds

    def isolate(self, name: str) -> None:
        for other in self.nodes:
            self.cut |= {(name, other), (other, name)}

    def heal(self) -> None:
        self.cut.clear()
        self.loss = self.duplication = 0.0

    # Time

    def after(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.now + delay, next(self._sequence), action))

    def run(self, seconds: float) -> None:
        """Advance the clock, processing events."""
        self.run_until(lambda: False, seconds, required=False)

    def run_until(
        self, condition: Callable[[], bool], seconds: float = 30.0, required: bool = True
    ) -> None:
        end = self.now + seconds
        while not condition():
            if not self._queue or self._queue[0][0] > end:
                self.now = end
                assert not required, f"not reached within {seconds} s"
                return
            self.now, _, action = heapq.heappop(self._queue)
            action()

    # Events and effects

    def deliver(self, node: Node, run: int, event: Event) -> None:
        if node.replica is None or node.run != run:
            return
        if node.frozen_until > self.now:
            self.after(node.frozen_until - self.now, lambda: self.deliver(node, run, event))
            return
        self._perform(node, node.replica.handle(event, node.local_time(self.now)))

    def _perform(self, node: Node, step: Step) -> None:
        for effect in step.effects:
            if isinstance(effect, SendMessage):
                self._send(node, effect)
            elif isinstance(effect, SetTimer):
                self._set_timer(node, effect)
            elif isinstance(effect, CancelTimer):
                node.timers.pop(effect.name, None)
            elif isinstance(effect, AppendRecords | SaveSnapshot):
                self._write(node, effect)
        self._apply(node, step)
        self.observer.check(node, step)
        if step.snapshot_wanted:
            assert node.replica is not None
            state = encode_state(node.applied)
            compacted = node.replica.compact(node.applied_index, state, node.local_time(self.now))
            self._perform(node, compacted)

    def _apply(self, node: Node, step: Step) -> None:
        assert node.replica is not None
        if step.restored is not None:
            node.applied = decode_state(step.restored)
            node.applied_index = node.replica._state.snapshot.last_index
        for entry in step.committed:
            assert entry.index == node.applied_index + 1, "delivered in order, without gaps"
            node.applied_index = entry.index
            node.applied.append(entry.payload)
        if step.leadership is LeadershipChange.GAINED:
            self.observer.elected(node)

    def _send(self, node: Node, effect: SendMessage) -> None:
        self.message_count += 1
        receiver = self.nodes.get(effect.receiver)
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            lost = self.rng.random() < self.loss
            delay = self.rng.uniform(*self.delay)
            if lost or receiver is None or (node.name, receiver.name) in self.cut:
                continue
            event = MessageReceived(NodeId(node.name), effect.message)
            self.after(delay, self._arrival(node.name, receiver, event))

    def _arrival(self, sender: str, receiver: Node, event: Event) -> Callable[[], None]:
        def arrive() -> None:
            if (sender, receiver.name) not in self.cut:
                self.deliver(receiver, receiver.run, event)

        return arrive

    def _set_timer(self, node: Node, effect: SetTimer) -> None:
        ticket = next(self._sequence)
        node.timers[effect.name] = ticket
        run = node.run

        def fire() -> None:
            if node.run == run and node.timers.get(effect.name) == ticket:
                if node.frozen_until > self.now:
                    self.after(node.frozen_until - self.now, fire)
                    return
                del node.timers[effect.name]
                self.deliver(node, run, TimerFired(effect.name))

        self.after(effect.delay_seconds / node.clock_rate, fire)

    def _write(self, node: Node, effect: AppendRecords | SaveSnapshot) -> None:
        assert node.disk.running is None, "one disk write at a time"
        node.disk.running = effect
        run = node.run

        def synced() -> None:
            if node.run == run and node.replica is not None:
                node.disk.finish()
                kind = RecordsSynced if isinstance(effect, AppendRecords) else SnapshotSaved
                self.deliver(node, run, kind(effect.token))

        self.after(self.rng.uniform(*self.sync_delay), synced)

    # Clients

    def acting_leader(self) -> Node | None:
        for node in self.nodes.values():
            awake = node.replica is not None and node.frozen_until <= self.now
            if awake and node.replica.may_act(node.local_time(self.now)):
                return node
        return None

    def settle(self, seconds: float = 30.0) -> Node:
        """Run until a leader may act, and return it."""
        self.run_until(lambda: self.acting_leader() is not None, seconds)
        leader = self.acting_leader()
        assert leader is not None
        return leader

    def propose(self, payload: bytes, node: Node | None = None) -> int | None:
        """Propose at the leader or a given node; returns the log index, or None if refused."""
        node = node or self.acting_leader()
        if node is None or node.replica is None or node.frozen_until > self.now:
            return None
        result = node.replica.propose(payload, node.local_time(self.now))
        if result.is_err():
            return None
        proposal = result.unwrap()
        self.observer.proposed(proposal.index, proposal.term, self.now)
        self._perform(node, proposal.step)
        return proposal.index

    def read(self, node: Node, read_id: str) -> None:
        if node.replica is None or node.frozen_until > self.now:
            return
        self.observer.on_read_requested(read_id)
        self._perform(node, node.replica.read_barrier(read_id, node.local_time(self.now)))

    def commit(self, payload: bytes, seconds: float = 30.0) -> int:
        """Propose until the payload is committed; returns the log index."""
        deadline = self.now + seconds
        while self.now < deadline:
            leader = self.settle(deadline - self.now)
            index = self.propose(payload, leader)
            if index is None:
                self.run(0.05)
                continue
            term = leader.replica.term if leader.replica is not None else -1
            self.run_until(lambda i=index: i in self.observer.committed, 2.0, required=False)
            found = self.observer.committed.get(index)
            if found is not None and found.term == term and found.payload == payload:
                return index
        raise AssertionError(f"{payload!r} was not committed within {seconds} s")

    def perform(self, node: Node, step: Step) -> None:
        """Perform a step that a test obtained from the replica."""
        self._perform(node, step)


def encode_state(applied: list[bytes]) -> bytes:
    return b"\n".join(payload.hex().encode() for payload in applied)


def decode_state(state: bytes) -> list[bytes]:
    return [bytes.fromhex(line.decode()) for line in state.split(b"\n")] if state else []
