"""How a daemon that follows the directory finds the control leader, and knows that it lost it.

Owns the control daemons' addresses and when the leader was heard. Part of the follower, which runs
in every daemon that is no control daemon.
"""

from collections.abc import Iterable

from merlinstand.common.ids import NodeId
from merlinstand.kernel.effects import Effect, LearnAddress
from merlinstand.protocol.generated.directory.ttypes import DirectoryUpdate

PULL_INTERVAL_SECONDS = 0.3
"""How often a daemon pulls while it hears the leader; chosen, not measured: the bounds on
evacuations, cold servers and usage reports count with it."""
SEARCH_INTERVAL_SECONDS = 0.1
"""How often a daemon that hears no leader asks for one; chosen, not measured."""
FIRST_SEARCH_INTERVAL_SECONDS = 0.05
"""The same while it has never heard one: callers wait for what it lacks. Chosen, not measured."""
LEADER_TIMEOUT_SECONDS = 0.75
"""A leader that has not answered for this long is not the only one asked any more: two and a half
pulls. Chosen, not measured."""
LEADER_UNREACHABLE_SECONDS = 1.0
"""A daemon that heard no leader for this long has missed three answers."""


class LeaderContact:
    """The control daemons that one daemon knows, and the leader among them."""

    def __init__(self, seeds: Iterable[str]) -> None:
        """Begin without a leader.

        Args:
            seeds: Internal addresses of some control daemons, `ip:port`; a node is named by its IP
                address.
        """
        self._addresses: dict[NodeId, str] = {
            NodeId(address.rpartition(":")[0]): address for address in seeds
        }
        self._leader: NodeId | None = None
        self.term = 0
        """Of the leader heard last."""
        self._heard_at = float("-inf")

    def known_addresses(self) -> list[Effect]:
        """Give the host all addresses, at the start."""
        return [LearnAddress(node_id, address) for node_id, address in self._addresses.items()]

    def seconds_since_contact(self, now: float) -> float:
        """How long no leader was heard."""
        return now - self._heard_at

    def pull_interval_seconds(self, is_first: bool, now: float) -> float:
        """How long until the next pull.

        Args:
            is_first: Whether this daemon knows nothing of the directory yet.
            now: Local time.
        """
        if self.seconds_since_contact(now) < LEADER_TIMEOUT_SECONDS:
            return PULL_INTERVAL_SECONDS
        return FIRST_SEARCH_INTERVAL_SECONDS if is_first else SEARCH_INTERVAL_SECONDS

    def pull_targets(self, now: float) -> list[NodeId]:
        """Whom to ask: the leader while it is heard, else all control daemons."""
        if self._leader is not None and self.seconds_since_contact(now) < LEADER_TIMEOUT_SECONDS:
            return [self._leader]
        return list(self._addresses)

    def record_leader(self, sender: NodeId, term: int, now: float) -> bool:
        """A leader answered; gives whether it is another one than before."""
        is_other = self._leader != sender
        self.term = term
        self._leader = sender
        self._heard_at = now
        return is_other

    def learn_leader(self, update: DirectoryUpdate) -> list[Effect]:
        """A control daemon that doesn't lead names the leader; nothing if it is known here."""
        leader = NodeId(update.leader)
        if not leader or not update.leader_address or leader in self._addresses:
            return []
        self._addresses[leader] = update.leader_address
        return [LearnAddress(leader, update.leader_address)]

    def update_control_daemons(self, controls: Iterable[tuple[str, str]]) -> list[Effect]:
        """Take in node id and internal address of each control daemon."""
        changed = [(NodeId(n), a) for n, a in controls if self._addresses.get(NodeId(n)) != a]
        self._addresses.update(changed)
        return [LearnAddress(node_id, address) for node_id, address in changed]
