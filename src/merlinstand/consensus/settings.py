"""Settings of one replica of the control group.

Plain data, made by the daemon that owns the replica (for `control`, by `control/replica_settings`).
"""

import msgspec

from merlinstand.common import constants
from merlinstand.common.ids import NodeId, Zone
from merlinstand.consensus.placement import PlacementRule


class PeerSettings(msgspec.Struct, frozen=True, kw_only=True):
    """A control node named in the settings file."""

    node_id: NodeId
    address: str
    """`ip:port` of its internal listener."""
    zone: Zone = Zone("")


class ReplicaTimings(msgspec.Struct, frozen=True, kw_only=True):
    """Time limits; the defaults are the shared constants."""

    election_timeout_seconds: float = constants.ELECTION_TIMEOUT_SECONDS
    election_timeout_spread_seconds: float = constants.ELECTION_TIMEOUT_SPREAD_SECONDS
    heartbeat_interval_seconds: float = constants.HEARTBEAT_INTERVAL_SECONDS
    leader_lease_seconds: float = constants.LEADER_LEASE_SECONDS
    join_interval_seconds: float = 1.0
    """How often a replica outside the group announces itself."""
    hand_over_timeout_seconds: float = 2.0
    """Longest wait for a successor to catch up and be elected."""
    repair_delay_seconds: float = 10.0
    """Silence after which a voter counts as lost and is replaced."""
    standby_freshness_seconds: float = 5.0
    """A standby that has not announced itself for this long is not taken in."""


class ReplicaLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Size limits."""

    append_bytes: int = 1024 * 1024
    """Entries of one append message are cut at about this size."""
    append_entries: int = 4096
    appends_in_flight: int = 4
    """Append messages with entries sent to one follower before an answer."""
    snapshot_chunk_bytes: int = 256 * 1024
    compaction_entries: int = 20_000
    """A snapshot is asked for when the log holds this many applied entries…"""
    compaction_bytes: int = 16 * 1024 * 1024
    """…or this many payload bytes."""
    retained_entries: int = 2_000
    """Entries kept behind a snapshot for followers that are a little behind…"""
    retained_bytes: int = 4 * 1024 * 1024
    """…within this many payload bytes."""
    unsynced_bytes: int = 32 * 1024 * 1024
    """A leader refuses proposals while more than this waits for commitment."""


class ReplicaSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Everything a replica must know before its first start."""

    node_id: NodeId
    address: str
    zone: Zone = Zone("")
    members: tuple[PeerSettings, ...]
    """The first voters, this node among them or not; their number is the group's size."""
    standbys: tuple[PeerSettings, ...] = ()
    """Nodes that may replace a lost voter."""
    bootstrap: bool = True
    """Whether the first of `members`, if blank, may found the group.

    It does so only when every configured member and standby granted it a vote with an
    empty log: see docs/DECISIONS/0002-replica-identity.md.
    """
    target_size: int = 0
    """Voters that the group should have; 0 for as many as `members`."""
    placement: PlacementRule = PlacementRule()
    """Where voters should stand."""
    automatic_repair: bool = True
    timings: ReplicaTimings = ReplicaTimings()
    limits: ReplicaLimits = ReplicaLimits()

    @property
    def is_first_member(self) -> bool:
        """Whether this node founds the group, if anybody may."""
        return bool(self.members) and self.members[0].node_id == self.node_id

    @property
    def target_voters(self) -> int:
        """Voters that the group should have."""
        return self.target_size or len(self.members)

    def peers(self) -> tuple[PeerSettings, ...]:
        """All configured control nodes but this one."""
        return tuple(peer for peer in self.members + self.standbys if peer.node_id != self.node_id)
