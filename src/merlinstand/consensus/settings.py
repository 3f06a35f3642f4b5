"""Settings of one replica, created by the daemon that owns it."""

import msgspec

from merlinstand.common import constants
from merlinstand.common.ids import NodeId, Zone
from merlinstand.consensus.placement import PlacementRule


class PeerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """A replica's node as configured."""

    node_id: NodeId
    address: str
    """`ip:port` of its internal listener."""
    zone: Zone = Zone("")


class ReplicaTimings(msgspec.Struct, frozen=True, kw_only=True):
    """Timeouts and intervals of a replica."""

    election_timeout_seconds: float = constants.ELECTION_TIMEOUT_SECONDS
    election_timeout_spread_seconds: float = constants.ELECTION_TIMEOUT_SPREAD_SECONDS
    heartbeat_interval_seconds: float = constants.HEARTBEAT_INTERVAL_SECONDS
    leader_lease_seconds: float = constants.LEADER_LEASE_SECONDS
    join_interval_seconds: float = 1.0
    """Interval at which a replica that is not a member sends join requests."""
    hand_over_timeout_seconds: float = 2.0
    """Maximum time for a successor to catch up and be elected."""
    repair_delay_seconds: float = 10.0
    """Time without a reply after which a voter counts as lost and is replaced."""
    standby_freshness_seconds: float = 5.0
    """A standby that has not announced itself for this long is not added."""


class ReplicaLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Size limits."""

    append_bytes: int = 1024 * 1024
    """Maximum payload of one append message; a single larger entry is still sent."""
    append_entries: int = 4096
    appends_in_flight: int = 4
    """Maximum number of unacknowledged append messages with entries per follower."""
    snapshot_chunk_bytes: int = 256 * 1024
    compaction_entries: int = 20_000
    """A snapshot is requested after this many applied entries…"""
    compaction_bytes: int = 16 * 1024 * 1024
    """…or this many payload bytes."""
    retained_entries: int = 2_000
    """Entries retained before a snapshot for followers that lag slightly…"""
    retained_bytes: int = 4 * 1024 * 1024
    """…within this many payload bytes."""
    unsynced_bytes: int = 32 * 1024 * 1024
    """A leader refuses proposals while more payload than this is uncommitted."""


class ReplicaSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Configuration of a replica."""

    node_id: NodeId
    address: str
    zone: Zone = Zone("")
    members: tuple[PeerSettings, ...]
    """The initial voters, which need not include this node."""
    standbys: tuple[PeerSettings, ...] = ()
    """Nodes that may replace a lost voter."""
    bootstrap: bool = True
    """Whether the first of `members`, if its disk is blank, may bootstrap the group.

    Bootstrap needs a vote of every configured member and standby, each with an empty log: see
    docs/DECISIONS/0002-replica-identity.md.
    """
    target_size: int = 0
    """Target number of voters; 0 for the number of `members`."""
    placement: PlacementRule = PlacementRule()
    """Rule for the placement of voters."""
    automatic_repair: bool = True
    timings: ReplicaTimings = ReplicaTimings()
    limits: ReplicaLimits = ReplicaLimits()

    @property
    def is_first_member(self) -> bool:
        """Whether this node is the one that may bootstrap the group."""
        return bool(self.members) and self.members[0].node_id == self.node_id

    @property
    def target_voters(self) -> int:
        """Target number of voters."""
        return self.target_size or len(self.members)

    def peers(self) -> tuple[PeerSettings, ...]:
        """All configured members and standbys except this node."""
        return tuple(peer for peer in self.members + self.standbys if peer.node_id != self.node_id)
