"""Choice of the leader's next membership change, if any (pure).

Changes are made one at a time. New members join as learners first. After a change, the reachable
voters must form a quorum of the new membership. The order depends on the kind of loss:

- A voter whose node replies under a new incarnation is permanently lost. It is removed before its
  replacement is added, which never raises the number of remaining voters needed for a quorum.
- A voter that is only silent may return. It is removed only after its replacement has become a
  voter, so that the silent voter can help to form a quorum if it returns while another one fails.
"""

import enum
from collections.abc import Sequence

import msgspec

from merlinstand.common.ids import NodeId
from merlinstand.consensus.membership import (
    Identity,
    Member,
    Membership,
    with_learner,
    with_promotion,
    without_member,
)
from merlinstand.consensus.placement import PlacementRule
from merlinstand.consensus.quorum import quorum_size


class RepairKind(enum.Enum):
    """Kinds of membership changes."""

    ADD_LEARNER = "add_learner"
    PROMOTE = "promote"
    REMOVE = "remove"


class RepairAction(msgspec.Struct, frozen=True):
    """One membership change."""

    kind: RepairKind
    member: Member


class MemberHealth(msgspec.Struct, frozen=True):
    """Health of a member as observed by the leader."""

    silent_seconds: float
    """Time since the last reply; 0 for the leader itself."""
    is_reachable: bool
    """Whether the member replied to this leader within two heartbeat intervals."""
    is_replaced: bool
    """Whether the member's node has since been observed under another incarnation."""
    is_caught_up: bool
    """Whether the member's log is (nearly) as long as the leader's."""


class Standby(msgspec.Struct, frozen=True):
    """A replica that is not a member and announced itself to the leader."""

    member: Member
    announced_seconds_ago: float


class RepairSettings(msgspec.Struct, frozen=True):
    """Delays and target size of the group."""

    target_voters: int
    repair_delay_seconds: float
    standby_freshness_seconds: float
    replaced_disk_delay_seconds: float
    """Silence after which a voter is replaced if its node was observed under a new incarnation."""
    placement: PlacementRule = PlacementRule()
    """Rule for the placement of voters."""


class GroupView(msgspec.Struct, frozen=True):
    """The group as observed by the leader."""

    membership: Membership
    health: dict[Identity, MemberHealth]
    standbys: Sequence[Standby]


def choose_repair(view: GroupView, settings: RepairSettings) -> RepairAction | None:
    """Choose the next change.

    Args:
        view: The group as observed by the leader; no change may be in flight.
        settings: Delays and target size.

    Returns:
        The change, or None if none is needed or possible now.
    """
    to_replace = _voters_to_replace(view, settings)
    return (
        _remove_voter(view, settings, to_replace)
        or _remove_unneeded_learner(view, settings, to_replace)
        or _promote(view, settings, to_replace)
        or _add_learner(view, settings, to_replace)
    )


def _is_replaced(view: GroupView, settings: RepairSettings, member: Member) -> bool:
    health = view.health[member.identity]
    return health.is_replaced and health.silent_seconds >= settings.replaced_disk_delay_seconds


def _is_lost(view: GroupView, settings: RepairSettings, member: Member) -> bool:
    silent_seconds = view.health[member.identity].silent_seconds
    return silent_seconds >= settings.repair_delay_seconds or _is_replaced(view, settings, member)


def _voters_to_replace(view: GroupView, settings: RepairSettings) -> list[Member]:
    """Permanently lost voters, then silent ones, then those that an operator removes."""
    voters = view.membership.voters
    lost = [member for member in voters if _is_lost(view, settings, member)]
    lost.sort(key=lambda member: not _is_replaced(view, settings, member))
    leaving = [
        member
        for member in voters
        if member not in lost and member.identity.node_id in view.membership.leaving
    ]
    return lost + leaving


def _count_reachable(view: GroupView, voters: Sequence[Member]) -> int:
    return sum(1 for voter in voters if view.health[voter.identity].is_reachable)


