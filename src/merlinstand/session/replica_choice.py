"""Selects the control replicas and peers from which a daemon pulls the configuration.

Every daemon ranks the replicas by a hash of both names (rendezvous hashing), which spreads the
daemons evenly over the replicas, also after a loss. While no proof arrives, a daemon pulls from
more replicas at once, and from peer daemons as well.
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
"""Maximum number of control replicas contacted at once; doubles from 1 with each failed round."""

CONCURRENT_PEERS = 2
"""Peer daemons contacted in addition to the control replicas."""

MAXIMUM_BACKOFF_FACTOR = 4
"""Maximum factor by which the pull timeout is extended while rounds fail."""

MAXIMUM_PEER_CANDIDATES = 16
"""Fixed number of peers from which a daemon selects.

Each contacted peer costs a connection that stays open. Without this limit, a control group that is
unreachable for a minute would turn a large fleet into a full mesh.
"""


def rank_members(node_id: str, members: Sequence[ControlMember]) -> tuple[NodeId, ...]:
    """Return the control replicas ranked for one daemon, most preferred first."""
    ranked = sorted(members, key=lambda member: _rendezvous_hash(node_id, member.node_id))
    return tuple(NodeId(member.node_id) for member in ranked)


class ReplicaSelector:
    """Selects the replica in use, and further targets while rounds fail."""

    def __init__(
        self, node_id: str, members: Sequence[ControlMember], peers: Sequence[ControlMember]
    ) -> None:
        """The first replica in use is the preferred one.

        Args:
            node_id: The daemon's own name.
            members: Control replicas.
            peers: Peer daemons given in the settings.
        """
        self._node_id = node_id
        self._ranked = rank_members(node_id, members)
        self._peers = {peer.node_id: peer.address for peer in peers if peer.node_id != node_id}
        self._position = 0
        self._failures = 0

    @property
    def preferred(self) -> NodeId:
        """The highest-ranked replica for this daemon."""
        return self._ranked[0]

    @property
    def current(self) -> NodeId:
        """The replica in use."""
        return self._ranked[self._position]

    @property
    def backoff_factor(self) -> int:
        """Factor of the pull timeout, so that many daemons do not overload a slow control group.

        It is 1 in the first two rounds, since usually only a single replica is unreachable.
        """
        return min(MAXIMUM_BACKOFF_FACTOR, 2 ** max(0, self._failures - 1))

    def record_success(self, replica: NodeId) -> None:
        """Record a recent proof; its sender is used from now on if it is a control replica."""
        self._failures = 0
        if replica in self._ranked:
            self._position = self._ranked.index(replica)

    def record_failure(self) -> None:
        """Count a round that timed out without a recent proof."""
        self._failures += 1

    def choose_targets(
        self, daemons: Mapping[str, Daemon], generator: random.Random
    ) -> tuple[tuple[NodeId, ...], tuple[LearnAddress, ...]]:
        """Choose the receivers of the next pull.

        Args:
            daemons: Daemons registered in the configuration in effect.
            generator: Source of random choices.

        Returns:
            The receivers, and the addresses of those that are not control replicas.
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
