"""One replica of the control group, composed of the sibling modules.

Pure: events and the time are arguments, and operations are returned as effects. The owner calls
`start` once, passes every event for which `handles` is true to `handle`, and performs each returned
`Step` as described there.

The replica writes the process's journal and snapshot, so the owner must not emit `AppendRecords`
or `SaveSnapshot` itself.
"""

from typing import Any

import msgspec
from result import Err, Result

from merlinstand.common.ids import NodeId
from merlinstand.consensus.election import Election
from merlinstand.consensus.follower import Follower
from merlinstand.consensus.leader import Leader
from merlinstand.consensus.member_states import MemberState, describe_members
from merlinstand.consensus.membership import Identity, Membership
from merlinstand.consensus.recovery import recover
from merlinstand.consensus.settings import ReplicaSettings
from merlinstand.consensus.state import (
    ELECTION_TIMER,
    HAND_OVER_TIMER,
    HEARTBEAT_TIMER,
    JOIN_TIMER,
    TIMER_PREFIX,
    ReplicaState,
    Role,
)
from merlinstand.consensus.step import (
    LeadershipChange,
    NotLeaderError,
    Proposal,
    ProposeError,
    ReplacementError,
    Step,
)
from merlinstand.consensus.wire import from_wire_identity
from merlinstand.kernel.events import (
    Event,
    MessageReceived,
    RecordsSynced,
    SnapshotSaved,
    Started,
    TimerFired,
)
from merlinstand.protocol.generated.consensus.ttypes import (
    AppendReply,
    AppendRequest,
    ElectNow,
    JoinRequest,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)

_MESSAGE_CLASSES = (
    AppendRequest,
    AppendReply,
    VoteRequest,
    VoteReply,
    SnapshotChunk,
    SnapshotReply,
    ElectNow,
    JoinRequest,
)


