"""Leader role: commits, lease, read barriers, membership changes and hand-over.

`replica` creates a `Leader` for each term that it wins and drops it when it is deposed.

Safety relies on two rules. Entries of an older term are committed only together with one of the
current term (Raft, section 5.4.2). The membership is changed only after the previous change is
committed.
"""

from collections.abc import Callable

from result import Err, Ok, Result

from merlinstand.common.ids import NodeId
from merlinstand.consensus.group_observer import GroupObserver
from merlinstand.consensus.hand_over import HandOver, has_possible_successor
from merlinstand.consensus.leader_lease import LeaderLease
from merlinstand.consensus.member_states import MemberProgress
from merlinstand.consensus.membership import (
    Identity,
    Membership,
    encode_membership,
    with_replacement_order,
)
from merlinstand.consensus.read_barrier import ReadBarrier
from merlinstand.consensus.repair import apply_action, choose_repair
from merlinstand.consensus.replication import Replicator
from merlinstand.consensus.state import HAND_OVER_TIMER, HEARTBEAT_TIMER, ReplicaState
from merlinstand.consensus.step import (
    EntryKind,
    MembershipRefusedError,
    NotLeaderError,
    OverloadedError,
    ProposeError,
    ReplacementError,
    UnknownNodeError,
)
from merlinstand.consensus.wire import from_wire_identity, to_wire_identity
from merlinstand.protocol.generated.consensus.ttypes import (
    AppendReply,
    ElectNow,
    JoinRequest,
    SnapshotReply,
)