def _remove_voter(
    view: GroupView, settings: RepairSettings, to_replace: list[Member]
) -> RepairAction | None:
    """Remove a voter that is permanently lost, or whose replacement is already a voter."""
    voters = view.membership.voters
    if not to_replace:
        return None
    member = to_replace[0]
    if len(voters) <= settings.target_voters and not _is_replaced(view, settings, member):
        return None
    remaining = [voter for voter in voters if voter != member]
    if _count_reachable(view, remaining) < quorum_size(len(remaining)):
        return None
    return RepairAction(RepairKind.REMOVE, member)


def _remove_unneeded_learner(
    view: GroupView, settings: RepairSettings, to_replace: list[Member]
) -> RepairAction | None:
    """Remove a learner that is lost or no longer needed."""
    voters = view.membership.voters
    # A new leader needs a reply from every voter to know that none must be replaced.
    is_complete = (
        len(voters) >= settings.target_voters
        and _count_reachable(view, voters) == len(voters)
        and not to_replace
    )
    for member in view.membership.learners:
        is_wanted = not is_complete or _is_preferred(view, member)
        if not is_wanted or _is_lost(view, settings, member):
            return RepairAction(RepairKind.REMOVE, member)
    return None


def _is_preferred(view: GroupView, member: Member) -> bool:
    return member.identity.node_id in view.membership.preferred


def _promote(
    view: GroupView, settings: RepairSettings, to_replace: list[Member]
) -> RepairAction | None:
    """Promote a caught-up learner if reachable voters form a quorum of the larger group."""
    voters = view.membership.voters
    voter_limit = settings.target_voters + (1 if to_replace else 0)
    if _count_reachable(view, voters) + 1 < quorum_size(len(voters) + 1):
        return None
    for member in view.membership.learners:
        health = view.health[member.identity]
        is_needed = len(voters) < voter_limit or _is_preferred(view, member)
        if is_needed and health.is_caught_up and health.is_reachable:
            return RepairAction(RepairKind.PROMOTE, member)
    return None


def _add_learner(
    view: GroupView, settings: RepairSettings, to_replace: list[Member]
) -> RepairAction | None:
    """Add the best standby as a learner if voters are missing and there is no learner yet."""
    missing = settings.target_voters - len(view.membership.voters) + len(to_replace)
    candidates = [
        standby.member
        for standby in view.standbys
        if standby.announced_seconds_ago < settings.standby_freshness_seconds
        and _may_join(view, standby.member)
    ]
    preferred = [member for member in candidates if _is_preferred(view, member)]
    if view.membership.learners or not (preferred or (missing > 0 and candidates)):
        return None
    best = min(
        preferred or candidates,
        key=lambda member: _rank(view, settings.placement, to_replace, member),
    )
    return RepairAction(RepairKind.ADD_LEARNER, best)


def _may_join(view: GroupView, candidate: Member) -> bool:
    """Whether a standby may be added.

    A node may be added next to its previous incarnation, but not twice with the same identity.
    """
    node_id = candidate.identity.node_id
    if node_id in view.membership.leaving:
        return False
    present = view.membership.find_member_on_node(node_id)
    return present is None or present.identity != candidate.identity


def _rank(
    view: GroupView, placement: PlacementRule, to_replace: list[Member], candidate: Member
) -> tuple[bool, tuple[int, int], NodeId]:
    """Prefer a node that lost its disk, then the best zone, then the lowest name."""
    returns = any(m.identity.node_id == candidate.identity.node_id for m in to_replace)
    staying = [voter for voter in view.membership.voters if voter not in to_replace]
    zone_rank = placement.zone_rank(candidate.zone, staying)
    return (not returns, zone_rank, candidate.identity.node_id)


def apply_action(action: RepairAction, membership: Membership) -> Membership:
    """Return the membership after a change."""
    if action.kind is RepairKind.ADD_LEARNER:
        return with_learner(membership, action.member)
    if action.kind is RepairKind.PROMOTE:
        return with_promotion(membership, action.member.identity)
    return without_member(membership, action.member.identity)
