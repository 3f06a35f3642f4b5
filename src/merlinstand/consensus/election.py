"""Elections: pre-vote, votes, the voters' promise to a live leader, and bootstrap of the group.

Safety relies on these rules:

- Term and vote are synced before any message that depends on them is sent.
- Votes count by identity (node and incarnation), never by node alone.
- A voter that received a message from a leader promises not to vote for another candidate for one
  election timeout, unless that leader itself handed over. A restarted voter has lost its promises,
  so it refuses for one election timeout too, unless a census proves that no leader relies on them
  (`restart_census`).
"""

from collections.abc import Callable

from merlinstand.common.ids import NodeId
from merlinstand.consensus.membership import Identity, Member, Membership
from merlinstand.consensus.quorum import quorum_size
from merlinstand.consensus.restart_census import RestartCensus
from merlinstand.consensus.state import ELECTION_TIMER, ReplicaState, Role
from merlinstand.consensus.wire import from_wire_identity, to_wire_identity
from merlinstand.protocol.generated.consensus.ttypes import VoteReply, VoteRequest

RESTART_RETRY_SHARE = 0.5
"""Until its promise ends, a restarted voter starts a pre-vote at random intervals of one to two
times this share of the heartbeat interval."""
START_NUMBER_BITS = 62
"""Size of the random number that identifies one start of a replica, and of census rounds."""


