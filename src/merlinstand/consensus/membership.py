"""Membership of the control group: identities, members and single-server changes.

A replica's identity is its node *and* the incarnation of its storage. A node that lost its disk
gets a new incarnation and is a different replica: its votes and log are lost, so its messages must
not count for the previous identity.
"""

import msgspec

from merlinstand.common.ids import NodeId, Zone


class Identity(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One replica: a node with one storage incarnation."""

    node_id: NodeId
    incarnation: int


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A replica as listed in the membership."""

    identity: Identity
    address: str
    """`ip:port` of its internal listener."""
    zone: Zone


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """Voters and learners of the group; every change is one log entry.

    A replica uses the newest membership in its log, committed or not. Successive memberships
    differ by at most one voter, so their quorums overlap.
    """

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()
    """Receive the log but neither vote nor count for commits."""
    leaving: tuple[NodeId, ...] = ()
    """Nodes that an operator ordered to be removed; not added again until an operator orders it."""
    preferred: tuple[NodeId, ...] = ()
    """Standbys that an operator ordered to be added; they are added before other standbys."""

    @property
    def is_empty(self) -> bool:
        """Whether there are no voters: the replica does not know any group yet."""
        return not self.voters

    def voter_identities(self) -> frozenset[Identity]:
        """Identities whose votes and acknowledgements count."""
        return frozenset(member.identity for member in self.voters)

    def members(self) -> tuple[Member, ...]:
        """All members, voters first."""
        return self.voters + self.learners

    def find_member(self, identity: Identity) -> Member | None:
        """Return the member with exactly this identity, or None."""
        for member in self.members():
            if member.identity == identity:
                return member
        return None

    def find_member_on_node(self, node_id: NodeId) -> Member | None:
        """Return the first member on this node, of any incarnation, or None."""
        for member in self.members():
            if member.identity.node_id == node_id:
                return member
        return None

    def is_voter(self, identity: Identity) -> bool:
        """Whether this identity may vote."""
        return any(member.identity == identity for member in self.voters)

    def is_learner(self, identity: Identity) -> bool:
        """Whether this identity is a learner."""
        return any(member.identity == identity for member in self.learners)


EMPTY_MEMBERSHIP = Membership()

_DECODER = msgspec.msgpack.Decoder(Membership)


def encode_membership(membership: Membership) -> bytes:
    """Encode a membership for a log entry."""
    return msgspec.msgpack.encode(membership)


def decode_membership(data: bytes) -> Membership:
    """Decode a membership written by `encode_membership`.

    Raises:
        msgspec.DecodeError: The bytes are not a valid membership.
    """
    return _DECODER.decode(data)


def _without(members: tuple[Member, ...], identity: Identity) -> tuple[Member, ...]:
    return tuple(member for member in members if member.identity != identity)


def with_learner(membership: Membership, member: Member) -> Membership:
    """Add a learner, which leaves quorums unchanged."""
    return msgspec.structs.replace(membership, learners=(*membership.learners, member))


def with_promotion(membership: Membership, identity: Identity) -> Membership:
    """Promote a learner to voter; unchanged if the identity is not a learner."""
    member = membership.find_member(identity)
    if member is None or not membership.is_learner(identity):
        return membership
    return msgspec.structs.replace(
        membership,
        voters=(*membership.voters, member),
        learners=_without(membership.learners, identity),
        preferred=tuple(node for node in membership.preferred if node != identity.node_id),
    )


def without_member(membership: Membership, identity: Identity) -> Membership:
    """Remove a voter or a learner."""
    return msgspec.structs.replace(
        membership,
        voters=_without(membership.voters, identity),
        learners=_without(membership.learners, identity),
    )


def with_replacement_order(
    membership: Membership, add_node: NodeId | None, remove_node: NodeId | None
) -> Membership:
    """Record an operator's order, which the leader's repair then carries out step by step.

    Args:
        membership: The newest membership.
        add_node: Node to add, if any.
        remove_node: Node to remove, if any.
    """
    leaving = tuple(node for node in membership.leaving if node != add_node)
    if remove_node is not None and remove_node not in leaving:
        leaving = (*leaving, remove_node)
    preferred = membership.preferred
    if add_node is not None and add_node not in preferred:
        preferred = (*preferred, add_node)
    return msgspec.structs.replace(membership, leaving=leaving, preferred=preferred)