class Replica:
    """Raft-style replication of an opaque command log."""

    def __init__(self, settings: ReplicaSettings) -> None:
        """Create a replica; `start` starts it."""
        self._state = ReplicaState(settings)
        self._election = Election(self._state, self._on_elected, self._on_deposed)
        self._follower = Follower(self._state, self._election)
        self._leader: Leader | None = None

    # Events

    def start(self, event: Started, now: float) -> Step:
        """Recover from the disk; `Step.restored` carries the snapshot's state, if any.

        Entries after the snapshot are delivered later, when a leader confirms that they are
        committed.

        Raises:
            JournalContentError: The content of the disk is inconsistent or cannot be decoded.
        """
        state = self._state
        restored = recover(state, event)
        for peer in state.settings.peers():
            state.learn_address(peer.node_id, peer.address)
        state.membership_changed()
        self._election.start(now)
        self._follower.start()
        return msgspec.structs.replace(self._finish(), restored=restored)

    def handles(self, event: Event) -> bool:
        """Whether an event must be passed to `handle`.

        True for `consensus.*` timers, messages of `consensus.thrift`, `RecordsSynced`
        and `SnapshotSaved`.
        """
        if isinstance(event, TimerFired):
            return event.name.startswith(TIMER_PREFIX)
        if isinstance(event, MessageReceived):
            return isinstance(event.message, _MESSAGE_CLASSES)
        return isinstance(event, RecordsSynced | SnapshotSaved)

    def handle(self, event: Event, now: float) -> Step:
        """Process an event for which `handles` is true."""
        if isinstance(event, MessageReceived):
            self._on_message(event.message, event.sender, now)
        elif isinstance(event, TimerFired):
            self._on_timer(event.name, now)
        elif isinstance(event, RecordsSynced | SnapshotSaved):
            self._on_synced(event.token, now)
        return self._finish()

    # Identity and roles

    @property
    def identity(self) -> Identity:
        """This replica's node and storage incarnation."""
        return self._state.identity

    @property
    def term(self) -> int:
        """Current term."""
        return self._state.term

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader of the current term, with or without a lease."""
        return self._leader is not None

    @property
    def leader(self) -> NodeId | None:
        """The leader of the current term, if known."""
        return self._state.leader.node_id if self._state.leader is not None else None

    @property
    def leader_address(self) -> str | None:
        """`ip:port` of the known leader's internal listener."""
        return self._state.address_of(self.leader) if self.leader is not None else None

    @property
    def membership(self) -> Membership:
        """The newest membership in the log."""
        return self._state.membership

    @property
    def commit_index(self) -> int:
        """Highest log index known to be committed; entries through it were delivered."""
        return self._state.commit_index

    def members(self, now: float) -> tuple[MemberState, ...]:
        """Status of the group's members, voters first."""
        progress = self._leader.member_progress(now) if self._leader is not None else {}
        return describe_members(self._state.membership, self._state.leader, progress)

    # Time

    def may_act(self, now: float) -> bool:
        """Whether this replica is the leader and no other replica can act as one.

        True while the leader lease is held, an entry of the current term is committed and no
        successor was asked to take over. Check it immediately before any operation that relies on
        being the only leader.
        """
        return self._leader is not None and self._leader.may_act(now)

    def group_time(self, now: float) -> float:
        """Return the group time in seconds; on a follower, that of its newest log entry.

        Group time advances only by the elapsed time of a leader that holds its lease. So, except
        for clock drift, it is never faster than real time. Every log entry contains the group time,
        and a new leader starts at that of the newest entry in its log. Durations in group time
        never end too early for a lease holder that counts real time; after a failover they end
        later. The state machine must decide expiry by `CommittedEntry.group_time` only, so that all
        replicas agree.
        """
        if self._leader is not None:
            return self._leader.group_time(now)
        return self._state.last_group_time()

    def proof_age_seconds(self, now: float) -> float | None:
        """Return an upper bound of the staleness of the delivered state, in seconds.

        0 on a leader for which `may_act` is true. On a follower, everything that was committed
        this many seconds ago has been delivered. None if there is no freshness proof yet.
        """
        if self._leader is not None:
            return self._leader.proof_age_seconds(now)
        return self._follower.proof.age_seconds(now)

    # Requests

    def propose(self, payload: bytes, now: float) -> Result[Proposal, ProposeError]:
        """Append a command to the log; only a leader with a lease accepts it.

        An error means that the command was not appended. When `Step.committed` delivers an entry
        at the proposal's index, the command is committed if the term is equal too, and lost
        otherwise. Proposals made while a journal write runs share the next write (group commit).
        """
        if self._leader is None:
            return Err(NotLeaderError(detail="not the leader", leader=self.leader))
        return self._leader.propose(payload, now).map(self._proposed)

    def read_barrier(self, read_id: str, now: float) -> Step:
        """Request a linearizable read from the delivered state.

        `Step.reads_ready` contains `read_id` in this step if the lease is held, else in a later
        step after a quorum round. `Step.reads_failed` contains it if this replica is not the leader
        or stops being the leader.
        """
        if self._leader is None:
            self._state.report_reads_failed([read_id])
        else:
            self._leader.read_barrier(read_id, now)
        return self._finish()

    def compact(self, applied_index: int, state: bytes, now: float) -> Step:
        """Save a snapshot of the state machine at `applied_index` and discard older entries."""
        self._state.compact(applied_index, state)
        return self._finish()

    def hand_over(self, now: float) -> Step:
        """Transfer leadership to another voter, before a planned stop.

        Proposals are refused from now on, until `Step.hand_over_ended` is true. It is true in the
        step returned here if this replica does not lead or there is no other voter.
        """
        if self._leader is None:
            self._state.report_hand_over_ended()
        else:
            self._leader.hand_over(now)
        return self._finish()

    def request_replacement(
        self, add_node: NodeId | None, remove_node: NodeId | None, now: float
    ) -> Result[Proposal, ReplacementError]:
        """Record an operator's order to add a node, to remove one, or both.

        The order is a log entry of its own. The leader then makes one membership change at a time,
        learners first, and hands over before it is removed itself.
        """
        if self._leader is None:
            return Err(NotLeaderError(detail="not the leader", leader=self.leader))
        return self._leader.request_replacement(add_node, remove_node, now).map(self._proposed)

    # Dispatch

    def _finish(self) -> Step:
        step = self._state.finish_step()
        self._follower.proof.on_delivered(self._state.delivered_index)
        return step

    def _proposed(self, index: int) -> Proposal:
        return Proposal(index, self._state.term, self._finish())

    def _on_timer(self, name: str, now: float) -> None:
        if name == ELECTION_TIMER:
            self._election.on_timer(now)
        elif name == JOIN_TIMER:
            self._follower.on_join_timer(now)
        elif self._leader is not None:
            if name == HEARTBEAT_TIMER:
                self._leader.on_heartbeat_timer(now)
            elif name == HAND_OVER_TIMER:
                self._leader.on_hand_over_timer(now)

    def _on_synced(self, token: int, now: float) -> None:
        for effect in self._state.journal.confirm(token):
            self._state.emit(effect)
        self._election.on_synced(now)
        if self._leader is not None:
            self._leader.on_progress(now)

    def _on_message(self, message: Any, sender: NodeId, now: float) -> None:
        if isinstance(message, AppendRequest):
            self._follower.on_append(message, sender, now)
        elif isinstance(message, AppendReply | SnapshotReply):
            self._on_follower_reply(message, now)
        elif isinstance(message, VoteRequest):
            self._election.on_vote_request(message, sender, now)
        elif isinstance(message, VoteReply):
            self._election.on_vote_reply(message, now)
        elif isinstance(message, SnapshotChunk):
            self._follower.on_chunk(message, sender, now)
        elif isinstance(message, ElectNow):
            self._follower.on_elect_now(message, now)
        elif isinstance(message, JoinRequest):
            self._on_join_request(message, sender, now)

    def _on_follower_reply(self, reply: AppendReply | SnapshotReply, now: float) -> None:
        state = self._state
        if self._leader is None or reply.term < state.term:
            return
        if reply.term > state.term:
            # Only a member's term counts: a non-member cannot depose a leader.
            if state.membership.find_member(from_wire_identity(reply.follower)) is not None:
                self._election.adopt_term(reply.term, now)
        elif isinstance(reply, AppendReply):
            self._leader.on_append_reply(reply, now)
        else:
            self._leader.on_snapshot_reply(reply, now)

    def _on_join_request(self, request: JoinRequest, sender: NodeId, now: float) -> None:
        self._state.learn_address(NodeId(request.replica.node_id), request.address)
        if self._leader is not None:
            self._leader.on_join_request(request, now)
        else:
            self._follower.relay_join(request, sender)

    # Transitions

    def _on_elected(self, now: float, initial_membership: Membership | None) -> None:
        state = self._state
        state.role = Role.LEADER
        state.leader = state.identity
        state.log_event("elected", founded=initial_membership is not None)
        state.report_leadership_change(LeadershipChange.GAINED)
        self._leader = Leader(state, now, self._resign)
        self._leader.begin(initial_membership, now)

    def _resign(self, now: float) -> None:
        self._state.leader = None
        self._election.become_follower(now)
        self._on_deposed()

    def _on_deposed(self) -> None:
        state = self._state
        if self._leader is not None:
            self._leader.end()
            self._leader = None
            state.log_event("deposed")
            state.report_leadership_change(LeadershipChange.LOST)
