"""Linearizable reads that wait for proof of leadership.

A read that comes while the leader may act passes at once and never gets here. Any other waits for a
quorum that answers a message sent after it (Raft's read index).
"""

from collections import deque

import msgspec


class _PendingRead(msgspec.Struct, frozen=True):
    read_id: str
    asked_at: float


class ReadBarrier:
    """Reads asked for while the leader held no lease."""

    def __init__(self) -> None:
        """Begin without reads."""
        self._pending: deque[_PendingRead] = deque()

    def ask(self, read_id: str, now: float) -> None:
        """Add a read; it needs a quorum's answer to something sent from now on."""
        self._pending.append(_PendingRead(read_id, now))

    def passed(self, quorum_sent_at: float) -> list[str]:
        """Take out the reads proved by a quorum that answered a later message."""
        passed: list[str] = []
        while self._pending and self._pending[0].asked_at <= quorum_sent_at:
            passed.append(self._pending.popleft().read_id)
        return passed

    def all(self) -> list[str]:
        """Take out every read."""
        read_ids = [read.read_id for read in self._pending]
        self._pending.clear()
        return read_ids
