"""Replication progress of one follower as tracked by the leader.

There is one object for each identity, so that replies that a node sent before it lost its disk do
not count for its new incarnation.
"""

from collections import deque

from merlinstand.consensus.membership import Identity
from merlinstand.consensus.snapshot_transfer import SnapshotSender


class FollowerProgress:
    """Replication progress of one identity during one leader's term."""

    def __init__(self, identity: Identity, next_index: int, now: float) -> None:
        """Assumes at first that the follower holds all entries before `next_index`."""
        self.identity = identity
        self.next_index = next_index
        self.match_index = 0
        """Highest log index known to be durable at the follower."""
        self.last_reply_at = now
        self.has_replied = False
        self.follower_sent_at = float("-inf")
        """Timestamp by the follower's clock in its newest reply. The leader echoes it, so that
        the follower can prove how recent its state is (`proof.FreshnessProof`)."""
        self.is_probing = True
        """Whether the last matching index is unknown; if so, one message is in flight at a time."""
        self.transfer: SnapshotSender | None = None
        self._newest_replied_sent_at = float("-inf")
        self._in_flight: deque[int] = deque()
        self._advanced_since_heartbeat = True

    def can_send_entries(self, window: int) -> bool:
        """Whether another message with entries may be sent before the next reply."""
        return len(self._in_flight) < (1 if self.is_probing else window)

    def is_silent(self, now: float, limit_seconds: float) -> bool:
        """Whether the follower has not replied for so long that only heartbeats are sent."""
        return now - self.last_reply_at > limit_seconds

    def record_reply(self, now: float, leader_sent_at: float, follower_sent_at: float) -> None:
        """Record the arrival of any valid reply."""
        self.last_reply_at = now
        self.has_replied = True
        if leader_sent_at >= self._newest_replied_sent_at:
            self._newest_replied_sent_at = leader_sent_at
            self.follower_sent_at = follower_sent_at

    def record_sent(self, last_index: int) -> None:
        """Record that entries through this index were sent."""
        self._in_flight.append(last_index)
        self.next_index = last_index + 1

    def record_match(self, index: int) -> None:
        """Record that the follower's log is durable through this index."""
        if index > self.match_index:
            self.match_index = index
            self._advanced_since_heartbeat = True
        self.next_index = max(self.next_index, index + 1)
        self.is_probing = False
        while self._in_flight and self._in_flight[0] <= index:
            self._in_flight.popleft()
        if self.transfer is not None and index >= self.transfer.last_index:
            self.transfer = None

    def record_rejection(self, hint_index: int) -> None:
        """Record a rejected append: the logs do not match; go back to the follower's hint."""
        if hint_index < self.match_index:
            return  # The reply was reordered: a later index is already known to match.
        self.next_index = min(self.next_index, hint_index + 1)
        self.is_probing = True
        self._in_flight.clear()

    def on_heartbeat(self) -> None:
        """Resend entries in flight if the follower made no progress since the last heartbeat."""
        if self._in_flight and not self._advanced_since_heartbeat:
            self._in_flight.clear()
            self.next_index = self.match_index + 1
            self.is_probing = True
        self._advanced_since_heartbeat = False
