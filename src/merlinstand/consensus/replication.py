"""Replication of the log from the leader to its followers.

Append messages are pipelined up to a window. A follower that needs entries which the log no longer
holds receives the snapshot in chunks (`snapshot_transfer`).
"""

from collections.abc import Callable

from merlinstand.consensus.membership import Identity
from merlinstand.consensus.progress import FollowerProgress
from merlinstand.consensus.quorum import quorum_index
from merlinstand.consensus.snapshot_transfer import SnapshotSender
from merlinstand.consensus.state import ReplicaState
from merlinstand.consensus.step import CommittedEntry as Entry
from merlinstand.consensus.wire import to_wire_entry, to_wire_identity
from merlinstand.protocol.generated.consensus.ttypes import (
    AppendReply,
    AppendRequest,
    SnapshotChunk,
    SnapshotReply,
)


class Replicator:
    """Leader side of replication during one term."""

    def __init__(self, state: ReplicaState, is_authoritative: Callable[[float], bool]) -> None:
        """There are no followers until `update_followers` reads them from the membership.

        Args:
            state: State shared by the replica's roles.
            is_authoritative: Whether, at a local time, the leader holds its lease and its commit
                index covers everything committed before.
        """
        self._state = state
        self._is_authoritative = is_authoritative
        self._wire_identity = to_wire_identity(state.identity)
        self.followers: dict[Identity, FollowerProgress] = {}
        self._targets: list[FollowerProgress] = []

    def update_followers(self, now: float) -> None:
        """Track the progress of each other member of the newest membership, by identity."""
        state = self._state
        members = [member.identity for member in state.membership.members()]
        previous = self.followers
        self.followers = {
            identity: previous.get(identity)
            or FollowerProgress(identity, state.log.last_index + 1, now)
            for identity in members
            if identity != state.identity
        }
        # A node that returned with a blank disk may be listed twice for a while. Messages are
        # sent only for its newer identity, which is listed later.
        newest = {identity.node_id: identity for identity in members}
        newest[state.identity.node_id] = state.identity
        self._targets = [
            progress
            for identity, progress in self.followers.items()
            if newest[identity.node_id] == identity
        ]

    # Sending

    def send_heartbeats(self, now: float) -> None:
        """Send one message to every follower, empty if there is nothing new."""
        for progress in self._targets:
            progress.on_heartbeat()
            if not self._send_next(progress, now):
                self._send_append(progress, [], now)

    def send_entries(self, now: float) -> None:
        """Send new entries to every follower whose window is not full.

        Followers that receive a snapshot are skipped.
        """
        for progress in self._targets:
            if progress.transfer is None:
                self._send_next(progress, now)

    def _send_next(self, progress: FollowerProgress, now: float) -> bool:
        state = self._state
        limits = state.settings.limits
        if progress.is_silent(now, state.settings.timings.election_timeout_seconds):
            return False
        if progress.transfer is not None or state.log.term_at(progress.next_index - 1) is None:
            self._send_chunk(progress, now)
            return True
        if progress.next_index > state.log.last_index:
            return False
        if not progress.can_send_entries(limits.appends_in_flight):
            return False
        entries = state.log.batch_from(
            progress.next_index, limits.append_entries, limits.append_bytes
        )
        self._send_append(progress, entries, now)
        return True

    def _send_append(self, progress: FollowerProgress, entries: list[Entry], now: float) -> None:
        state = self._state
        # A silent follower that needs entries before the log's base gets a heartbeat at the base.
        # Its rejection contains the index at which to continue.
        previous_index = max(progress.next_index - 1, state.log.base_index)
        request = AppendRequest(
            term=state.term,
            leader=self._wire_identity,
            previous_index=previous_index,
            previous_term=state.log.term_at(previous_index),
            entries=[to_wire_entry(entry) for entry in entries],
            commit_index=state.commit_index,
            sent_at=now,
            follower_sent_at=progress.follower_sent_at,
            leader_lease_held=self._is_authoritative(now),
        )
        if entries:
            progress.record_sent(entries[-1].index)
        state.send(progress.identity.node_id, request)

    def _send_chunk(self, progress: FollowerProgress, now: float) -> None:
        state = self._state
        if progress.transfer is None:
            snapshot = state.snapshot
            progress.transfer = SnapshotSender(
                snapshot.last_index,
                snapshot.last_term,
                state.snapshot_data,
                state.settings.limits.snapshot_chunk_bytes,
            )
        transfer = progress.transfer
        data, is_last = transfer.chunk()
        chunk = SnapshotChunk(
            term=state.term,
            leader=self._wire_identity,
            last_index=transfer.last_index,
            last_term=transfer.last_term,
            offset=transfer.offset,
            data=data,
            done=is_last,
            membership=b"",
            sent_at=now,
        )
        state.send(progress.identity.node_id, chunk)

    # Replies

    def on_append_reply(self, progress: FollowerProgress, reply: AppendReply, now: float) -> None:
        """Handle a follower's reply to an append message of this term."""
        progress.record_reply(now, reply.leader_sent_at, reply.follower_sent_at)
        if reply.success:
            progress.record_match(reply.match_index)
        else:
            progress.record_rejection(reply.match_index)
            self._send_next(progress, now)

    def on_snapshot_reply(
        self, progress: FollowerProgress, reply: SnapshotReply, now: float
    ) -> None:
        """Handle a follower's reply to a snapshot chunk of this term."""
        progress.record_reply(now, reply.leader_sent_at, progress.follower_sent_at)
        transfer = progress.transfer
        if reply.installed:
            progress.transfer = None
            progress.record_match(reply.last_index)
        elif transfer is not None and transfer.advance(reply.last_index, reply.next_offset):
            self._send_chunk(progress, now)

    def committable_index(self) -> int:
        """Highest log index that is durable at a quorum of voters."""
        state = self._state
        positions = []
        for identity in state.membership.voter_identities():
            if identity == state.identity:
                # The leader counts as a voter with the entries that it has synced itself.
                positions.append(state.journal.durable_index)
            else:
                positions.append(self.followers[identity].match_index)
        return quorum_index(positions) if positions else 0
