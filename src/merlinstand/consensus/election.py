"""Elections: pre-vote, votes, the promise to a living leader, and founding the group.

Rules that safety rests on:

- Term and vote are synced before any message that depends on them leaves.
- Votes count by identity (node and incarnation), never by node.
- A voter that heard from a leader within one election timeout helps nobody else, unless
  that leader itself handed over. The same holds after a restart, because the promise
  made before it is forgotten, unless a census proves that leader to be gone
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

EARLY_SHARE = 0.5
"""A restarted voter asks after this share of a heartbeat interval, and again until its promise
ends."""
START_BITS = 62
"""Bits of the random number that tells one start of a replica from another."""


class Election:
    """Votes given and received by one replica."""

    def __init__(
        self,
        state: ReplicaState,
        on_elected: Callable[[float, Membership | None], None],
        on_deposed: Callable[[], None],
    ) -> None:
        """Wire the election to its replica.

        Args:
            state: Shared state.
            on_elected: Called on a won election; with the first membership if the group
                was founded by it.
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
        """Starts of the voters whose promises the present candidacy may set aside."""
        self._deadline = 0.0
        self._uses_hand_over = False
        self._timer_due: float | None = None

    def start(self, now: float) -> None:
        """Begin as a follower that may have promised something before its restart."""
        state = self._state
        self._start_number = 1 + state.random.getrandbits(START_BITS)
        if state.is_blank:
            self.postpone(now)
            return
        self._restart_promise_until = now + state.settings.timings.election_timeout_seconds
        self._wait_early(now)

    # Time

    def postpone(self, now: float) -> None:
        """Wait a new random time before standing for election.

        The running timer is left alone: it finds the later deadline when it fires, so a
        heartbeat costs no timer.
        """
        self._wait(now, self._state.settings.timings.election_timeout_seconds)

    def _wait_early(self, now: float) -> None:
        """Wait a moment only: the whole group may have restarted."""
        pause_seconds = EARLY_SHARE * self._state.settings.timings.heartbeat_interval_seconds
        self._wait_between(now, pause_seconds, pause_seconds)

    def _wait(self, now: float, shortest_seconds: float) -> None:
        spread_seconds = self._state.settings.timings.election_timeout_spread_seconds
        self._wait_between(now, shortest_seconds, spread_seconds)

    def _wait_between(self, now: float, shortest_seconds: float, spread_seconds: float) -> None:
        self._deadline = now + shortest_seconds + self._state.random.random() * spread_seconds
        if self._timer_due is None:
            self._arm(now)

    def _arm(self, now: float) -> None:
        self._timer_due = self._deadline
        self._state.set_timer(ELECTION_TIMER, max(0.0, self._deadline - now))

    def heard_leader(self, now: float) -> None:
        """A valid leader was heard: promise it one election timeout."""
        self._promised_until = now + self._state.settings.timings.election_timeout_seconds
        self._census.forget()
        self.postpone(now)

    def is_promised(self, now: float) -> bool:
        """Whether this replica must not help to elect another leader now."""
        return now < self._restart_promise_until or self._is_promised_since_start(now)

    def _is_promised_since_start(self, now: float) -> bool:
        """Whether it leads, or has promised something that it remembers."""
        return self._state.role is Role.LEADER or now < self._promised_until

    def on_timer(self, now: float) -> None:
        """The election timer fired."""
        self._timer_due = None
        if self._state.role is Role.LEADER:
            return
        if now < self._deadline:
            self._arm(now)
            return
        if not self._may_stand():
            self.postpone(now)
            return
        if now < self._restart_promise_until:
            self._wait_early(now)
        else:
            self._wait(now, self._state.settings.timings.heartbeat_interval_seconds)
        self._ask_for_votes(Role.PRE_CANDIDATE, now)

    # Standing for election

    def _may_stand(self) -> bool:
        return self._state.is_voter or self._may_found()

    def _may_found(self) -> bool:
        state = self._state
        is_first_start = state.settings.bootstrap or state.was_first_start
        return state.is_blank and is_first_start and state.settings.is_first_member

    def stand_at_once(self, now: float) -> None:
        """The present leader handed over: stand without pre-vote."""
        if not self._state.is_voter or self._state.role is Role.LEADER:
            return
        self._uses_hand_over = True
        self.postpone(now)
        self._begin_candidacy(now)

    def _begin_candidacy(self, now: float) -> None:
        self._state.set_hard_state(self._state.term + 1, self._state.identity)
        self._state.leader = None
        self._ask_for_votes(Role.CANDIDATE, now)

    def _ask_for_votes(self, role: Role, now: float) -> None:
        state = self._state
        state.role = role
        state.leader = None
        self._votes = {}
        is_pre_vote = role is Role.PRE_CANDIDATE
        if is_pre_vote:
            self._census.open_round(1 + state.random.getrandbits(START_BITS))
        for node_id in self._electorate():
            if node_id != state.identity.node_id:
                state.send_when_synced(node_id, self._vote_request(node_id, is_pre_vote))
        if is_pre_vote:
            self._uses_hand_over = False
            self._count(state.identity, now)
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
        """Count the own vote, like any other, only when it is durable."""
        state = self._state
        is_pending = state.role is Role.CANDIDATE and state.identity.node_id not in self._votes
        if is_pending and state.journal.synced_position >= self._own_vote_position:
            self._count(state.identity, now)

    def _electorate(self) -> tuple[NodeId, ...]:
        state = self._state
        if self._may_found():
            peers = tuple(peer.node_id for peer in state.settings.peers())
            return (state.identity.node_id, *peers)
        # Once each: a node may be listed with its former identity, too.
        return tuple(dict.fromkeys(member.identity.node_id for member in state.membership.voters))

    # Votes given

    def on_vote_request(self, request: VoteRequest, sender: NodeId, now: float) -> None:
        """Answer a request for a vote."""
        if request.pre_vote:
            self._answer_pre_vote(request, sender, now)
        elif request.hand_over or not self._is_bound(request, now):
            self._answer_vote(request, sender, now)

    def _is_bound(self, request: VoteRequest, now: float) -> bool:
        """Whether a promise forbids the vote; a census of this very start lifts a restart's."""
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
            # The asker is early, too; don't stand against it.
            self._wait_early(now)
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
            self.postpone(now)
        state.send_when_synced(
            sender, VoteReply(state.term, to_wire_identity(state.identity), granted, False)
        )

    def adopt_term(self, term: int, now: float) -> None:
        """Follow into a newer term, in which this replica hasn't voted yet."""
        was_leader = self._state.role is Role.LEADER
        self._state.set_hard_state(term, None)
        self._state.leader = None
        self.become_follower(now)
        if was_leader:
            self._on_deposed()

    def become_follower(self, now: float) -> None:
        """Stop standing for election."""
        self._state.role = Role.FOLLOWER
        self._uses_hand_over = False
        self._confirmed_starts = {}
        self._votes = {}
        self.postpone(now)

    # Votes received

    def on_vote_reply(self, reply: VoteReply, now: float) -> None:
        """Count a vote."""
        state = self._state
        voter = from_wire_identity(reply.voter)
        if reply.pre_vote:
            self._census.note(voter, reply.round, reply.start)
            if self._take_census(now):
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
            self._count(voter, now)

    def _take_census(self, now: float) -> bool:
        """Stand for election if all voters have twice said that their restart binds them to
        nobody; ask the second time as soon as all have answered the first.

        Returns:
            Whether the answer has had its effect.
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
            self._begin_candidacy(now)
        else:
            self._ask_for_votes(Role.PRE_CANDIDATE, now)
        return True

    def _count(self, voter: Identity, now: float) -> None:
        self._votes[voter.node_id] = voter
        if not self._has_won():
            return
        if self._state.role is Role.PRE_CANDIDATE:
            # The own vote is bound by the own restart, too.
            if now >= self._restart_promise_until:
                self._begin_candidacy(now)
        else:
            self._on_elected(now, self._founded_membership() if self._may_found() else None)

    def _has_won(self) -> bool:
        if self._may_found():
            # Founding needs everybody: whoever holds a log refuses, see decision 0002.
            return all(node_id in self._votes for node_id in self._electorate())
        voters = self._state.membership.voter_identities()
        granted = [vote for vote in self._votes.values() if vote in voters]
        return len(granted) >= quorum_size(len(voters))

    def _founded_membership(self) -> Membership:
        return Membership(
            voters=tuple(
                Member(self._votes[peer.node_id], peer.address, peer.zone)
                for peer in self._state.settings.members
            )
        )
