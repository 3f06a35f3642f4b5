"""Linearizable reads that wait for a confirmation of leadership.

A read that arrives while the leader holds its lease is ready at once and is not added here. Any
other read waits until a quorum replies to a message sent after the read arrived (Raft's read
index).
"""

from collections import deque

import msgspec


class _PendingRead(msgspec.Struct, frozen=True):
    read_id: str
    requested_at: float


class ReadBarrier:
    """Reads requested while the leader held no lease."""

    def __init__(self) -> None:
        self._pending: deque[_PendingRead] = deque()

    def add(self, read_id: str, now: float) -> None:
        """Add a read, which needs a quorum of replies to messages sent from now on."""
        self._pending.append(_PendingRead(read_id, now))

    def take_passed(self, quorum_sent_at: float) -> list[str]:
        """Remove and return the reads that a quorum has confirmed.

        Args:
            quorum_sent_at: Latest send time of a message that a quorum has replied to.
        """
        passed: list[str] = []
        while self._pending and self._pending[0].requested_at <= quorum_sent_at:
            passed.append(self._pending.popleft().read_id)
        return passed

    def take_all(self) -> list[str]:
        """Remove and return all reads."""
        read_ids = [read.read_id for read in self._pending]
        self._pending.clear()
        return read_ids
