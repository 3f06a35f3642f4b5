"""Who belongs to the control group: identities, members and single-server changes.

A replica's identity is its node *and* the incarnation of its storage. A node that lost
its disk has a new incarnation and is a different replica: it has forgotten its votes
and its log, so nothing it says may count for its former self.
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
    """The group's composition; every change of it is one log entry.

    The newest membership in a replica's log is in force there, committed or not. Two
    neighbouring memberships differ by at most one voter, so their quorums overlap.
    """

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()
    """Receive the log but neither vote nor count for commits."""
    leaving: tuple[NodeId, ...] = ()
    """Nodes an operator wants out; they aren't taken in again until ordered in."""
    preferred: tuple[NodeId, ...] = ()
    """Standbys an operator wants taken in first."""

    @property
    def is_empty(self) -> bool:
        """Whether this replica has never heard of a group."""
        return not self.voters

    def voter_identities(self) -> frozenset[Identity]:
        """Identities whose votes and acknowledgements count."""
        return frozenset(member.identity for member in self.voters)

    def members(self) -> tuple[Member, ...]:
        """Voters, then learners."""
        return self.voters + self.learners

    def member_of(self, identity: Identity) -> Member | None:
        """The member with exactly this identity."""
        for member in self.members():
            if member.identity == identity:
                return member
        return None

    def member_on(self, node_id: NodeId) -> Member | None:
        """The member on this node, whatever its incarnation."""
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
    """Encode for a log entry or a snapshot."""
    return msgspec.msgpack.encode(membership)


def decode_membership(data: bytes) -> Membership:
    """Decode a membership written by `encode_membership`.

    Raises:
        msgspec.DecodeError: The bytes are no membership.
    """
    return _DECODER.decode(data)


def _without(members: tuple[Member, ...], identity: Identity) -> tuple[Member, ...]:
    return tuple(member for member in members if member.identity != identity)


def with_learner(membership: Membership, member: Member) -> Membership:
    """Add a learner; quorums stay as they are."""
    return msgspec.structs.replace(membership, learners=(*membership.learners, member))


def with_promotion(membership: Membership, identity: Identity) -> Membership:
    """Make a learner a voter."""
    member = membership.member_of(identity)
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
    """Record an operator's order; the leader's repair carries it out step by step."""
    leaving = tuple(node for node in membership.leaving if node != add_node)
    if remove_node is not None and remove_node not in leaving:
        leaving = (*leaving, remove_node)
    preferred = membership.preferred
    if add_node is not None and add_node not in preferred:
        preferred = (*preferred, add_node)
    return msgspec.structs.replace(membership, leaving=leaving, preferred=preferred)
