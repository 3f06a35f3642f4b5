"""What a leader knows about one follower's log.

One `Progress` for each identity, so that what a node said before it lost its disk doesn't count for
its successor. Kept by `replication`, for one leadership.
"""

from collections import deque

from merlinstand.consensus.membership import Identity
from merlinstand.consensus.snapshot_transfer import SnapshotSender


class Progress:
    """Replication state of one follower; kept for exactly one identity."""

    def __init__(self, identity: Identity, next_index: int, now: float) -> None:
        """Begin optimistically: the follower probably has the log up to `next_index`."""
        self.identity = identity
        self.next_index = next_index
        self.match_index = 0
        """Highest position known to be durable at the follower."""
        self.last_heard_at = now
        self.has_answered = False
        self.follower_sent_at = float("-inf")
        """The follower's stamp from its newest answer."""
        self.is_probing = True
        """Whether it isn't known yet where the logs meet: one message at a time then."""
        self.transfer: SnapshotSender | None = None
        self._newest_answered_sent_at = float("-inf")
        self._in_flight: deque[int] = deque()
        self._advanced_since_tick = True

    def can_take_entries(self, window: int) -> bool:
        """Whether another message with entries may be sent before an answer."""
        return len(self._in_flight) < (1 if self.is_probing else window)

    def is_silent(self, now: float, limit_seconds: float) -> bool:
        """Whether nothing was heard for so long that only heartbeats are worth sending."""
        return now - self.last_heard_at > limit_seconds

    def heard(self, now: float, leader_sent_at: float, follower_sent_at: float) -> None:
        """Any valid answer arrived."""
        self.last_heard_at = now
        self.has_answered = True
        if leader_sent_at >= self._newest_answered_sent_at:
            self._newest_answered_sent_at = leader_sent_at
            self.follower_sent_at = follower_sent_at

    def sent(self, last_index: int) -> None:
        """Entries through this position were sent."""
        self._in_flight.append(last_index)
        self.next_index = last_index + 1

    def matched(self, index: int) -> None:
        """The follower holds the log durably through this position."""
        if index > self.match_index:
            self.match_index = index
            self._advanced_since_tick = True
        self.next_index = max(self.next_index, index + 1)
        self.is_probing = False
        while self._in_flight and self._in_flight[0] <= index:
            self._in_flight.popleft()
        if self.transfer is not None and index >= self.transfer.last_index:
            self.transfer = None

    def rejected(self, hint_index: int) -> None:
        """The follower lacks what was sent to follow on; go back to its hint."""
        if hint_index < self.match_index:
            return  # An overtaken answer: more is already known to match.
        self.next_index = min(self.next_index, hint_index + 1)
        self.is_probing = True
        self._in_flight.clear()

    def tick(self) -> None:
        """Once each heartbeat: send again what got no answer since the last one."""
        if self._in_flight and not self._advanced_since_tick:
            self._in_flight.clear()
            self.next_index = self.match_index + 1
            self.is_probing = True
        self._advanced_since_tick = False
