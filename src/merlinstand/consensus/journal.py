"""Ordering of disk writes and of the effects that depend on them.

One write is in flight at a time; records added meanwhile are written together by the next one
(group commit). An effect that depends on a write is held until the disk has confirmed it, so that
no vote or acknowledgement is sent before it is durable.
"""

from collections import deque

import msgspec

from merlinstand.kernel.effects import AppendRecords, Effect, SaveSnapshot


class _PendingDurableIndex(msgspec.Struct):
    """The log is durable through `index` once the write number `position` is synced."""

    position: int
    index: int


class _SnapshotWrite(msgspec.Struct, frozen=True):
    data: bytes
    records: tuple[bytes, ...]
    position: int


class Journal:
    """Pending and running writes of one replica.

    A position is the number of a write, counted from 1.
    """

    def __init__(self, durable_index: int = 0) -> None:
        """Create an idle journal whose log is durable through the given log index."""
        self.durable_index = durable_index
        self._position = 0
        self._synced_position = 0
        self._in_flight_token: int | None = None
        self._in_flight_position = 0
        self._pending_records: list[bytes] = []
        self._pending_snapshot: _SnapshotWrite | None = None
        self._held_effects: deque[tuple[int, Effect]] = deque()
        self._pending_durable_indexes: deque[_PendingDurableIndex] = deque()

    @property
    def position(self) -> int:
        """Position of the newest write."""
        return self._position

    @property
    def synced_position(self) -> int:
        """Position of the newest durable write."""
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
        if (
            self._pending_durable_indexes
            and self._pending_durable_indexes[-1].position > self._in_flight_position
        ):
            self._pending_durable_indexes[-1] = _PendingDurableIndex(self._position, index)
        else:
            self._pending_durable_indexes.append(_PendingDurableIndex(self._position, index))

    def truncate_from(self, index: int) -> None:
        """Exclude the entries from `index` on, which were truncated, from later confirmations."""
        self.durable_index = min(self.durable_index, index - 1)
        for pending in self._pending_durable_indexes:
            pending.index = min(pending.index, index - 1)

    def save_snapshot(self, data: bytes, records: tuple[bytes, ...], last_index: int) -> None:
        """Replace snapshot and journal.

        Args:
            data: The snapshot.
            records: The complete new content of the journal, including pending records.
            last_index: Log index through which the log is durable once this write is.
        """
        self._position += 1
        self._pending_records.clear()
        self._pending_snapshot = _SnapshotWrite(data, records, self._position)
        self._pending_durable_indexes.append(_PendingDurableIndex(self._position, last_index))

    def hold_until_synced(self, effect: Effect) -> Effect | None:
        """Delay an effect until everything written so far is durable.

        Returns:
            The effect if it need not wait, else None.
        """
        if self.is_synced:
            return effect
        self._held_effects.append((self._position, effect))
        return None

    def next_write(self) -> Effect | None:
        """Start the next write if none is in flight; None if there is nothing to write."""
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
        """Handle the confirmation of the write in flight and return the effects that it releases.

        Confirmations of other tokens are ignored.
        """
        if token != self._in_flight_token:
            return []
        self._in_flight_token = None
        self._synced_position = token
        while self._pending_durable_indexes and self._pending_durable_indexes[0].position <= token:
            self.durable_index = self._pending_durable_indexes.popleft().index
        released: list[Effect] = []
        while self._held_effects and self._held_effects[0][0] <= token:
            released.append(self._held_effects.popleft()[1])
        return released
