"""Time limits of a group whose replicas are near each other.

For the groups of the users' machines, whose election timeout is chosen by their settings; the
shares are those of the shared constants.
"""

from merlinstand.common.constants import leader_lease_seconds
from merlinstand.consensus.settings import ReplicaTimings

SPREAD_SHARE = 0.5
"""Random extra silence that keeps candidates apart, as a share of the election timeout."""
HEARTBEAT_SHARE = 0.25
"""Interval of the leader's messages, as a share of the election timeout."""


def timings_for_election_timeout(
    election_timeout_seconds: float, repair_delay_seconds: float
) -> ReplicaTimings:
    """Derive all time limits from the election timeout.

    Args:
        election_timeout_seconds: Shortest silence of the leader before an election.
        repair_delay_seconds: Silence after which a voter counts as lost.
    """
    return ReplicaTimings(
        election_timeout_seconds=election_timeout_seconds,
        election_timeout_spread_seconds=SPREAD_SHARE * election_timeout_seconds,
        heartbeat_interval_seconds=HEARTBEAT_SHARE * election_timeout_seconds,
        leader_lease_seconds=leader_lease_seconds(election_timeout_seconds),
        repair_delay_seconds=repair_delay_seconds,
    )
