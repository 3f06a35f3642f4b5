"""Tunables shared by several roles, with their units in their names."""

MAXIMUM_CLOCK_DRIFT = 0.01
"""Largest rate error of a local clock against true time, as a fraction."""

ELECTION_TIMEOUT_SECONDS = 1.0
"""Shortest silence after which a follower may stand for election."""

ELECTION_TIMEOUT_SPREAD_SECONDS = 0.5
"""Random extra silence that keeps candidates apart."""

HEARTBEAT_INTERVAL_SECONDS = 0.25
"""Leader's interval between append messages to each follower."""


def leader_lease_seconds(election_timeout_seconds: float) -> float:
    """Give how long a leader may act after it sent a heartbeat that a quorum acknowledged.

    Shorter than the silence after which another may be elected, whatever two clocks drift.
    """
    return election_timeout_seconds * (1.0 - 2 * MAXIMUM_CLOCK_DRIFT)


LEADER_LEASE_SECONDS = leader_lease_seconds(ELECTION_TIMEOUT_SECONDS)
"""The leader's lease with the default election timeout."""

CONFIGURATION_PULL_INTERVAL_SECONDS = 1.0
"""How often a daemon asks for changes of the configuration."""

CONFIGURATION_LEASE_SECONDS = 4.5
"""A daemon that got no proof of being current for this long takes no new work."""

RESOURCE_LEASE_SECONDS = 6.0
"""Duration of job, engine-group and gateway leases."""

MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024
MAXIMUM_REQUEST_BODY_BYTES = 8 * 1024 * 1024
