"""Counts bytes that a process sent to and received from each peer, by kind, for the log.

Only connections that the process opened are counted, so that the sum over all processes of a
deployment counts each byte once; client connections to the HTTP endpoint are not counted.
"""

import enum
from collections.abc import Iterator

from merlinstand.common.ids import CallId

MAXIMUM_ROWS = 4_096
"""Maximum combinations of kind, direction and peer; further peers are counted as `OTHER_PEER`."""
OTHER_PEER = "other"


class Direction(enum.Enum):
    """Direction of the bytes, seen from this process."""

    SENT = "sent"
    RECEIVED = "received"


class TrafficCounters:
    """Byte counts since the start of the process."""

    def __init__(self) -> None:
        """Start at zero."""
        self._bytes: dict[tuple[str, Direction], dict[str, int]] = {}
        self._rows = 0

    def add(self, kind: str, direction: Direction, address: str, size_bytes: int) -> None:
        """Add bytes exchanged with the peer at an address (`ip:port`); only its IP is recorded."""
        peers = self._bytes.setdefault((kind, direction), {})
        peer = address.rpartition(":")[0]
        if peer not in peers:
            if self._rows >= MAXIMUM_ROWS:
                peer = OTHER_PEER
            self._rows += 1
        peers[peer] = peers.get(peer, 0) + size_bytes

    def rows(self) -> Iterator[tuple[str, Direction, dict[str, int]]]:
        """Yield each kind and direction with the byte counts by peer."""
        for (kind, direction), peers in self._bytes.items():
            yield kind, direction, peers


def call_kind(call_id: CallId) -> str:
    """Return the kind of a call that has none set: its id up to the first colon."""
    return call_id.partition(":")[0]
