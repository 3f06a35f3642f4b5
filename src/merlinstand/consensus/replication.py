"""Messages that carry the log from the leader to its followers.

Owned by one leadership. Entries are sent ahead of the answers, up to a window; a follower that
lacks what the log no longer holds gets the snapshot in chunks (`snapshot_transfer`). Tells, from
the followers' answers, which position a quorum holds durably.
"""

from collections.abc import Callable

from merlinstand.consensus.membership import Identity
from merlinstand.consensus.progress import Progress
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
    """A leader's side of replication, for one leadership."""

    def __init__(self, state: ReplicaState, is_authoritative: Callable[[float], bool]) -> None:
        """Begin a leadership.

        Args:
            state: Shared state.
            is_authoritative: Whether the commit index is proved the newest at a time.
        """
        self._state = state
        self._is_authoritative = is_authoritative
        self._wire_identity = to_wire_identity(state.identity)
        self.followers: dict[Identity, Progress] = {}
        self._receivers: list[Progress] = []

    def follow_membership(self, now: float) -> None:
        """Keep one `Progress` for each other member, by identity."""
        state = self._state
        members = [member.identity for member in state.membership.members()]
        former = self.followers
        self.followers = {
            identity: former.get(identity) or Progress(identity, state.log.last_index + 1, now)
            for identity in members
            if identity != state.identity
        }
        # A node that came back with a blank disk may be listed twice for a while. Only its
        # newer identity, listed later, is there to be written to.
        newest = {identity.node_id: identity for identity in members}
        newest[state.identity.node_id] = state.identity
        self._receivers = [
            progress
            for identity, progress in self.followers.items()
            if newest[identity.node_id] == identity
        ]

    # Sending

    def send_heartbeats(self, now: float) -> None:
        """Send every follower one message, whether or not there is anything new."""
        for progress in self._receivers:
            progress.tick()
            if not self._send_next(progress, now):
                self._send_append(progress, [], now)

    def send_entries(self, now: float) -> None:
        """Send what is new to every follower that can take more."""
        for progress in self._receivers:
            if progress.transfer is None:
                self._send_next(progress, now)

    def _send_next(self, progress: Progress, now: float) -> bool:
        state = self._state
        limits = state.settings.limits
        if progress.is_silent(now, state.settings.timings.election_timeout_seconds):
            return False
        if progress.transfer is not None or state.log.term_at(progress.next_index - 1) is None:
            self._send_chunk(progress, now)
            return True
        if progress.next_index > state.log.last_index:
            return False
        if not progress.can_take_entries(limits.appends_in_flight):
            return False
        entries = state.log.batch_from(
            progress.next_index, limits.append_entries, limits.append_bytes
        )
        self._send_append(progress, entries, now)
        return True

    def _send_append(self, progress: Progress, entries: list[Entry], now: float) -> None:
        state = self._state
        # A silent follower far behind gets a heartbeat at the cut; its refusal tells where it is.
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
            progress.sent(entries[-1].index)
        state.send(progress.identity.node_id, request)

    def _send_chunk(self, progress: Progress, now: float) -> None:
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

    # Answers

    def on_append_reply(self, progress: Progress, reply: AppendReply, now: float) -> None:
        """Take a follower's answer to an append message of this term."""
        progress.heard(now, reply.leader_sent_at, reply.follower_sent_at)
        if reply.success:
            progress.matched(reply.match_index)
        else:
            progress.rejected(reply.match_index)
            self._send_next(progress, now)

    def on_snapshot_reply(self, progress: Progress, reply: SnapshotReply, now: float) -> None:
        """Take a follower's answer to a snapshot chunk of this term."""
        progress.heard(now, reply.leader_sent_at, progress.follower_sent_at)
        transfer = progress.transfer
        if reply.installed:
            progress.transfer = None
            progress.matched(reply.last_index)
        elif transfer is not None and transfer.advance(reply.last_index, reply.next_offset):
            self._send_chunk(progress, now)

    def committable_index(self) -> int:
        """Highest position that is durable at a quorum of voters."""
        state = self._state
        positions = []
        for identity in state.membership.voter_identities():
            if identity == state.identity:
                # The leader is one voter among others: it counts what it has synced.
                positions.append(state.journal.durable_index)
            else:
                positions.append(self.followers[identity].match_index)
        return quorum_index(positions) if positions else 0
