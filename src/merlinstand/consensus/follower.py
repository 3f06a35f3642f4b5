"""Follower role: receives the log from a leader.

Answers append requests and snapshot chunks, and sends a `JoinRequest` while the replica is not a
member or has no contact with a leader. Entries are acknowledged only once they are durable. A
heartbeat is answered at once with the durable log index, unless the term is not durable yet.
"""

from merlinstand.common.ids import NodeId
from merlinstand.consensus.election import Election
from merlinstand.consensus.membership import Identity
from merlinstand.consensus.proof import FreshnessProof
from merlinstand.consensus.snapshot_transfer import ReceivedChunk, SnapshotReceiver
from merlinstand.consensus.state import JOIN_TIMER, ReplicaState, Role
from merlinstand.consensus.wire import from_wire_entry, from_wire_identity, to_wire_identity
from merlinstand.protocol.generated.consensus.ttypes import (
    AppendReply,
    AppendRequest,
    ElectNow,
    JoinRequest,
    LogEntry,
    SnapshotChunk,
    SnapshotReply,
)


class Follower:
    """Follower side of replication; owns the partly received snapshot and the freshness proof."""

    def __init__(self, state: ReplicaState, election: Election) -> None:
        """Create the follower role of a replica."""
        self._state = state
        self._election = election
        self._snapshot_receiver = SnapshotReceiver()
        self._last_leader_contact_at: float | None = None
        self.proof = FreshnessProof()

    # Joining

    def start(self) -> None:
        """Send join requests until this replica is a member in contact with the leader."""
        self._send_join_requests()
        self._state.set_timer(JOIN_TIMER, self._state.settings.timings.join_interval_seconds)

    def on_join_timer(self, now: float) -> None:
        """Send another join request if not a member, or without contact with a leader."""
        state = self._state
        state.set_timer(JOIN_TIMER, state.settings.timings.join_interval_seconds)
        if state.role is Role.LEADER:
            return
        if state.membership.find_member(state.identity) is None or not self._has_leader_contact(
            now
        ):
            self._send_join_requests()

    def _has_leader_contact(self, now: float) -> bool:
        limit_seconds = 2 * self._state.settings.timings.election_timeout_seconds
        return (
            self._last_leader_contact_at is not None
            and now - self._last_leader_contact_at < limit_seconds
        )

    def _send_join_requests(self) -> None:
        state = self._state
        settings = state.settings
        request = JoinRequest(to_wire_identity(state.identity), settings.address, settings.zone)
        receivers = {peer.node_id for peer in settings.peers()}
        receivers.update(member.identity.node_id for member in state.membership.members())
        for node_id in sorted(receivers - {state.identity.node_id}):
            state.send(node_id, request)

    def relay_join(self, request: JoinRequest, sender: NodeId) -> None:
        """Forward a join request that comes from the joining replica itself to the leader."""
        leader = self._state.leader
        is_original = request.replica.node_id == sender
        if is_original and leader is not None and leader.node_id != sender:
            self._state.send(leader.node_id, request)

    # Following

    def _accept_leader(self, term: int, leader: Identity, now: float) -> bool:
        """Accept a message's sender as leader; false if its term is older than the current one."""
        state = self._state
        if term < state.term:
            return False
        if term > state.term:
            self._election.adopt_term(term, now)
        elif state.role is not Role.FOLLOWER:
            assert state.role is not Role.LEADER, (
                "received a message of another leader of the term that this replica leads"
            )
            self._election.become_follower(now)
        if state.leader != leader:
            state.leader = leader
            state.log_event("following", leader=leader.node_id)
        self._last_leader_contact_at = now
        self._election.on_leader_contact(now)
        return True

    def on_append(self, request: AppendRequest, sender: NodeId, now: float) -> None:
        """Handle an append request: entries or a heartbeat."""
        state = self._state
        if not self._accept_leader(request.term, from_wire_identity(request.leader), now):
            self._reply(sender, request, False, 0, now)
            return
        first_new, matches = self._check_previous(request)
        if not matches:
            self._reply(sender, request, False, self._next_probe_index(request.previous_index), now)
            return
        self._append_missing(request.entries[first_new:])
        verified = request.previous_index + len(request.entries)
        self._advance_commit(min(request.commit_index, verified))
        if request.leader_lease_held:
            self.proof.add_claim(request.commit_index, request.follower_sent_at)
        if request.entries:
            self._reply(sender, request, True, verified, now)
        else:
            # A heartbeat is answered at once, even while a disk write is running.
            self._reply(sender, request, True, min(verified, state.journal.durable_index), now)

    def _check_previous(self, request: AppendRequest) -> tuple[int, bool]:
        """Check that the log holds the entry that precedes the request's new entries.

        Returns:
            The number of entries to skip because the snapshot covers them, and whether the
            preceding entry matches.
        """
        log = self._state.log
        skipped = max(0, log.base_index - request.previous_index)
        if skipped > 0:
            # Everything covered by the snapshot is committed, so it equals the leader's entries.
            return min(skipped, len(request.entries)), True
        return 0, log.term_at(request.previous_index) == request.previous_term

    def _next_probe_index(self, previous_index: int) -> int:
        """Index to which the leader should go back: before all entries of the conflicting term."""
        log = self._state.log
        if previous_index > log.last_index:
            return log.last_index
        candidate = log.first_index_of_term(previous_index) - 1
        return max(candidate, self._state.commit_index, 0)

    def _append_missing(self, entries: list[LogEntry]) -> None:
        state = self._state
        for entry in entries:
            held_term = state.log.term_at(entry.index)
            if held_term == entry.term:
                continue
            if held_term is not None:
                state.truncate_from(entry.index)
            state.append_entry(from_wire_entry(entry))

    def _advance_commit(self, index: int) -> None:
        self._state.commit_index = max(self._state.commit_index, index)

    def _reply(
        self, sender: NodeId, request: AppendRequest, success: bool, match_index: int, now: float
    ) -> None:
        state = self._state
        reply = AppendReply(
            term=state.term,
            follower=to_wire_identity(state.identity),
            success=success,
            match_index=match_index,
            leader_sent_at=request.sent_at,
            follower_sent_at=self.proof.issue_stamp(now),
        )
        if request.entries or state.has_unsynced_hard_state:
            state.send_when_synced(sender, reply)
        else:
            state.send(sender, reply)

    # Snapshots

    def on_chunk(self, chunk: SnapshotChunk, sender: NodeId, now: float) -> None:
        """Handle a snapshot chunk; install the snapshot once it is complete."""
        state = self._state
        if not self._accept_leader(chunk.term, from_wire_identity(chunk.leader), now):
            self._reply_to_chunk(sender, chunk, ReceivedChunk(0), False)
            return
        if chunk.last_index <= state.commit_index:
            self._reply_to_chunk(sender, chunk, ReceivedChunk(0), True)
            return
        key = (chunk.term, chunk.last_index, chunk.last_term)
        received = self._snapshot_receiver.add_chunk(key, chunk.offset, chunk.data, chunk.done)
        if received.snapshot is not None:
            state.log_event("snapshot_installed", index=chunk.last_index, bytes=len(received.data))
            state.install_snapshot(received.data)
        self._reply_to_chunk(sender, chunk, received, received.snapshot is not None)

    def _reply_to_chunk(
        self, sender: NodeId, chunk: SnapshotChunk, received: ReceivedChunk, installed: bool
    ) -> None:
        state = self._state
        reply = SnapshotReply(
            term=state.term,
            follower=to_wire_identity(state.identity),
            last_index=chunk.last_index,
            next_offset=received.next_offset,
            installed=installed,
            leader_sent_at=chunk.sent_at,
        )
        if installed or state.has_unsynced_hard_state:
            state.send_when_synced(sender, reply)
        else:
            state.send(sender, reply)

    # Hand-over

    def on_elect_now(self, message: ElectNow, now: float) -> None:
        """Handle the request of the current leader to succeed it."""
        state = self._state
        if message.term == state.term and from_wire_identity(message.leader) == state.leader:
            self._election.campaign_without_pre_vote(now)
