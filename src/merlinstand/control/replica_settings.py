"""Converts a control daemon's settings to those of its consensus replica."""

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
    """Return the settings of a control daemon's consensus replica.

    Raises:
        KeyError: The node is in neither `members` nor `standbys`.
    """
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