class Election:
    """Votes granted and received by one replica."""

    def __init__(
        self,
        state: ReplicaState,
        on_elected: Callable[[float, Membership | None], None],
        on_deposed: Callable[[], None],
    ) -> None:
        """Create the election of a replica.

        Args:
            state: State shared by the replica's roles.
            on_elected: Called after a won election, with the initial membership if the election
                bootstrapped the group.
            on_deposed: Called when a leader must become a follower.
        """
        self._state = state
        self._on_elected = on_elected
        self._on_deposed = on_deposed
        self._votes: dict[NodeId, Identity] = {}
        self._own_vote_position = 0
        self._promised_until = float("-inf")
        self._restart_promise_until = float("-inf")
        self._start_number = 0
        self._census = RestartCensus()
        self._confirmed_starts: dict[NodeId, int] = {}
        """Start numbers of the voters whose restart promises do not apply to this candidacy."""
        self._deadline = 0.0
        self._uses_hand_over = False
        self._timer_due: float | None = None

    def start(self, now: float) -> None:
        """Start as a follower; unless the disk was blank, assume a promise before the start."""
        state = self._state
        self._start_number = 1 + state.random.getrandbits(START_NUMBER_BITS)
        if state.is_blank:
            self.reset_deadline(now)
            return
        self._restart_promise_until = now + state.settings.timings.election_timeout_seconds
        self._schedule_restart_retry(now)

    # Time

    def reset_deadline(self, now: float) -> None:
        """Move the election deadline to a new random time.

        The timer that is already armed is kept: when it fires it is armed again for the new
        deadline, so that a heartbeat needs no timer operation.
        """
        self._schedule_after(now, self._state.settings.timings.election_timeout_seconds)

    def _schedule_restart_retry(self, now: float) -> None:
        """Set a short deadline: a census may allow an early election after a group restart."""
        pause_seconds = (
            RESTART_RETRY_SHARE * self._state.settings.timings.heartbeat_interval_seconds
        )
        self._set_deadline(now, pause_seconds, pause_seconds)

    def _schedule_after(self, now: float, minimum_seconds: float) -> None:
        spread_seconds = self._state.settings.timings.election_timeout_spread_seconds
        self._set_deadline(now, minimum_seconds, spread_seconds)

    def _set_deadline(self, now: float, minimum_seconds: float, spread_seconds: float) -> None:
        self._deadline = now + minimum_seconds + self._state.random.random() * spread_seconds
        if self._timer_due is None:
            self._arm(now)

    def _arm(self, now: float) -> None:
        self._timer_due = self._deadline
        self._state.set_timer(ELECTION_TIMER, max(0.0, self._deadline - now))

    def on_leader_contact(self, now: float) -> None:
        """Handle a valid leader's message: promise to elect no other for one election timeout."""
        self._promised_until = now + self._state.settings.timings.election_timeout_seconds
        self._census.reset()
        self.reset_deadline(now)

    def is_promised(self, now: float) -> bool:
        """Whether a promise forbids helping to elect another leader now."""
        return now < self._restart_promise_until or self._is_promised_since_start(now)

    def _is_promised_since_start(self, now: float) -> bool:
        """Whether this replica leads, or made a promise since its start that is still in force."""
        return self._state.role is Role.LEADER or now < self._promised_until

    def on_timer(self, now: float) -> None:
        """Handle the election timer."""
        self._timer_due = None
        if self._state.role is Role.LEADER:
            return
        if now < self._deadline:
            self._arm(now)
            return
        if not self._may_campaign():
            self.reset_deadline(now)
            return
        if now < self._restart_promise_until:
            self._schedule_restart_retry(now)
        else:
            self._schedule_after(now, self._state.settings.timings.heartbeat_interval_seconds)
        self._request_votes(Role.PRE_CANDIDATE, now)

    # Candidacy

    def _may_campaign(self) -> bool:
        return self._state.is_voter or self._may_bootstrap()

    def _may_bootstrap(self) -> bool:
        state = self._state
        is_first_start = state.settings.bootstrap or state.has_first_start_record
        return state.is_blank and is_first_start and state.settings.is_first_member

    def campaign_without_pre_vote(self, now: float) -> None:
        """Start an election without pre-vote because the leader handed over to this replica."""
        if not self._state.is_voter or self._state.role is Role.LEADER:
            return
        self._uses_hand_over = True
        self.reset_deadline(now)
        self._start_election(now)

    def _start_election(self, now: float) -> None:
        self._state.set_hard_state(self._state.term + 1, self._state.identity)
        self._state.leader = None
        self._request_votes(Role.CANDIDATE, now)

    def _request_votes(self, role: Role, now: float) -> None:
        state = self._state
        state.role = role
        state.leader = None
        self._votes = {}
        is_pre_vote = role is Role.PRE_CANDIDATE
        if is_pre_vote:
            self._census.open_round(1 + state.random.getrandbits(START_NUMBER_BITS))
        for node_id in self._vote_request_targets():
            if node_id != state.identity.node_id:
                state.send_when_synced(node_id, self._vote_request(node_id, is_pre_vote))
        if is_pre_vote:
            self._uses_hand_over = False
            self._count_vote(state.identity, now)
        else:
            self._own_vote_position = state.journal.position
            self.on_synced(now)

    def _vote_request(self, receiver: NodeId, is_pre_vote: bool) -> VoteRequest:
        state = self._state
        return VoteRequest(
            term=state.term + 1 if is_pre_vote else state.term,
            candidate=to_wire_identity(state.identity),
            last_log_index=state.log.last_index,
            last_log_term=state.log.last_term,
            pre_vote=is_pre_vote,
            hand_over=self._uses_hand_over and not is_pre_vote,
            round=self._census.round,
            voter_start=0 if is_pre_vote else self._confirmed_starts.get(receiver, 0),
        )

    def on_synced(self, now: float) -> None:
        """Count the replica's own vote once it is durable."""
        state = self._state
        is_pending = state.role is Role.CANDIDATE and state.identity.node_id not in self._votes
        if is_pending and state.journal.synced_position >= self._own_vote_position:
            self._count_vote(state.identity, now)

    def _vote_request_targets(self) -> tuple[NodeId, ...]:
        state = self._state
        if self._may_bootstrap():
            peers = tuple(peer.node_id for peer in state.settings.peers())
            return (state.identity.node_id, *peers)
        # A node may also be listed under its previous identity; send each node one request only.
        return tuple(dict.fromkeys(member.identity.node_id for member in state.membership.voters))

    # Vote requests

    def on_vote_request(self, request: VoteRequest, sender: NodeId, now: float) -> None:
        """Answer a vote or pre-vote request."""
        if request.pre_vote:
            self._answer_pre_vote(request, sender, now)
        elif request.hand_over or not self._is_vote_forbidden(request, now):
            self._answer_vote(request, sender, now)

    def _is_vote_forbidden(self, request: VoteRequest, now: float) -> bool:
        """Whether a promise forbids the vote.

        A request that names the current start number follows a confirmed census, so the promise
        assumed after the restart is ignored.
        """
        if request.voter_start and request.voter_start == self._start_number:
            return self._is_promised_since_start(now)
        return self.is_promised(now)

    def _answer_pre_vote(self, request: VoteRequest, sender: NodeId, now: float) -> None:
        state = self._state
        is_eligible = (
            request.term > state.term
            and not self._is_promised_since_start(now)
            and state.log.is_up_to_date(request.last_log_index, request.last_log_term)
        )
        granted = is_eligible and now >= self._restart_promise_until
        if is_eligible and not granted:
            # The sender is also campaigning early; delay to avoid competing with it.
            self._schedule_restart_retry(now)
        reply = VoteReply(
            term=request.term if granted else state.term,
            voter=to_wire_identity(state.identity),
            granted=granted,
            pre_vote=True,
            round=request.round,
            start=self._start_number if is_eligible else 0,
        )
        state.send_when_synced(sender, reply)

    def _answer_vote(self, request: VoteRequest, sender: NodeId, now: float) -> None:
        state = self._state
        candidate = from_wire_identity(request.candidate)
        if request.term > state.term:
            self.adopt_term(request.term, now)
        granted = (
            request.term == state.term
            and state.voted_for in (None, candidate)
            and state.log.is_up_to_date(request.last_log_index, request.last_log_term)
        )
        if granted:
            state.set_hard_state(state.term, candidate)
            self.reset_deadline(now)
        state.send_when_synced(
            sender, VoteReply(state.term, to_wire_identity(state.identity), granted, False)
        )

    def adopt_term(self, term: int, now: float) -> None:
        """Become a follower in a newer term in which this replica has not voted."""
        was_leader = self._state.role is Role.LEADER
        self._state.set_hard_state(term, None)
        self._state.leader = None
        self.become_follower(now)
        if was_leader:
            self._on_deposed()

    def become_follower(self, now: float) -> None:
        """Become a follower and drop any candidacy."""
        self._state.role = Role.FOLLOWER
        self._uses_hand_over = False
        self._confirmed_starts = {}
        self._votes = {}
        self.reset_deadline(now)

    # Vote replies

    def on_vote_reply(self, reply: VoteReply, now: float) -> None:
        """Count a granted vote or a census reply; after a refusal with a higher term, adopt it."""
        state = self._state
        voter = from_wire_identity(reply.voter)
        if reply.pre_vote:
            self._census.record_reply(voter, reply.round, reply.start)
            if self._evaluate_census(now):
                return
        if not reply.granted:
            if reply.term > state.term and not self.is_promised(now):
                self.adopt_term(reply.term, now)
            return
        if reply.pre_vote:
            expected_role, expected_term = Role.PRE_CANDIDATE, state.term + 1
        else:
            expected_role, expected_term = Role.CANDIDATE, state.term
        if state.role is expected_role and reply.term == expected_term:
            self._count_vote(voter, now)

    def _evaluate_census(self, now: float) -> bool:
        """Start an election if two successive rounds prove that no leader relies on a promise.

        As soon as all voters have replied to the first round, the second one is sent.

        Returns:
            Whether a round was completed, so that the reply needs no further handling.
        """
        state = self._state
        if state.role is not Role.PRE_CANDIDATE or now >= self._restart_promise_until:
            return False
        voters = state.membership.voter_identities()
        if not self._census.is_complete(v for v in voters if v != state.identity):
            return False
        is_confirmed = self._census.is_confirmed()
        self._census.close_round()
        if is_confirmed:
            self._confirmed_starts = dict(self._census.starts)
            state.log_event("census", voters=len(voters))
            self._start_election(now)
        else:
            self._request_votes(Role.PRE_CANDIDATE, now)
        return True

    def _count_vote(self, voter: Identity, now: float) -> None:
        self._votes[voter.node_id] = voter
        if not self._has_won():
            return
        if self._state.role is Role.PRE_CANDIDATE:
            # This replica's own restart promise forbids its own vote as well.
            if now >= self._restart_promise_until:
                self._start_election(now)
        else:
            self._on_elected(now, self._initial_membership() if self._may_bootstrap() else None)

    def _has_won(self) -> bool:
        if self._may_bootstrap():
            # Bootstrap needs every vote: a node that holds a log refuses, see decision 0002.
            return all(node_id in self._votes for node_id in self._vote_request_targets())
        voters = self._state.membership.voter_identities()
        granted = [vote for vote in self._votes.values() if vote in voters]
        return len(granted) >= quorum_size(len(voters))

    def _initial_membership(self) -> Membership:
        return Membership(
            voters=tuple(
                Member(self._votes[peer.node_id], peer.address, peer.zone)
                for peer in self._state.settings.members
            )
        )
