"""Status of the group's members as shown to operators; see `Replica.members`."""

from collections.abc import Mapping

import msgspec

from merlinstand.common.ids import NodeId
from merlinstand.consensus.membership import Identity, Membership


class MemberProgress(msgspec.Struct, frozen=True):
    """Replication progress of a member as known to the leader."""

    match_index: int = 0
    """Highest log index known to be durable at the member; 0 if unknown."""
    silent_seconds: float = -1.0
    """Seconds since the last reply of the member; negative if unknown."""


UNKNOWN_PROGRESS = MemberProgress()


class MemberState(msgspec.Struct, frozen=True):
    """Status of a member as known to the leader, or with less detail to a follower."""

    node_id: NodeId
    incarnation: int
    address: str
    zone: str
    role: str
    """`voter` or `learner`."""
    is_leader: bool
    match_index: int
    """Highest log index known to be durable at the member; 0 if unknown."""
    silent_seconds: float
    """Seconds since the last reply of the member; negative if unknown."""


def describe_members(
    membership: Membership,
    leader: Identity | None,
    progress: Mapping[Identity, MemberProgress],
) -> tuple[MemberState, ...]:
    """Describe every member, voters first.

    Args:
        membership: The newest membership.
        leader: The leader, if known.
        progress: Progress by member; empty on a follower.
    """
    states = []
    for member in membership.members():
        identity = member.identity
        known = progress.get(identity, UNKNOWN_PROGRESS)
        states.append(
            MemberState(
                node_id=identity.node_id,
                incarnation=identity.incarnation,
                address=member.address,
                zone=member.zone,
                role="voter" if membership.is_voter(identity) else "learner",
                is_leader=identity == leader,
                match_index=known.match_index,
                silent_seconds=known.silent_seconds,
            )
        )
    return tuple(states)
