"""Mutants of the consensus code, each without one guard, to prove that the checks detect it."""

from collections.abc import Callable

import pytest

from merlinstand.consensus import (
    election,
    follower,
    leader,
    leader_lease,
    log,
    membership_history,
    proof,
    replication,
    restart_census,
    snapshot_transfer,
    state,
)
from merlinstand.consensus.journal import Journal
from merlinstand.consensus.leader_lease import LeaderLease
from merlinstand.consensus.quorum import quorum_size
from merlinstand.consensus.state import ReplicaState, Role

Patch = pytest.MonkeyPatch
Mutant = Callable[[Patch], None]


def vote_not_persisted(patch: Patch) -> None:
    patch.setattr(ReplicaState, "persist_hard_state", lambda self: None)


def replies_sent_before_sync(patch: Patch) -> None:
    patch.setattr(Journal, "hold_until_synced", lambda self, effect: effect)


def leader_counts_its_unsynced_entries(patch: Patch) -> None:
    def committable(self: replication.Replicator) -> int:
        self._state.journal.durable_index = self._state.log.last_index
        return original(self)

    original = replication.Replicator.committable_index
    patch.setattr(replication.Replicator, "committable_index", committable)


def commits_entries_of_older_terms(patch: Patch) -> None:
    def commit(self: leader.Leader) -> bool:
        index = self._replicator.committable_index()
        if index > self._state.commit_index:
            self._state.commit_index = index
        return False

    patch.setattr(leader.Leader, "_commit", commit)


def votes_count_by_node(patch: Patch) -> None:
    def has_won(self: election.Election) -> bool:
        if self._may_bootstrap():
            return all(node in self._votes for node in self._vote_request_targets())
        nodes = {member.identity.node_id for member in self._state.membership.voters}
        granted = [node for node in self._votes if node in nodes]
        return len(granted) >= quorum_size(len(nodes))

    patch.setattr(election.Election, "_has_won", has_won)


def acknowledgements_count_by_node(patch: Patch) -> None:
    def on_append_reply(self: leader.Leader, reply, now: float) -> None:  # type: ignore[no-untyped-def]
        for identity in self._replicator.followers:
            if identity.node_id == reply.follower.node_id:
                reply.follower.incarnation = identity.incarnation
                break
        genuine(self, reply, now)

    genuine = leader.Leader.on_append_reply
    patch.setattr(leader.Leader, "on_append_reply", on_append_reply)


def log_not_compared_in_votes(patch: Patch) -> None:
    patch.setattr(log.ReplicaLog, "is_up_to_date", lambda self, index, term: True)


def bootstrap_by_a_majority(patch: Patch) -> None:
    def has_won(self: election.Election) -> bool:
        if self._may_bootstrap():
            return len(self._votes) >= quorum_size(len(self._vote_request_targets()))
        return original(self)

    def founded(self: election.Election):  # type: ignore[no-untyped-def]
        for peer in self._state.settings.members:
            self._votes.setdefault(peer.node_id, self._state.identity)
        return founded_original(self)

    original = election.Election._has_won
    founded_original = election.Election._initial_membership
    patch.setattr(election.Election, "_has_won", has_won)
    patch.setattr(election.Election, "_initial_membership", founded)


def no_promise_to_a_live_leader(patch: Patch) -> None:
    patch.setattr(election.Election, "is_promised", lambda self, now: False)
    patch.setattr(election.Election, "_is_promised_since_start", lambda self, now: False)


def census_without_all_voters(patch: Patch) -> None:
    patch.setattr(
        restart_census.RestartCensus, "is_complete", lambda self, others: bool(self._replies)
    )


def no_promise_after_a_restart(patch: Patch) -> None:
    patch.setattr(election.Election, "start", lambda self, now: self.reset_deadline(now))


def lease_ignores_clock_drift(patch: Patch) -> None:
    original = LeaderLease.__init__

    def init(self: LeaderLease, own, lease_seconds: float, group_time: float) -> None:  # type: ignore[no-untyped-def]
        original(self, own, lease_seconds * 1.1, group_time)

    patch.setattr(LeaderLease, "__init__", init)


def lease_starts_at_the_reply(patch: Patch) -> None:
    original = leader.Leader.on_append_reply

    def on_append_reply(self: leader.Leader, reply, now: float) -> None:  # type: ignore[no-untyped-def]
        reply.leader_sent_at = now
        original(self, reply, now)

    patch.setattr(leader.Leader, "on_append_reply", on_append_reply)


def lease_kept_after_hand_over(patch: Patch) -> None:
    patch.setattr(LeaderLease, "surrender", lambda self, now: None)


