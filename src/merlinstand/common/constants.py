"""Defaults shared by several roles; a setting with the same meaning overrides the constant."""

MAXIMUM_CLOCK_DRIFT = 0.01
"""Maximum rate error of a local clock relative to true time, as a fraction. Leases are shortened by
twice this fraction, because two clocks may drift in opposite directions."""

ELECTION_TIMEOUT_SECONDS = 1.0
"""Minimum time without a message from the leader before a follower may start an election. See
docs/DECISIONS/0005-failover.md."""

ELECTION_TIMEOUT_SPREAD_SECONDS = 0.5
"""Upper limit of the random time added to the election timeout to avoid split votes."""

HEARTBEAT_INTERVAL_SECONDS = 0.25
"""Interval at which a leader sends append requests to each follower."""


def leader_lease_seconds(election_timeout_seconds: float) -> float:
    """Return the leader's lease duration, from sending a heartbeat that a quorum acknowledged.

    The lease ends before another leader can be elected, for any clock drift within
    `MAXIMUM_CLOCK_DRIFT`.
    """
    return election_timeout_seconds * (1.0 - 2 * MAXIMUM_CLOCK_DRIFT)


LEADER_LEASE_SECONDS = leader_lease_seconds(ELECTION_TIMEOUT_SECONDS)
"""Leader lease with the default election timeout."""

CONFIGURATION_PULL_INTERVAL_SECONDS = 1.0
"""Interval at which a daemon requests configuration changes."""

CONFIGURATION_LEASE_SECONDS = 4.5
"""A daemon without proof for this long that its configuration is current accepts no new work. See
docs/DECISIONS/0008-configuration-lease.md."""

RESOURCE_LEASE_SECONDS = 6.0
"""Duration of job, engine group and gateway leases."""

MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024
"""Maximum size of an internal message. A frame with a larger declared length is rejected before it
is read, so that no peer can exhaust memory."""
MAXIMUM_REQUEST_BODY_BYTES = 8 * 1024 * 1024
"""Default maximum size of the body of a caller's request."""
