"""The group's members as operators are shown them.

Pure; `replica.members` gives the result to the daemons.
"""

from collections.abc import Mapping

import msgspec

from merlinstand.common.ids import NodeId
from merlinstand.consensus.membership import Identity, Membership


class MemberProgress(msgspec.Struct, frozen=True):
    """What a leader knows of a member."""

    match_index: int = 0
    """Highest log position known to be durable there; 0 if not known."""
    silent_seconds: float = -1.0
    """Time since its last answer; negative if not known."""


NOTHING_KNOWN = MemberProgress()


class MemberState(msgspec.Struct, frozen=True):
    """A member as the leader (or, with less detail, a follower) sees it."""

    node_id: NodeId
    incarnation: int
    address: str
    zone: str
    role: str
    """`voter` or `learner`."""
    is_leader: bool
    match_index: int
    """Highest log position known to be durable there; 0 if not known."""
    silent_seconds: float
    """Time since its last answer; negative if not known."""


def describe_members(
    membership: Membership,
    leader: Identity | None,
    progress: Mapping[Identity, MemberProgress],
) -> tuple[MemberState, ...]:
    """Describe every member, voters first.

    Args:
        membership: The newest membership.
        leader: The leader, if known.
        progress: Of each member; a follower has none.
    """
    states = []
    for member in membership.members():
        identity = member.identity
        known = progress.get(identity, NOTHING_KNOWN)
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
