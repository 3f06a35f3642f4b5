"""What a leader observes of members and of replicas outside, for the repair decision.

Owned by one leadership and forgotten with it: a new leader must hear everybody anew before it acts.
`repair.decide` takes the `GroupView` made here.
"""

from collections.abc import Iterable

from merlinstand.common.ids import NodeId, Zone
from merlinstand.consensus.membership import Identity, Member
from merlinstand.consensus.progress import Progress
from merlinstand.consensus.repair import GroupView, MemberHealth, RepairSettings, Standby
from merlinstand.consensus.state import ReplicaState
from merlinstand.consensus.wire import from_wire_identity
from merlinstand.protocol.generated.consensus.ttypes import JoinRequest

_CAUGHT_UP_ENTRIES = 100
"""A learner this close behind the leader's log may become a voter. Chosen, not measured."""


class GroupWatch:
    """Observations of one leadership."""

    def __init__(self, state: ReplicaState) -> None:
        """Begin with nothing observed."""
        self._state = state
        self._outsiders: dict[NodeId, tuple[Member, float]] = {}

    def on_join_request(self, request: JoinRequest, now: float) -> None:
        """Remember a replica that announces itself from outside the group."""
        identity = from_wire_identity(request.replica)
        if self._state.membership.member_of(identity) is None:
            member = Member(identity, request.address, Zone(request.zone))
            self._outsiders[identity.node_id] = (member, now)

    def on_stranger(self, identity: Identity, now: float) -> None:
        """A replica with a new disk answers what was meant for its former self.

        It hears the leader, so it may not announce itself.
        """
        former = self._state.membership.member_on(identity.node_id)
        if former is not None:
            member = Member(identity, former.address, former.zone)
            self._outsiders[identity.node_id] = (member, now)

    def view(self, followers: Iterable[Progress], now: float) -> GroupView:
        """The group as it looks now."""
        health = {self._state.identity: MemberHealth(0.0, True, False, True)}
        for progress in followers:
            health[progress.identity] = self._health(progress, now)
        standbys = [Standby(member, now - heard) for member, heard in self._outsiders.values()]
        return GroupView(self._state.membership, health, standbys)

    def _health(self, progress: Progress, now: float) -> MemberHealth:
        heard_limit_seconds = 2 * self._state.settings.timings.heartbeat_interval_seconds
        silent_seconds = now - progress.last_heard_at
        is_gone = self._is_gone(progress)
        return MemberHealth(
            silent_seconds=silent_seconds,
            is_heard=(
                progress.has_answered and silent_seconds < heard_limit_seconds and not is_gone
            ),
            is_gone=is_gone,
            is_caught_up=(progress.match_index + _CAUGHT_UP_ENTRIES >= self._state.log.last_index),
        )

    def _is_gone(self, progress: Progress) -> bool:
        """Whether another incarnation of the node was heard after this one."""
        member, heard_at = self._outsiders.get(progress.identity.node_id, (None, 0.0))
        is_other = member is not None and member.identity != progress.identity
        return is_other and heard_at > progress.last_heard_at

    def repair_settings(self) -> RepairSettings:
        """When the repair decision should act."""
        settings = self._state.settings
        return RepairSettings(
            target_voters=settings.target_voters,
            repair_delay_seconds=settings.timings.repair_delay_seconds,
            standby_freshness_seconds=settings.timings.standby_freshness_seconds,
            replaced_disk_delay_seconds=2 * settings.timings.election_timeout_seconds,
            placement=settings.placement,
        )