class Leader:
    """State of a replica while it leads one term."""

    def __init__(self, state: ReplicaState, now: float, resign: Callable[[float], None]) -> None:
        """Create the leader; `begin` starts it.

        Args:
            state: State shared by the replica's roles.
            now: Local time.
            resign: Makes the replica a follower.
        """
        self._state = state
        self._resign = resign
        timings = state.settings.timings
        self._lease = LeaderLease(
            state.identity, timings.leader_lease_seconds, state.last_group_time()
        )
        self._replicator = Replicator(state, self.may_act)
        self._read_barrier = ReadBarrier()
        self._hand_over: HandOver | None = None
        self._observer = GroupObserver(state)
        self._first_index = 0
        self._uncommitted_bytes = 0
        self._last_quorum_contact_at = now

    def begin(self, initial_membership: Membership | None, now: float) -> None:
        """Append a no-op entry, with which older entries can be committed, and send heartbeats.

        Args:
            initial_membership: Appended first, if the election bootstrapped the group.
            now: Local time.
        """
        state = self._state
        self._first_index = state.log.last_index + 1
        if initial_membership is not None:
            self._append(EntryKind.MEMBERSHIP, encode_membership(initial_membership), now)
        self._append(EntryKind.NO_OP, b"", now)
        self.membership_changed(now)
        self._replicator.send_heartbeats(now)
        state.set_timer(HEARTBEAT_TIMER, state.settings.timings.heartbeat_interval_seconds)

    def end(self) -> None:
        """End the leadership: cancel its timers, pending reads and hand-over."""
        state = self._state
        state.cancel_timer(HEARTBEAT_TIMER)
        state.report_reads_failed(self._read_barrier.take_all())
        if self._hand_over is not None:
            self._end_hand_over()

    # Time

    def may_act(self, now: float) -> bool:
        """Whether the lease is held and an entry of the current term is committed."""
        return self._lease.is_held(now) and self._state.commit_index >= self._first_index

    def group_time(self, now: float) -> float:
        """Return the group time in seconds."""
        return self._lease.group_time(now)

    def proof_age_seconds(self, now: float) -> float | None:
        """Seconds since the lease ended; 0 while held, None before this term's first commit."""
        if self._state.commit_index < self._first_index:
            return None
        return max(0.0, now - self._lease.lease_until)

    def membership_changed(self, now: float) -> None:
        """Replicate to the members of the newest membership."""
        self._replicator.update_followers(now)

    def member_progress(self, now: float) -> dict[Identity, MemberProgress]:
        """Durable log index of each member and seconds since its last reply."""
        own = MemberProgress(self._state.journal.durable_index, 0.0)
        progress_of = {self._state.identity: own}
        for identity, progress in self._replicator.followers.items():
            silent_seconds = now - progress.last_reply_at
            progress_of[identity] = MemberProgress(progress.match_index, silent_seconds)
        return progress_of

    # Proposals

    def _append(self, kind: EntryKind, payload: bytes, now: float) -> int:
        entry = self._state.append_own_entry(kind, payload, self._lease.group_time(now))
        self._uncommitted_bytes += len(payload)
        return entry.index

    def propose(self, payload: bytes, now: float) -> Result[int, ProposeError]:
        """Append a command and replicate it; returns its log index."""
        if not self._lease.is_held(now) or self._hand_over is not None:
            return Err(NotLeaderError(detail="no leader lease at this moment"))
        if self._uncommitted_bytes > self._state.settings.limits.unsynced_bytes:
            return Err(OverloadedError(detail="too much waits for commitment"))
        index = self._append(EntryKind.COMMAND, payload, now)
        self._replicator.send_entries(now)
        return Ok(index)

    # Commitment

    def on_progress(self, now: float) -> None:
        """Commit, extend the lease and send more after a reply or a completed disk write."""
        state = self._state
        quorum_sent_at = self._lease.refresh(state.membership, now)
        self._last_quorum_contact_at = max(self._last_quorum_contact_at, quorum_sent_at)
        membership_committed = self._commit()
        if state.commit_index >= self._first_index:
            state.report_reads_ready(self._read_barrier.take_passed(quorum_sent_at))
        self._replicator.send_entries(now)
        self._continue_hand_over(now)
        if membership_committed:
            # Take the next step of a repair at once: the group is most vulnerable to another
            # loss between two steps.
            self._repair(now)

    def _commit(self) -> bool:
        """Commit the entries that a quorum holds; true if they include a membership change."""
        state = self._state
        index = self._replicator.committable_index()
        # An entry of an older term can still be replaced although a quorum holds it. It is
        # committed only together with a later entry of the current term.
        if index > state.commit_index and state.log.term_at(index) == state.term:
            committed = state.log.between(max(state.commit_index + 1, self._first_index), index)
            self._uncommitted_bytes -= sum(len(entry.payload) for entry in committed)
            state.commit_index = index
            return any(entry.kind is EntryKind.MEMBERSHIP for entry in committed)
        return False

    def on_append_reply(self, reply: AppendReply, now: float) -> None:
        """Handle a reply of this term; it counts only for the identity that it names."""
        identity = from_wire_identity(reply.follower)
        progress = self._replicator.followers.get(identity)
        if progress is None:
            self._observer.on_non_member_reply(identity, now)
            return
        self._lease.acknowledge(identity, reply.leader_sent_at)
        self._replicator.on_append_reply(progress, reply, now)
        self.on_progress(now)

    def on_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        """Handle the reply to a snapshot chunk; it counts only for the identity that it names."""
        identity = from_wire_identity(reply.follower)
        progress = self._replicator.followers.get(identity)
        if progress is None:
            return
        self._lease.acknowledge(identity, reply.leader_sent_at)
        self._replicator.on_snapshot_reply(progress, reply, now)
        self.on_progress(now)

    # Reads

    def read_barrier(self, read_id: str, now: float) -> None:
        """Report a read as ready: at once while the lease is held, else after a quorum has replied.

        The read fails if the lease was surrendered.
        """
        if self.may_act(now):
            self._state.report_reads_ready([read_id])
            return
        if self._lease.is_surrendered:
            self._state.report_reads_failed([read_id])
            return
        self._read_barrier.add(read_id, now)
        self._replicator.send_heartbeats(now)
        self.on_progress(now)

    # Heartbeats

    def on_heartbeat_timer(self, now: float) -> None:
        """Resign if no quorum replied for an election timeout, else send heartbeats and repair."""
        state = self._state
        timings = state.settings.timings
        self.on_progress(now)
        if now - self._last_quorum_contact_at > timings.election_timeout_seconds:
            # Check-quorum: the lease has expired; resign so that clients try other replicas.
            state.log_event("quorum_lost", "warning")
            self._resign(now)
            return
        self._replicator.send_heartbeats(now)
        state.set_timer(HEARTBEAT_TIMER, timings.heartbeat_interval_seconds)
        self._repair(now)

    # Membership

    def on_join_request(self, request: JoinRequest, now: float) -> None:
        """Record the announcement of a replica that is not a member."""
        self._observer.on_join_request(request, now)

    def request_replacement(
        self, add_node: NodeId | None, remove_node: NodeId | None, now: float
    ) -> Result[int, ReplacementError]:
        """Append an operator's order to replace members to the log; returns its log index."""
        if not self.may_act(now) or self._hand_over is not None:
            return Err(NotLeaderError(detail="no leader lease at this moment"))
        for node_id in (add_node, remove_node):
            if node_id is not None and self._state.address_of(node_id) is None:
                # An order to add or remove a misspelt name would stay in the membership forever.
                return Err(UnknownNodeError(detail=f"no control node is named {node_id!r}"))
        if not self._may_change_membership(now):
            return Err(MembershipRefusedError(detail="another change is under way"))
        membership = with_replacement_order(self._state.membership, add_node, remove_node)
        return Ok(self._propose_membership(membership, now))

    def _may_change_membership(self, now: float) -> bool:
        # The newest membership and an entry of the current term must be committed. Otherwise
        # two leaders could use memberships whose quorums do not overlap.
        state = self._state
        return self.may_act(now) and state.history.current_index <= state.commit_index

    def _propose_membership(self, membership: Membership, now: float) -> int:
        index = self._append(EntryKind.MEMBERSHIP, encode_membership(membership), now)
        self.membership_changed(now)
        self._replicator.send_entries(now)
        return index

    def _repair(self, now: float) -> None:
        is_possible = self._may_change_membership(now) and self._hand_over is None
        if not is_possible or not self._state.settings.automatic_repair:
            return
        action = choose_repair(
            self._observer.view(self._replicator.followers.values(), now),
            self._observer.repair_settings(),
        )
        if action is None:
            return
        state = self._state
        if action.member.identity == state.identity:
            self.hand_over(now)
            return
        state.log_event(
            "membership_change", kind=action.kind.value, member=action.member.identity.node_id
        )
        self._propose_membership(apply_action(action, state.membership), now)

    # Hand-over

    def hand_over(self, now: float) -> None:
        """Start a hand-over; it ends at once if there is no other voter."""
        state = self._state
        if self._hand_over is not None:
            return
        if not has_possible_successor(state):
            state.report_hand_over_ended()
            return
        self._hand_over = HandOver(state)
        state.set_timer(HAND_OVER_TIMER, state.settings.timings.hand_over_timeout_seconds)
        self._continue_hand_over(now)

    def _continue_hand_over(self, now: float) -> None:
        hand_over = self._hand_over
        if hand_over is None or hand_over.successor is not None:
            return
        hand_over.successor = hand_over.choose(self._replicator.followers.values(), now)
        if hand_over.successor is None:
            return
        # From here on another leader may be elected at any time, even if the message arrives
        # late, so the lease is given up for good.
        self._lease.surrender(now)
        state = self._state
        state.log_event("hand_over", successor=hand_over.successor.node_id)
        message = ElectNow(state.term, to_wire_identity(state.identity))
        state.send(hand_over.successor.node_id, message)

    def on_hand_over_timer(self, now: float) -> None:
        """Handle a hand-over timeout: resign if a successor was asked, else continue to lead."""
        hand_over = self._hand_over
        if hand_over is None:
            return
        if hand_over.successor is not None:
            self._resign(now)
        else:
            self._end_hand_over()

    def _end_hand_over(self) -> None:
        self._hand_over = None
        self._state.cancel_timer(HAND_OVER_TIMER)
        self._state.report_hand_over_ended()
