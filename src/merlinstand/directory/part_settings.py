"""Derives the settings of a control daemon's components from the daemon's settings; pure."""

from merlinstand.common.ids import NodeId, Zone
from merlinstand.consensus.settings import PeerSettings, ReplicaLimits, ReplicaSettings
from merlinstand.consensus.timings import timings_for_election_timeout
from merlinstand.directory.settings import DirectorySettings
from merlinstand.metering.leader import MeteringSettings

COMPACTION_ENTRIES = 2_000
"""Number of log entries after which the log is compacted into a snapshot."""
COMPACTION_BYTES = 8 * 1024 * 1024
"""Size of log entries after which the log is compacted into a snapshot."""


def ip_of(address: str) -> str:
    """Return the IP address of an `ip:port`."""
    return address.rpartition(":")[0]


def node_id_of(address: str) -> NodeId:
    """Return the node id of an `ip:port`: the IP address, since seeds have no names."""
    return NodeId(ip_of(address))


def replica_settings(settings: DirectorySettings) -> ReplicaSettings:
    """Return the settings of the consensus replica."""
    # Sorted, so that all initial members agree on which of them bootstraps the group.
    members = tuple(
        PeerSettings(node_id=node_id_of(address), address=address)
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
    """Return the settings of metering and of its calls to the platform."""
    return MeteringSettings(
        node_id=NodeId(settings.node_id),
        name=settings.name,
        platform_address=settings.platform_address,
        lease_seconds=settings.platform_lease_seconds,
        calls_per_second=settings.platform_calls_per_second,
        window_seconds=settings.usage_window_seconds,
        due_seconds=settings.usage_due_seconds,
    )
