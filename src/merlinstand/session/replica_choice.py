"""Which control replica a daemon asks.

Every daemon ranks the replicas by a hash of both names, so that daemons spread evenly over
them and over the survivors of a loss. While nobody answers, more and more are asked at
once, and peer daemons too.
"""

import heapq
import random
from collections.abc import Mapping, Sequence

import xxhash

from merlinstand.common.ids import NodeId
from merlinstand.configuration.objects import Daemon
from merlinstand.control.settings import ControlMember
from merlinstand.kernel.effects import LearnAddress

MAXIMUM_CONCURRENT_REPLICAS = 4
"""Most control replicas asked at once; their number doubles with each silence. Chosen, not
measured."""

CONCURRENT_PEERS = 2
"""Peer daemons asked beside them for the configuration. Chosen, not measured."""

MAXIMUM_BACKOFF_FACTOR = 4
"""By how much the wait for an answer grows while nobody gives one."""

MAXIMUM_PEER_CANDIDATES = 16
"""Peers among which a daemon chooses, always the same few.

Each peer that is ever asked costs a connection that stays open. Without a bound a control group
that is silent for a minute turns a large fleet into a full mesh.
"""


def rank_members(node_id: str, members: Sequence[ControlMember]) -> tuple[NodeId, ...]:
    """Rank control replicas for one daemon, most preferred first."""
    ranked = sorted(members, key=lambda member: _rendezvous_hash(node_id, member.node_id))
    return tuple(NodeId(member.node_id) for member in ranked)


class ReplicaSelector:
    """The replica in use, and whom to ask when it is silent."""

    def __init__(
        self, node_id: str, members: Sequence[ControlMember], peers: Sequence[ControlMember]
    ) -> None:
        """Make the choice of a daemon that has asked nobody.

        Args:
            node_id: The daemon's own name.
            members: Control replicas.
            peers: Daemons known from the settings.
        """
        self._node_id = node_id
        self._ranked = rank_members(node_id, members)
        self._peers = {peer.node_id: peer.address for peer in peers if peer.node_id != node_id}
        self._position = 0
        self._failures = 0

    @property
    def preferred(self) -> NodeId:
        """The first of this daemon's ranking."""
        return self._ranked[0]

    @property
    def current(self) -> NodeId:
        """The replica in use."""
        return self._ranked[self._position]

    @property
    def backoff_factor(self) -> int:
        """Factor of the wait for an answer: many daemons must not hold a slow group down.

        The first two rounds are quick, since a single silent replica is the usual case.
        """
        return min(MAXIMUM_BACKOFF_FACTOR, 2 ** max(0, self._failures - 1))

    def record_success(self, replica: NodeId) -> None:
        """Stay with a replica that gave a recent proof; a peer is asked only in need."""
        self._failures = 0
        if replica in self._ranked:
            self._position = self._ranked.index(replica)

    def record_failure(self) -> None:
        """Count a round of silence or of answers without proof."""
        self._failures += 1

    def choose_targets(
        self, daemons: Mapping[str, Daemon], generator: random.Random
    ) -> tuple[tuple[NodeId, ...], tuple[LearnAddress, ...]]:
        """Choose whom to ask now.

        Args:
            daemons: Daemons of the configuration in force.
            generator: Source of random choices.

        Returns:
            Receivers, and the addresses of those that are not control replicas.
        """
        if self._failures == 0:
            return (self.current,), ()
        count = min(2**self._failures, MAXIMUM_CONCURRENT_REPLICAS, len(self._ranked))
        replicas = [self._next_replica() for _ in range(count)]
        if self._failures < 2:
            return tuple(replicas), ()
        addresses = self._choose_peers(daemons, generator)
        peers = [address.node_id for address in addresses]
        return (*replicas, *peers), addresses

    def _next_replica(self) -> NodeId:
        self._position = (self._position + 1) % len(self._ranked)
        return self.current

    def _choose_peers(
        self, daemons: Mapping[str, Daemon], generator: random.Random
    ) -> tuple[LearnAddress, ...]:
        known = dict(self._peers)
        for daemon in daemons.values():
            known[daemon.node_id] = daemon.address
        known.pop(self._node_id, None)
        names = heapq.nsmallest(MAXIMUM_PEER_CANDIDATES, known, key=self._hash_with)
        chosen = generator.sample(names, min(CONCURRENT_PEERS, len(names)))
        return tuple(LearnAddress(NodeId(name), known[name]) for name in chosen)

    def _hash_with(self, peer: str) -> int:
        return _rendezvous_hash(self._node_id, peer)


def _rendezvous_hash(node_id: str, other: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{node_id}\0{other}".encode())
