"""Timings of a replication group derived from its configured election timeout."""

from merlinstand.common.constants import leader_lease_seconds
from merlinstand.consensus.settings import ReplicaTimings

ELECTION_TIMEOUT_SPREAD_SHARE = 0.5
"""Randomization of the election timeout, as a share of it, to avoid split votes."""
HEARTBEAT_INTERVAL_SHARE = 0.25
"""Heartbeat interval as a share of the election timeout."""


def timings_for_election_timeout(
    election_timeout_seconds: float, repair_delay_seconds: float
) -> ReplicaTimings:
    """Derive the timings of a group from its election timeout.

    Args:
        election_timeout_seconds: Minimum time without a message from the leader before an
            election.
        repair_delay_seconds: Time without a reply after which a voter counts as lost.
    """
    return ReplicaTimings(
        election_timeout_seconds=election_timeout_seconds,
        election_timeout_spread_seconds=ELECTION_TIMEOUT_SPREAD_SHARE * election_timeout_seconds,
        heartbeat_interval_seconds=HEARTBEAT_INTERVAL_SHARE * election_timeout_seconds,
        leader_lease_seconds=leader_lease_seconds(election_timeout_seconds),
        repair_delay_seconds=repair_delay_seconds,
    )
