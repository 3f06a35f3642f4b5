"""A control daemon's settings as its consensus replica takes them."""

from merlinstand.common.constants import leader_lease_seconds
from merlinstand.common.ids import NodeId, Zone
from merlinstand.consensus.settings import (
    PeerSettings,
    ReplicaLimits,
    ReplicaSettings,
    ReplicaTimings,
)
from merlinstand.control.settings import ControlMember, ControlSettings


def replica_settings(settings: ControlSettings) -> ReplicaSettings:
    """Give the consensus replica's part of a control daemon's settings."""
    own = settings.own_member()
    timings = settings.timings
    return ReplicaSettings(
        node_id=NodeId(settings.node_id),
        address=own.address,
        zone=Zone(settings.zone),
        members=tuple(map(_peer, settings.members)),
        standbys=tuple(map(_peer, settings.standbys)),
        timings=ReplicaTimings(
            election_timeout_seconds=timings.election_timeout_seconds,
            election_timeout_spread_seconds=timings.election_timeout_spread_seconds,
            heartbeat_interval_seconds=timings.heartbeat_interval_seconds,
            leader_lease_seconds=leader_lease_seconds(timings.election_timeout_seconds),
            repair_delay_seconds=timings.replacement_delay_seconds,
        ),
        limits=ReplicaLimits(compaction_entries=timings.snapshot_every_entries),
    )


def _peer(member: ControlMember) -> PeerSettings:
    return PeerSettings(
        node_id=NodeId(member.node_id), address=member.address, zone=Zone(member.zone)
    )
