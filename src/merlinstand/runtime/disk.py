"""The interface that performs `AppendRecords` and `SaveSnapshot`, and a no-op implementation.

`store_disk` has the implementation for processes with a disk; only they load the storage code.
"""

from collections.abc import Callable
from typing import Protocol

from merlinstand.kernel.effects import AppendRecords, SaveSnapshot
from merlinstand.kernel.events import Event, RecordsSynced, SnapshotSaved


class Disk(Protocol):
    """Durable storage of a host."""

    def append(self, effect: AppendRecords) -> None:
        """Append and sync records, then submit `RecordsSynced`."""
        ...

    def save_snapshot(self, effect: SaveSnapshot) -> None:
        """Replace the snapshot, then submit `SnapshotSaved`."""
        ...

    def flush(self, timeout_seconds: float) -> None:
        """Wait, up to a timeout, until all requested writes are durable."""
        ...

    def close(self) -> None:
        """Close the files; writes that are not yet durable are lost."""
        ...


class NoDisk:
    """Confirms every write immediately without storing it, for processes without durable state."""

    def __init__(self, submit: Callable[[Event], None]) -> None:
        """Create the disk; `submit` passes an event to the reducer."""
        self._submit = submit

    def append(self, effect: AppendRecords) -> None:
        """Submit `RecordsSynced` immediately."""
        self._submit(RecordsSynced(effect.token))

    def save_snapshot(self, effect: SaveSnapshot) -> None:
        """Submit `SnapshotSaved` immediately."""
        self._submit(SnapshotSaved(effect.token))

    def flush(self, timeout_seconds: float) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""
