"""Snapshots in chunks, for followers that need what the log no longer holds.

One chunk is under way at a time; the follower's answer names the offset that it wants next. A
transfer is lost with the leadership, and begins anew.
"""

import msgspec

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.consensus.records import Snapshot, decode_snapshot


class SnapshotSender:
    """A leader's transfer to one follower: one chunk at a time, resent until answered."""

    def __init__(self, last_index: int, last_term: int, data: bytes, chunk_bytes: int) -> None:
        """Begin a transfer; it keeps this snapshot even if a newer one is made."""
        self.last_index = last_index
        self.last_term = last_term
        self._data = data
        self._chunk_bytes = chunk_bytes
        self._offset = 0

    @property
    def offset(self) -> int:
        """Where the current chunk begins."""
        return self._offset

    def chunk(self) -> tuple[bytes, bool]:
        """Bytes of the current chunk and whether it is the last one."""
        end = min(len(self._data), self._offset + self._chunk_bytes)
        return self._data[self._offset : end], end == len(self._data)

    def advance(self, last_index: int, next_offset: int) -> bool:
        """The follower of this snapshot wants this offset next; true if that is new."""
        is_valid = last_index == self.last_index and 0 <= next_offset < len(self._data)
        if not is_valid or next_offset == self._offset:
            return False
        self._offset = next_offset
        return True


class ReceivedChunk(msgspec.Struct, frozen=True):
    """What a follower makes of a chunk."""

    next_offset: int
    snapshot: Snapshot | None = None
    """The whole snapshot, once the last chunk is in."""
    data: bytes = b""


class SnapshotReceiver:
    """A follower's assembly of one snapshot."""

    def __init__(self) -> None:
        """Begin with nothing."""
        self._key: tuple[int, int, int] | None = None
        self._data = bytearray()

    def take(
        self, key: tuple[int, int, int], offset: int, data: bytes, is_last: bool
    ) -> ReceivedChunk:
        """Take a chunk.

        Args:
            key: Leader's term, last index and last term of the snapshot. Chunks of
                another key start over: two leaders' snapshots may differ in their bytes.
            offset: Where the chunk belongs.
            data: Its bytes.
            is_last: Whether the snapshot ends with it.
        """
        if key != self._key:
            self._key = key
            self._data.clear()
        if offset != len(self._data):
            return ReceivedChunk(len(self._data))
        self._data += data
        if not is_last:
            return ReceivedChunk(len(self._data))
        whole = bytes(self._data)
        self._key = None
        self._data.clear()
        try:
            return ReceivedChunk(len(whole), decode_snapshot(whole), whole)
        except DECODE_ERRORS:
            return ReceivedChunk(0)
