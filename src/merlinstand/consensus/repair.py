"""Which membership change the leader should make next, if any (a pure decision).

One change at a time, learners first, and never so that the voters heard from are no
quorum of the new group. The order depends on how sure the loss is:

- A voter whose node answers under a new incarnation is gone for good. It is removed
  first, which never asks more of the voters that remain.
- A voter that is only silent may come back. The newcomer becomes a voter before the
  silent one is removed, so that the silent one, should it return while another is lost,
  still helps to form a quorum.
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
    """The kinds of single changes."""

    ADD_LEARNER = "add_learner"
    PROMOTE = "promote"
    REMOVE = "remove"


class RepairAction(msgspec.Struct, frozen=True):
    """One membership change."""

    kind: RepairKind
    member: Member


class MemberHealth(msgspec.Struct, frozen=True):
    """What the leader knows of a member."""

    silent_seconds: float
    """Time since the last answer; 0 for the leader itself."""
    is_heard: bool
    """Whether it answered this leader very lately."""
    is_gone: bool
    """Whether its node has answered since under another incarnation."""
    is_caught_up: bool
    """Whether its log reaches (nearly) as far as the leader's."""


class Standby(msgspec.Struct, frozen=True):
    """A replica outside the group that announced itself."""

    member: Member
    announced_seconds_ago: float


class RepairSettings(msgspec.Struct, frozen=True):
    """When to act."""

    target_voters: int
    repair_delay_seconds: float
    standby_freshness_seconds: float
    replaced_disk_delay_seconds: float
    """Silence that suffices when the node has announced itself under a new incarnation."""
    placement: PlacementRule = PlacementRule()
    """Where voters should stand."""


class GroupView(msgspec.Struct, frozen=True):
    """Everything the decision depends on."""

    membership: Membership
    health: dict[Identity, MemberHealth]
    standbys: Sequence[Standby]


def decide(view: GroupView, settings: RepairSettings) -> RepairAction | None:
    """Choose the next change.

    Args:
        view: The group as the leader sees it; no change may be in flight.
        settings: Delays and the wanted size.

    Returns:
        The change, or None if nothing should be done now.
    """
    to_replace = _voters_to_replace(view, settings)
    return (
        _remove_voter(view, settings, to_replace)
        or _drop_useless_learner(view, settings, to_replace)
        or _promote(view, settings, to_replace)
        or _add_learner(view, settings, to_replace)
    )


def _is_gone(view: GroupView, settings: RepairSettings, member: Member) -> bool:
    health = view.health[member.identity]
    return health.is_gone and health.silent_seconds >= settings.replaced_disk_delay_seconds


def _is_lost(view: GroupView, settings: RepairSettings, member: Member) -> bool:
    silent_seconds = view.health[member.identity].silent_seconds
    return silent_seconds >= settings.repair_delay_seconds or _is_gone(view, settings, member)


def _voters_to_replace(view: GroupView, settings: RepairSettings) -> list[Member]:
    """Voters gone for good, then lost ones, then those an operator wants out."""
    voters = view.membership.voters
    lost = [member for member in voters if _is_lost(view, settings, member)]
    lost.sort(key=lambda member: not _is_gone(view, settings, member))
    leaving = [
        member
        for member in voters
        if member not in lost and member.identity.node_id in view.membership.leaving
    ]
    return lost + leaving


def _count_heard(view: GroupView, voters: Sequence[Member]) -> int:
    return sum(1 for voter in voters if view.health[voter.identity].is_heard)


def _remove_voter(
    view: GroupView, settings: RepairSettings, to_replace: list[Member]
) -> RepairAction | None:
    """Remove a voter that is gone for good, or whose successor votes already."""
    voters = view.membership.voters
    if not to_replace:
        return None
    member = to_replace[0]
    if len(voters) <= settings.target_voters and not _is_gone(view, settings, member):
        return None
    remaining = [voter for voter in voters if voter != member]
    if _count_heard(view, remaining) < quorum_size(len(remaining)):
        return None
    return RepairAction(RepairKind.REMOVE, member)


def _drop_useless_learner(
    view: GroupView, settings: RepairSettings, to_replace: list[Member]
) -> RepairAction | None:
    """Free the place of a learner that fell silent, or that nobody needs any more."""
    voters = view.membership.voters
    # A new leader must hear every voter before it can tell that no place is vacant.
    is_complete = (
        len(voters) >= settings.target_voters
        and _count_heard(view, voters) == len(voters)
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
    """Let a caught-up learner vote, if the larger group has a quorum that is heard."""
    voters = view.membership.voters
    places = settings.target_voters + (1 if to_replace else 0)
    if _count_heard(view, voters) + 1 < quorum_size(len(voters) + 1):
        return None
    for member in view.membership.learners:
        health = view.health[member.identity]
        has_place = len(voters) < places or _is_preferred(view, member)
        if has_place and health.is_caught_up and health.is_heard:
            return RepairAction(RepairKind.PROMOTE, member)
    return None


def _add_learner(
    view: GroupView, settings: RepairSettings, to_replace: list[Member]
) -> RepairAction | None:
    """Take in the best standby if voters are missing and no learner is on its way."""
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
    """A node may come back beside its dead former self, but not as a twin of a live one."""
    node_id = candidate.identity.node_id
    if node_id in view.membership.leaving:
        return False
    present = view.membership.member_on(node_id)
    return present is None or present.identity != candidate.identity


def _rank(
    view: GroupView, placement: PlacementRule, to_replace: list[Member], candidate: Member
) -> tuple[bool, tuple[int, int], NodeId]:
    """Prefer the node that lost its disk, then the place that suits best, then the name."""
    returns = any(m.identity.node_id == candidate.identity.node_id for m in to_replace)
    staying = [voter for voter in view.membership.voters if voter not in to_replace]
    crowding = placement.crowding(candidate.zone, staying)
    return (not returns, crowding, candidate.identity.node_id)


def apply_action(action: RepairAction, membership: Membership) -> Membership:
    """The membership after one change."""
    if action.kind is RepairKind.ADD_LEARNER:
        return with_learner(membership, action.member)
    if action.kind is RepairKind.PROMOTE:
        return with_promotion(membership, action.member.identity)
    return without_member(membership, action.member.identity)
