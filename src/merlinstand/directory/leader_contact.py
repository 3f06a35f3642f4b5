"""Finds the control leader for a daemon that follows the directory, and detects loss of contact.

Holds the addresses of the control daemons and the time of the leader's last response. Part of
the follower, which runs in every daemon that isn't a control daemon.
"""

from collections.abc import Iterable

from merlinstand.common.ids import NodeId
from merlinstand.kernel.effects import Effect, LearnAddress
from merlinstand.protocol.generated.directory.ttypes import DirectoryUpdate

PULL_INTERVAL_SECONDS = 0.3
"""Interval between pulls while the leader responds. The time limits of evacuations, cold backends
and usage reports depend on this interval."""
LEADER_SEARCH_INTERVAL_SECONDS = 0.1
"""Interval between pulls while no leader answers."""
INITIAL_SEARCH_INTERVAL_SECONDS = 0.05
"""Interval between pulls until the directory is first received: callers wait for the directory."""
LEADER_TIMEOUT_SECONDS = 0.75
"""After this long without a response from the leader, two and a half pull intervals, pulls go to
all control daemons."""
LEADER_UNREACHABLE_SECONDS = 1.0
"""After this long without a response, three pull intervals, the leader counts as unreachable."""


class LeaderContact:
    """Control daemons that one daemon knows, and which of them is the leader."""

    def __init__(self, seeds: Iterable[str]) -> None:
        """Create an instance; the leader is unknown until a control daemon responds.

        Args:
            seeds: Internal addresses of some control daemons, `ip:port`; the IP address is the node
                id.
        """
        self._addresses: dict[NodeId, str] = {
            NodeId(address.rpartition(":")[0]): address for address in seeds
        }
        self._leader: NodeId | None = None
        self.term = 0
        """Term of the newest known leader."""
        self._last_contact_at = float("-inf")

    def known_addresses(self) -> list[Effect]:
        """Return effects that pass all known addresses to the process's host at the start."""
        return [LearnAddress(node_id, address) for node_id, address in self._addresses.items()]

    def seconds_since_contact(self, now: float) -> float:
        """Return the time since the last response of a leader; infinite before the first one."""
        return now - self._last_contact_at

    def pull_interval_seconds(self, is_initial: bool, now: float) -> float:
        """Return the time until the next pull.

        Args:
            is_initial: Whether this daemon has not received the directory yet.
            now: Local time.
        """
        if self.seconds_since_contact(now) < LEADER_TIMEOUT_SECONDS:
            return PULL_INTERVAL_SECONDS
        return INITIAL_SEARCH_INTERVAL_SECONDS if is_initial else LEADER_SEARCH_INTERVAL_SECONDS

    def pull_targets(self, now: float) -> list[NodeId]:
        """Return the nodes to pull from: the leader while it responds, else all control daemons."""
        if self._leader is not None and self.seconds_since_contact(now) < LEADER_TIMEOUT_SECONDS:
            return [self._leader]
        return list(self._addresses)

    def record_leader(self, sender: NodeId, term: int, now: float) -> bool:
        """Record a response of the leader; returns whether it is a new leader."""
        is_new_leader = self._leader != sender
        self.term = term
        self._leader = sender
        self._last_contact_at = now
        return is_new_leader

    def learn_leader(self, update: DirectoryUpdate) -> list[Effect]:
        """Add the leader that another control daemon named; no effects if its address is known."""
        leader = NodeId(update.leader)
        if not leader or not update.leader_address or leader in self._addresses:
            return []
        self._addresses[leader] = update.leader_address
        return [LearnAddress(leader, update.leader_address)]

    def update_control_daemons(self, control_daemons: Iterable[tuple[str, str]]) -> list[Effect]:
        """Update the control daemons, as pairs of node id and internal address."""
        changed = [
            (NodeId(n), a) for n, a in control_daemons if self._addresses.get(NodeId(n)) != a
        ]
        self._addresses.update(changed)
        return [LearnAddress(node_id, address) for node_id, address in changed]
