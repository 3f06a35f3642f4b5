"""Status, group members, gauges and leader hints, as one control replica reports them."""

import msgspec

from merlinstand.common.ids import NodeId
from merlinstand.consensus.replica import Replica
from merlinstand.control.queries import MembersAnswer, MemberState
from merlinstand.control.settings import ControlMember, ControlSettings
from merlinstand.control.state_machine import StateMachine
from merlinstand.control.waiters import PendingCommands
from merlinstand.kernel.effects import Effect, SetGauge


class LeaderHint(msgspec.Struct, frozen=True):
    """The leader as this replica knows it; empty strings if unknown."""

    node_id: str
    http_address: str


class StatusBody(msgspec.Struct, frozen=True):
    """Body of `GET /v1/status`: state of this replica."""

    node_id: str
    zone: str
    is_leader: bool
    leader: str
    leader_http_address: str
    term: int
    commit_index: int
    configuration_revision: int
    group_time: float
    proof_age_seconds: float | None
    pending_commands: int


class SelfReport:
    """Reports the state of one control daemon; read-only."""

    def __init__(
        self,
        settings: ControlSettings,
        replica: Replica,
        state: StateMachine,
        pending: PendingCommands,
    ) -> None:
        """The report reads the given parts of a daemon whenever it is requested."""
        self._settings = settings
        self._replica = replica
        self._state = state
        self._pending = pending

    def status(self, now: float) -> StatusBody:
        """Return the body of `GET /v1/status`."""
        hint = self.leader_hint()
        return StatusBody(
            node_id=self._settings.node_id,
            zone=self._settings.zone,
            is_leader=self._replica.may_act(now),
            leader=hint.node_id,
            leader_http_address=hint.http_address,
            term=self._replica.term,
            commit_index=self._replica.commit_index,
            configuration_revision=self._state.objects.table.revision,
            group_time=self._replica.group_time(now),
            proof_age_seconds=self._replica.proof_age_seconds(now),
            pending_commands=len(self._pending),
        )

    def gauges(self, now: float) -> list[Effect]:
        """Return the daemon's gauges."""
        proof_age = self._replica.proof_age_seconds(now)
        values = {
            "merlinstand_control_leader": float(self._replica.may_act(now)),
            "merlinstand_control_term": float(self._replica.term),
            "merlinstand_control_commit_index": float(self._replica.commit_index),
            "merlinstand_control_revision": float(self._state.objects.table.revision),
            "merlinstand_control_pending_commands": float(len(self._pending)),
            "merlinstand_control_claims": float(len(self._state.claims.claims)),
            "merlinstand_control_proof_age_seconds": -1.0 if proof_age is None else proof_age,
        }
        return [SetGauge(name, value) for name, value in values.items()]

    def leader_hint(self) -> LeaderHint:
        """Return the leader that clients are redirected to."""
        leader = self._replica.leader
        # Never names this replica: the client already contacted it, and it may not act as leader.
        if leader is None or leader == self._settings.node_id:
            return LeaderHint("", "")
        known = self._known_member(leader)
        return LeaderHint(leader, "" if known is None else known.http_address)

    def _known_member(self, node_id: NodeId) -> ControlMember | None:
        for member in self._settings.members + self._settings.standbys:
            if member.node_id == node_id:
                return member
        return None

    def members(self, now: float) -> MembersAnswer:
        """Return the group's members as this replica sees them."""
        members = tuple(
            MemberState(
                node_id=member.node_id,
                incarnation=member.incarnation,
                address=member.address,
                zone=member.zone,
                voter=member.role == "voter",
                leader=member.is_leader,
                match_index=member.match_index,
                last_heard_seconds=member.silent_seconds,
            )
            for member in self._replica.members(now)
        )
        return MembersAnswer(self._replica.term, self._replica.commit_index, members)
