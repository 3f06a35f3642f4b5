"""Transfer of snapshots in chunks to followers that need entries which the log no longer holds.

One chunk is in flight at a time; the follower's reply contains the next offset. A new leader starts
the transfer again from the beginning.
"""

import msgspec

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.consensus.records import Snapshot, decode_snapshot


class SnapshotSender:
    """Leader side of a transfer to one follower; a chunk is resent until it is acknowledged."""

    def __init__(self, last_index: int, last_term: int, data: bytes, chunk_bytes: int) -> None:
        """The transfer of this snapshot continues even if the leader saves a newer snapshot."""
        self.last_index = last_index
        self.last_term = last_term
        self._data = data
        self._chunk_bytes = chunk_bytes
        self._offset = 0

    @property
    def offset(self) -> int:
        """Offset of the current chunk."""
        return self._offset

    def chunk(self) -> tuple[bytes, bool]:
        """Return the bytes of the current chunk and whether it is the last one."""
        end = min(len(self._data), self._offset + self._chunk_bytes)
        return self._data[self._offset : end], end == len(self._data)

    def advance(self, last_index: int, next_offset: int) -> bool:
        """Move to the offset that the follower requests; true if it is valid and has changed."""
        is_valid = last_index == self.last_index and 0 <= next_offset < len(self._data)
        if not is_valid or next_offset == self._offset:
            return False
        self._offset = next_offset
        return True


class ReceivedChunk(msgspec.Struct, frozen=True):
    """Result of processing a chunk."""

    next_offset: int
    snapshot: Snapshot | None = None
    """The decoded snapshot after the last chunk."""
    data: bytes = b""


class SnapshotReceiver:
    """Follower side of a transfer: assembles one snapshot."""

    def __init__(self) -> None:
        self._key: tuple[int, int, int] | None = None
        self._data = bytearray()

    def add_chunk(
        self, key: tuple[int, int, int], offset: int, data: bytes, is_last: bool
    ) -> ReceivedChunk:
        """Add a chunk.

        A chunk at an unexpected offset is ignored. If the complete snapshot cannot be decoded,
        the transfer starts again at offset 0.

        Args:
            key: Leader's term, last index and last term of the snapshot. A new key discards the
                data, because the snapshots of two leaders may differ in their bytes.
            offset: Offset of the chunk in the snapshot.
            data: Bytes of the chunk.
            is_last: Whether it is the last chunk.
        """
        if key != self._key:
            self._key = key
            self._data.clear()
        if offset != len(self._data):
            return ReceivedChunk(len(self._data))
        self._data += data
        if not is_last:
            return ReceivedChunk(len(self._data))
        complete = bytes(self._data)
        self._key = None
        self._data.clear()
        try:
            return ReceivedChunk(len(complete), decode_snapshot(complete), complete)
        except DECODE_ERRORS:
            return ReceivedChunk(0)
