"""What performs `AppendRecords` and `SaveSnapshot`, and the one for processes without a disk.

`store_disk` holds the one for processes with a disk: only they load the storage's code.
"""

from collections.abc import Callable
from typing import Protocol

from merlinstand.kernel.effects import AppendRecords, SaveSnapshot
from merlinstand.kernel.events import Event, RecordsSynced, SnapshotSaved


class Disk(Protocol):
    """Where a host keeps durable state."""

    def append(self, effect: AppendRecords) -> None:
        """Append and sync; `RecordsSynced` follows."""
        ...

    def save_snapshot(self, effect: SaveSnapshot) -> None:
        """Replace the snapshot; `SnapshotSaved` follows."""
        ...

    def flush(self, timeout_seconds: float) -> None:
        """Wait a bounded time until everything asked for is durable."""
        ...

    def close(self) -> None:
        """Close the files; what is not yet durable is lost."""
        ...


class NoDisk:
    """For processes without durable state: answers at once and keeps nothing."""

    def __init__(self, submit: Callable[[Event], None]) -> None:
        """Create it; `submit` hands an event to the reducer."""
        self._submit = submit

    def append(self, effect: AppendRecords) -> None:
        """Answer at once."""
        self._submit(RecordsSynced(effect.token))

    def save_snapshot(self, effect: SaveSnapshot) -> None:
        """Answer at once."""
        self._submit(SnapshotSaved(effect.token))

    def flush(self, timeout_seconds: float) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""
