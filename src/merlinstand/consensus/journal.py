"""Order of disk writes, and of the effects that must wait for them.

One write is in flight at a time; what is written meanwhile gathers and goes out with the
next one (group commit). An effect that depends on a write is held back until the disk
has confirmed it: a vote or an acknowledgement never leaves before it is durable.
"""

from collections import deque

import msgspec

from merlinstand.kernel.effects import AppendRecords, Effect, SaveSnapshot


class _DurableMark(msgspec.Struct):
    """The log is durable through `index` once `position` is synced."""

    position: int
    index: int


class _SnapshotWrite(msgspec.Struct, frozen=True):
    data: bytes
    records: tuple[bytes, ...]
    position: int


class Journal:
    """Pending and running writes of one replica."""

    def __init__(self, durable_index: int = 0) -> None:
        """Make an idle journal whose log is durable through the given position."""
        self.durable_index = durable_index
        self._position = 0
        self._synced_position = 0
        self._in_flight_token: int | None = None
        self._in_flight_position = 0
        self._pending_records: list[bytes] = []
        self._pending_snapshot: _SnapshotWrite | None = None
        self._held_back: deque[tuple[int, Effect]] = deque()
        self._marks: deque[_DurableMark] = deque()

    @property
    def position(self) -> int:
        """Number of the newest write."""
        return self._position

    @property
    def synced_position(self) -> int:
        """Number of the newest durable write."""
        return self._synced_position

    @property
    def is_synced(self) -> bool:
        """Whether everything written so far is durable."""
        return self._synced_position == self._position

    def write(self, record: bytes) -> None:
        """Add a record to the next write."""
        self._position += 1
        self._pending_records.append(record)

    def write_entry(self, record: bytes, index: int) -> None:
        """Add a log entry's record to the next write."""
        self.write(record)
        if self._marks and self._marks[-1].position > self._in_flight_position:
            self._marks[-1] = _DurableMark(self._position, index)
        else:
            self._marks.append(_DurableMark(self._position, index))

    def truncate_from(self, index: int) -> None:
        """Note that the log was truncated: later syncs don't cover the dropped entries."""
        self.durable_index = min(self.durable_index, index - 1)
        for mark in self._marks:
            mark.index = min(mark.index, index - 1)

    def save_snapshot(self, data: bytes, records: tuple[bytes, ...], last_index: int) -> None:
        """Replace snapshot and journal; `records` hold everything written so far.

        Args:
            data: The snapshot.
            records: The journal's whole new content, pending records included.
            last_index: The log is durable through it once the snapshot is saved.
        """
        self._position += 1
        self._pending_records.clear()
        self._pending_snapshot = _SnapshotWrite(data, records, self._position)
        self._marks.append(_DurableMark(self._position, last_index))

    def hold_until_synced(self, effect: Effect) -> Effect | None:
        """Hold an effect back until everything written so far is durable.

        Returns:
            The effect, if it need not wait.
        """
        if self.is_synced:
            return effect
        self._held_back.append((self._position, effect))
        return None

    def next_write(self) -> Effect | None:
        """The write to be started now, if the disk is idle and something waits."""
        if self._in_flight_token is not None:
            return None
        if self._pending_snapshot is not None:
            return self._start_snapshot(self._pending_snapshot)
        if not self._pending_records:
            return None
        records = tuple(self._pending_records)
        self._pending_records.clear()
        self._in_flight_token = self._in_flight_position = self._position
        return AppendRecords(records, self._position)

    def _start_snapshot(self, write: _SnapshotWrite) -> Effect:
        self._pending_snapshot = None
        self._in_flight_token = self._in_flight_position = write.position
        return SaveSnapshot(write.data, write.records, write.position)

    def confirm(self, token: int) -> list[Effect]:
        """Take the disk's confirmation; returns the effects that waited for it."""
        if token != self._in_flight_token:
            return []
        self._in_flight_token = None
        self._synced_position = token
        while self._marks and self._marks[0].position <= token:
            self.durable_index = self._marks.popleft().index
        released: list[Effect] = []
        while self._held_back and self._held_back[0][0] <= token:
            released.append(self._held_back.popleft()[1])
        return released
