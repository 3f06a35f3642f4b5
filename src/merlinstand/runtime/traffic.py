"""Bytes that a process sent to and received from each peer, by kind, for the log.

Counted where the process opens the connection, so that the lines of all processes of a
deployment add up to each byte once; callers' connections to the HTTP endpoint are not counted.
"""

import enum
from collections.abc import Iterator

from merlinstand.common.ids import CallId

MAXIMUM_ROWS = 4_096
"""Kinds times peers; a further one is counted under `OTHER_PEER`. Chosen, not measured."""
OTHER_PEER = "other"


class Direction(enum.Enum):
    """Which way bytes went."""

    SENT = "sent"
    RECEIVED = "received"


class TrafficCounters:
    """Bytes since the process began."""

    def __init__(self) -> None:
        """Start at zero."""
        self._bytes: dict[tuple[str, Direction], dict[str, int]] = {}
        self._rows = 0

    def add(self, kind: str, direction: Direction, address: str, size_bytes: int) -> None:
        """Count bytes exchanged with the process at an address (`ip:port`)."""
        peers = self._bytes.setdefault((kind, direction), {})
        peer = address.rpartition(":")[0]
        if peer not in peers:
            if self._rows >= MAXIMUM_ROWS:
                peer = OTHER_PEER
            self._rows += 1
        peers[peer] = peers.get(peer, 0) + size_bytes

    def rows(self) -> Iterator[tuple[str, Direction, dict[str, int]]]:
        """Give each kind and direction with the bytes by peer."""
        for (kind, direction), peers in self._bytes.items():
            yield kind, direction, peers


def call_kind(call_id: CallId) -> str:
    """Tell the kind of a call that names none: the part of its id before the first colon."""
    return call_id.partition(":")[0]
