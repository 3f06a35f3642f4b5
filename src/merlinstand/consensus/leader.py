"""One leadership: commits, lease, read barriers, membership changes and hand-over.

A new `Leader` for each term that this replica wins, made by `replica` and dropped when it is
deposed. Owns what only a leader knows: the lease (`leader_lease`), each follower's progress
(`replication`), reads that wait (`read_barrier`), what it observed of the members (`group_observer`)
and a hand-over under way.

Two rules hold the rest up. Entries of an older term are committed only together with one of the own
term (Raft, section 5.4.2). A membership is changed only on top of a committed one.
"""

from collections.abc import Callable

from result import Err, Ok, Result

from merlinstand.common.ids import NodeId
from merlinstand.consensus.group_observer import GroupWatch
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
from merlinstand.consensus.repair import apply_action, decide
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
    """What a replica is while it leads a term; a new object for each leadership."""

    def __init__(self, state: ReplicaState, now: float, resign: Callable[[float], None]) -> None:
        """Prepare a leadership; `begin` starts it.

        Args:
            state: Shared state.
            now: Local time.
            resign: Makes the replica a follower of its own accord.
        """
        self._state = state
        self._resign = resign
        timings = state.settings.timings
        self._lease = LeaderLease(
            state.identity, timings.leader_lease_seconds, state.last_group_time()
        )
        self._replicator = Replicator(state, self.may_act)
        self._reads = ReadBarrier()
        self._hand_over: HandOver | None = None
        self._watch = GroupWatch(state)
        self._first_index = 0
        self._uncommitted_bytes = 0
        self._quorum_heard_at = now

    def begin(self, founded: Membership | None, now: float) -> None:
        """Open the term with an entry of its own, so that older ones can be committed."""
        state = self._state
        self._first_index = state.log.last_index + 1
        if founded is not None:
            self._append(EntryKind.MEMBERSHIP, encode_membership(founded), now)
        self._append(EntryKind.NO_OP, b"", now)
        self.membership_changed(now)
        self._replicator.send_heartbeats(now)
        state.set_timer(HEARTBEAT_TIMER, state.settings.timings.heartbeat_interval_seconds)

    def end(self) -> None:
        """The leadership is over: nothing that was asked of it can be answered."""
        state = self._state
        state.cancel_timer(HEARTBEAT_TIMER)
        state.reads_refused(self._reads.all())
        if self._hand_over is not None:
            self._end_hand_over()

    # Time

    def may_act(self, now: float) -> bool:
        """Whether no other replica can be leader, and the commit index is the newest."""
        return self._lease.is_held(now) and self._state.commit_index >= self._first_index

    def group_time(self, now: float) -> float:
        """The group's time."""
        return self._lease.group_time(now)

    def proof_age_seconds(self, now: float) -> float | None:
        """Age of the proof that the delivered state is the newest."""
        if self._state.commit_index < self._first_index:
            return None
        return max(0.0, now - self._lease.lease_until)

    def membership_changed(self, now: float) -> None:
        """Follow the newest membership."""
        self._replicator.follow_membership(now)

    def member_progress(self, now: float) -> dict[Identity, MemberProgress]:
        """Durable position and silence of each member."""
        own = MemberProgress(self._state.journal.durable_index, 0.0)
        progress_of = {self._state.identity: own}
        for identity, progress in self._replicator.followers.items():
            silent_seconds = now - progress.last_heard_at
            progress_of[identity] = MemberProgress(progress.match_index, silent_seconds)
        return progress_of

    # Proposals

    def _append(self, kind: EntryKind, payload: bytes, now: float) -> int:
        entry = self._state.own_entry(kind, payload, self._lease.group_time(now))
        self._uncommitted_bytes += len(payload)
        return entry.index

    def propose(self, payload: bytes, now: float) -> Result[int, ProposeError]:
        """Append a command and send it out; returns its position."""
        if not self._lease.is_held(now) or self._hand_over is not None:
            return Err(NotLeaderError(detail="no leader lease at this moment"))
        if self._uncommitted_bytes > self._state.settings.limits.unsynced_bytes:
            return Err(OverloadedError(detail="too much waits for commitment"))
        index = self._append(EntryKind.COMMAND, payload, now)
        self._replicator.send_entries(now)
        return Ok(index)

    # Commitment

    def on_progress(self, now: float) -> None:
        """Something became durable somewhere: commit, extend the lease, send more."""
        state = self._state
        quorum_sent_at = self._lease.refresh(state.membership, now)
        self._quorum_heard_at = max(self._quorum_heard_at, quorum_sent_at)
        membership_committed = self._commit()
        if state.commit_index >= self._first_index:
            state.reads_passed(self._reads.passed(quorum_sent_at))
        self._replicator.send_entries(now)
        self._continue_hand_over(now)
        if membership_committed:
            # The next step of a repair follows at once: it is in between that another
            # loss hurts most.
            self._repair(now)

    def _commit(self) -> bool:
        """Commit what a quorum holds; true if a change of the membership was among it."""
        state = self._state
        index = self._replicator.committable_index()
        # An older term's entry at a quorum can still be replaced; it is committed only
        # together with an entry of the own term that follows it.
        if index > state.commit_index and state.log.term_at(index) == state.term:
            committed = state.log.between(max(state.commit_index + 1, self._first_index), index)
            self._uncommitted_bytes -= sum(len(entry.payload) for entry in committed)
            state.commit_index = index
            return any(entry.kind is EntryKind.MEMBERSHIP for entry in committed)
        return False

    def on_append_reply(self, reply: AppendReply, now: float) -> None:
        """Take an answer of this term; it counts for exactly the identity it names."""
        identity = from_wire_identity(reply.follower)
        progress = self._replicator.followers.get(identity)
        if progress is None:
            self._watch.on_stranger(identity, now)
            return
        self._lease.acknowledge(identity, reply.leader_sent_at)
        self._replicator.on_append_reply(progress, reply, now)
        self.on_progress(now)

    def on_snapshot_reply(self, reply: SnapshotReply, now: float) -> None:
        """Take an answer to a chunk, likewise."""
        identity = from_wire_identity(reply.follower)
        progress = self._replicator.followers.get(identity)
        if progress is None:
            return
        self._lease.acknowledge(identity, reply.leader_sent_at)
        self._replicator.on_snapshot_reply(progress, reply, now)
        self.on_progress(now)

    # Reads

    def read_barrier(self, read_id: str, now: float) -> None:
        """Pass a read at once under the lease, else after a quorum round."""
        if self.may_act(now):
            self._state.reads_passed([read_id])
            return
        if self._lease.is_surrendered:
            self._state.reads_refused([read_id])
            return
        self._reads.ask(read_id, now)
        self._replicator.send_heartbeats(now)
        self.on_progress(now)

    # Heartbeats

    def on_heartbeat_timer(self, now: float) -> None:
        """Send heartbeats, resign without a quorum, look after the membership."""
        state = self._state
        timings = state.settings.timings
        self.on_progress(now)
        if now - self._quorum_heard_at > timings.election_timeout_seconds:
            # Check-quorum: the lease ended long ago; let clients look elsewhere.
            state.log_event("quorum_lost", "warning")
            self._resign(now)
            return
        self._replicator.send_heartbeats(now)
        state.set_timer(HEARTBEAT_TIMER, timings.heartbeat_interval_seconds)
        self._repair(now)

    # Membership

    def on_join_request(self, request: JoinRequest, now: float) -> None:
        """Take note of a replica outside the group."""
        self._watch.on_join_request(request, now)

    def request_replacement(
        self, add_node: NodeId | None, remove_node: NodeId | None, now: float
    ) -> Result[int, ReplacementError]:
        """Log an operator's order."""
        if not self.may_act(now) or self._hand_over is not None:
            return Err(NotLeaderError(detail="no leader lease at this moment"))
        for node_id in (add_node, remove_node):
            if node_id is not None and self._state.address_of(node_id) is None:
                # A misspelt order would be kept by the group for ever.
                return Err(UnknownNodeError(detail=f"no control node is named {node_id!r}"))
        if not self._may_change_membership(now):
            return Err(MembershipRefusedError(detail="another change is under way"))
        membership = with_replacement_order(self._state.membership, add_node, remove_node)
        return Ok(self._propose_membership(membership, now))

    def _may_change_membership(self, now: float) -> bool:
        # Only on top of a committed membership and a committed entry of the own term:
        # else two leaders could build on memberships whose quorums don't overlap.
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
        action = decide(
            self._watch.view(self._replicator.followers.values(), now),
            self._watch.repair_settings(),
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
        """Begin to pass leadership on."""
        state = self._state
        if self._hand_over is not None:
            return
        if not has_possible_successor(state):
            state.note_hand_over_ended()
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
        # From here on another leader may be elected at any time, however late the
        # message arrives: this leadership never acts again.
        self._lease.surrender(now)
        state = self._state
        state.log_event("hand_over", successor=hand_over.successor.node_id)
        message = ElectNow(state.term, to_wire_identity(state.identity))
        state.send(hand_over.successor.node_id, message)

    def on_hand_over_timer(self, now: float) -> None:
        """The hand-over took too long: lead on, or let the group elect."""
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
        self._state.note_hand_over_ended()
