"""Which membership change the leader should make next, if any (a pure decision).

One change at a time, learners first. The newcomer becomes a voter *before* the lost one
is removed. Both orders bear the same number of further losses for good (a group of
2k + 1 voters with l lost bears k - l more, in between as well), but in this order a
voter that was only cut off, and returns while another is lost, still helps to form a
quorum. The other order leaves a group that can't elect anybody in that case.
"""

import enum
from collections.abc import Sequence

import msgspec

from merlinstand.common.ids import NodeId, Zone
from merlinstand.consensus.membership import Identity, Member, Membership
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
    """Whether it answered this leader lately."""
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


def _is_lost(view: GroupView, settings: RepairSettings, member: Member) -> bool:
    silent_seconds = view.health[member.identity].silent_seconds
    if silent_seconds >= settings.repair_delay_seconds:
        return True
    return silent_seconds >= settings.replaced_disk_delay_seconds and any(
        standby.member.identity.node_id == member.identity.node_id
        and standby.member.identity != member.identity
        and standby.announced_seconds_ago < silent_seconds
        for standby in view.standbys
    )


def _voters_to_replace(view: GroupView, settings: RepairSettings) -> list[Member]:
    """Lost voters, then those an operator wants out."""
    voters = view.membership.voters
    lost = [member for member in voters if _is_lost(view, settings, member)]
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
    """Remove a voter whose successor votes already."""
    voters = view.membership.voters
    if not to_replace or len(voters) <= settings.target_voters:
        return None
    member = to_replace[0]
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
    wished = [member for member in candidates if _is_preferred(view, member)]
    if view.membership.learners or not (wished or (missing > 0 and candidates)):
        return None
    best = min(wished or candidates, key=lambda member: _rank(view, to_replace, member))
    return RepairAction(RepairKind.ADD_LEARNER, best)


def _may_join(view: GroupView, candidate: Member) -> bool:
    """A node may come back beside its dead former self, but not as a twin of a live one."""
    node_id = candidate.identity.node_id
    if node_id in view.membership.leaving:
        return False
    present = view.membership.member_on(node_id)
    return present is None or present.identity != candidate.identity


def _rank(view: GroupView, to_replace: list[Member], candidate: Member) -> tuple[bool, int, NodeId]:
    """Prefer the node that lost its disk, then zones with few voters, then the name."""
    returns = any(m.identity.node_id == candidate.identity.node_id for m in to_replace)
    zone: Zone = candidate.zone
    staying = [voter for voter in view.membership.voters if voter not in to_replace]
    zone_crowding = sum(1 for voter in staying if voter.zone == zone)
    return (not returns, zone_crowding, candidate.identity.node_id)
