"""Settings of the parts of a control daemon, made from the daemon's own (pure functions)."""

from merlinstand.common.ids import NodeId, Zone
from merlinstand.consensus.settings import PeerSettings, ReplicaLimits, ReplicaSettings
from merlinstand.consensus.timings import timings_for_election_timeout
from merlinstand.directory.settings import DirectorySettings
from merlinstand.metering.leader import MeteringSettings

COMPACTION_ENTRIES = 2_000
"""Log entries after which a snapshot takes their place; chosen, not measured."""
COMPACTION_BYTES = 8 * 1024 * 1024
"""Bytes of log entries after which a snapshot takes their place; chosen, not measured."""


def ip_of(address: str) -> str:
    """Give the IP address of an `ip:port`."""
    return address.rpartition(":")[0]


def node_of(address: str) -> NodeId:
    """A node is named by its IP address: seeds come without names."""
    return NodeId(ip_of(address))


def replica_settings(settings: DirectorySettings) -> ReplicaSettings:
    """Give those of the consensus replica."""
    # All founders list the seeds in one order, so that they agree on who founds.
    members = tuple(
        PeerSettings(node_id=node_of(address), address=address)
        for address in sorted(settings.seeds)
    )
    return ReplicaSettings(
        node_id=NodeId(settings.node_id),
        address=settings.internal_address,
        zone=Zone(settings.zone),
        members=members,
        bootstrap=settings.may_found,
        target_size=settings.control_group_size,
        placement=settings.placement,
        timings=timings_for_election_timeout(
            settings.election_timeout_seconds, settings.repair_delay_seconds
        ),
        limits=ReplicaLimits(
            compaction_entries=COMPACTION_ENTRIES, compaction_bytes=COMPACTION_BYTES
        ),
    )


def metering_settings(settings: DirectorySettings) -> MeteringSettings:
    """Give those of the leader's metering and its calls to the platform."""
    return MeteringSettings(
        node_id=NodeId(settings.node_id),
        name=settings.name,
        platform_address=settings.platform_address,
        lease_seconds=settings.platform_lease_seconds,
        calls_per_second=settings.platform_calls_per_second,
        window_seconds=settings.usage_window_seconds,
        due_seconds=settings.usage_due_seconds,
    )
