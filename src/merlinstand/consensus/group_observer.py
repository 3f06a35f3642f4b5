"""Liveness of members and standbys as observed by a leader, as input of `repair.choose_repair`.

Observations last for one leadership: a new leader must receive replies itself before it acts.
"""

from collections.abc import Iterable

from merlinstand.common.ids import NodeId, Zone
from merlinstand.consensus.membership import Identity, Member
from merlinstand.consensus.progress import FollowerProgress
from merlinstand.consensus.repair import GroupView, MemberHealth, RepairSettings, Standby
from merlinstand.consensus.state import ReplicaState
from merlinstand.consensus.wire import from_wire_identity
from merlinstand.protocol.generated.consensus.ttypes import JoinRequest

_CAUGHT_UP_ENTRIES = 100
"""A learner at most this many entries behind the leader's log may become a voter."""


class GroupObserver:
    """Observations of one leader during its term."""

    def __init__(self, state: ReplicaState) -> None:
        """No observation is taken over from an earlier leadership."""
        self._state = state
        self._non_members: dict[NodeId, tuple[Member, float]] = {}

    def on_join_request(self, request: JoinRequest, now: float) -> None:
        """Record the announcement of a replica that is not a member."""
        identity = from_wire_identity(request.replica)
        if self._state.membership.find_member(identity) is None:
            member = Member(identity, request.address, Zone(request.zone))
            self._non_members[identity.node_id] = (member, now)

    def on_non_member_reply(self, identity: Identity, now: float) -> None:
        """Record a reply from a member's node under a new incarnation, after it lost its disk.

        Such a replica is in contact with the leader, so it possibly sends no join requests.
        """
        former = self._state.membership.find_member_on_node(identity.node_id)
        if former is not None:
            member = Member(identity, former.address, former.zone)
            self._non_members[identity.node_id] = (member, now)

    def view(self, followers: Iterable[FollowerProgress], now: float) -> GroupView:
        """Return the observed state of the group."""
        health = {self._state.identity: MemberHealth(0.0, True, False, True)}
        for progress in followers:
            health[progress.identity] = self._health(progress, now)
        standbys = [
            Standby(member, now - observed_at) for member, observed_at in self._non_members.values()
        ]
        return GroupView(self._state.membership, health, standbys)

    def _health(self, progress: FollowerProgress, now: float) -> MemberHealth:
        reachable_limit_seconds = 2 * self._state.settings.timings.heartbeat_interval_seconds
        silent_seconds = now - progress.last_reply_at
        is_replaced = self._is_replaced(progress)
        return MemberHealth(
            silent_seconds=silent_seconds,
            is_reachable=(
                progress.has_replied
                and silent_seconds < reachable_limit_seconds
                and not is_replaced
            ),
            is_replaced=is_replaced,
            is_caught_up=(progress.match_index + _CAUGHT_UP_ENTRIES >= self._state.log.last_index),
        )

    def _is_replaced(self, progress: FollowerProgress) -> bool:
        """Whether another incarnation of the node was observed since this identity's last reply."""
        member, observed_at = self._non_members.get(progress.identity.node_id, (None, 0.0))
        is_other = member is not None and member.identity != progress.identity
        return is_other and observed_at > progress.last_reply_at

    def repair_settings(self) -> RepairSettings:
        """Settings of the repair decision."""
        settings = self._state.settings
        return RepairSettings(
            target_voters=settings.target_voters,
            repair_delay_seconds=settings.timings.repair_delay_seconds,
            standby_freshness_seconds=settings.timings.standby_freshness_seconds,
            replaced_disk_delay_seconds=2 * settings.timings.election_timeout_seconds,
            placement=settings.placement,
        )
