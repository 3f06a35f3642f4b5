"""Tunables shared by several roles, with their units in their names.

Defaults: where a setting has the same meaning, it goes before the constant.
"""

MAXIMUM_CLOCK_DRIFT = 0.01
"""Largest rate error of a local clock against true time, as a fraction; leases are shortened by
twice as much. Chosen, not measured."""

ELECTION_TIMEOUT_SECONDS = 1.0
"""Shortest silence after which a follower may stand for election. Measured against 0.5 and 2 s in
docs/DECISIONS/0005-failover.md."""

ELECTION_TIMEOUT_SPREAD_SECONDS = 0.5
"""Random extra silence that keeps candidates apart; chosen with the time-out in 0005."""

HEARTBEAT_INTERVAL_SECONDS = 0.25
"""Leader's interval between append messages to each follower; chosen with the time-out in 0005."""


def leader_lease_seconds(election_timeout_seconds: float) -> float:
    """Give how long a leader may act after it sent a heartbeat that a quorum acknowledged.

    Shorter than the silence after which another may be elected, whatever two clocks drift.
    """
    return election_timeout_seconds * (1.0 - 2 * MAXIMUM_CLOCK_DRIFT)


LEADER_LEASE_SECONDS = leader_lease_seconds(ELECTION_TIMEOUT_SECONDS)
"""The leader's lease with the default election timeout."""

CONFIGURATION_PULL_INTERVAL_SECONDS = 1.0
"""How often a daemon asks for changes of the configuration. Chosen, not measured."""

CONFIGURATION_LEASE_SECONDS = 4.5
"""A daemon that got no proof of being current for this long takes no new work. Measured against 2
to 6 s in docs/DECISIONS/0008-configuration-lease.md."""

RESOURCE_LEASE_SECONDS = 6.0
"""Duration of job, engine-group and gateway leases. Chosen, not measured."""

MAXIMUM_MESSAGE_BYTES = 64 * 1024 * 1024
"""Largest internal message. A frame that claims more is refused before it is read, so that one peer
can't fill the memory. Chosen, not measured."""
MAXIMUM_REQUEST_BODY_BYTES = 8 * 1024 * 1024
"""Largest body of a caller's request, unless the settings say otherwise. Chosen, not measured."""