def may_act_before_own_entry_is_committed(patch: Patch) -> None:
    patch.setattr(leader.Leader, "may_act", lambda self, now: self._lease.is_held(now))


def reads_ready_without_quorum(patch: Patch) -> None:
    def read_barrier(self: leader.Leader, read_id: str, now: float) -> None:
        self._state.report_reads_ready([read_id])

    patch.setattr(leader.Leader, "read_barrier", read_barrier)


def group_time_restarts_at_zero(patch: Patch) -> None:
    patch.setattr(ReplicaState, "last_group_time", lambda self: 0.0)


def group_time_taken_from_earlier_leader(patch: Patch) -> None:
    heard: dict[int, float] = {}
    original = ReplicaState.last_group_time
    clock = LeaderLease.group_time

    def group_time(self: LeaderLease, now: float) -> float:
        reached = clock(self, now)
        heard[self._own_identity.incarnation] = max(
            heard.get(self._own_identity.incarnation, 0.0), reached
        )
        return reached

    patch.setattr(LeaderLease, "group_time", group_time)
    patch.setattr(
        ReplicaState,
        "last_group_time",
        lambda self: max(original(self), heard.get(self.identity.incarnation, 0.0)),
    )


def proof_counts_before_delivery(patch: Patch) -> None:
    original = proof.FreshnessProof.on_delivered
    patch.setattr(proof.FreshnessProof, "on_delivered", lambda self, index: original(self, 10**9))


def proof_from_a_leader_without_lease(patch: Patch) -> None:
    original = follower.Follower.on_append

    def on_append(self: follower.Follower, request, sender, now: float) -> None:  # type: ignore[no-untyped-def]
        request.leader_lease_held = True
        original(self, request, sender, now)

    patch.setattr(follower.Follower, "on_append", on_append)


def concurrent_membership_changes(patch: Patch) -> None:
    patch.setattr(
        leader.Leader, "_may_change_membership", lambda self, now: self._state.role is Role.LEADER
    )


def truncated_membership_not_reverted(patch: Patch) -> None:
    patch.setattr(membership_history.MembershipHistory, "truncate_from", lambda self, index: False)


def snapshot_install_keeps_conflicting_log(patch: Patch) -> None:
    original = log.ReplicaLog.term_at

    def install(self: ReplicaState, data: bytes) -> None:
        snapshot = state.decode_snapshot(data)
        with pytest.MonkeyPatch.context() as inner:
            inner.setattr(
                log.ReplicaLog,
                "term_at",
                lambda log_self, index: (
                    snapshot.last_term
                    if index == snapshot.last_index
                    else original(log_self, index)
                ),
            )
            install_original(self, data)

    install_original = ReplicaState.install_snapshot
    patch.setattr(ReplicaState, "install_snapshot", install)


def snapshot_chunk_offsets_not_checked(patch: Patch) -> None:
    def add_chunk(self, key, offset: int, data: bytes, is_last: bool):  # type: ignore[no-untyped-def]
        return original(self, (0, 0, 0), len(self._data), data, is_last)

    original = snapshot_transfer.SnapshotReceiver.add_chunk
    patch.setattr(snapshot_transfer.SnapshotReceiver, "add_chunk", add_chunk)


def previous_entry_not_compared(patch: Patch) -> None:
    def check(self: follower.Follower, request) -> tuple[int, bool]:  # type: ignore[no-untyped-def]
        found, matches = original(self, request)
        return found, matches or request.previous_index <= self._state.log.last_index

    original = follower.Follower._check_previous
    patch.setattr(follower.Follower, "_check_previous", check)


def expired_lease_still_held(patch: Patch) -> None:
    patch.setattr(
        LeaderLease, "is_held", lambda self, now: self._lease_until != leader_lease._NEVER
    )


ALL: tuple[Mutant, ...] = (
    vote_not_persisted,
    replies_sent_before_sync,
    leader_counts_its_unsynced_entries,
    commits_entries_of_older_terms,
    votes_count_by_node,
    acknowledgements_count_by_node,
    log_not_compared_in_votes,
    bootstrap_by_a_majority,
    no_promise_to_a_live_leader,
    census_without_all_voters,
    no_promise_after_a_restart,
    lease_ignores_clock_drift,
    lease_starts_at_the_reply,
    lease_kept_after_hand_over,
    expired_lease_still_held,
    may_act_before_own_entry_is_committed,
    reads_ready_without_quorum,
    group_time_restarts_at_zero,
    group_time_taken_from_earlier_leader,
    proof_counts_before_delivery,
    proof_from_a_leader_without_lease,
    concurrent_membership_changes,
    truncated_membership_not_reverted,
    snapshot_install_keeps_conflicting_log,
    snapshot_chunk_offsets_not_checked,
    previous_entry_not_compared,
)
