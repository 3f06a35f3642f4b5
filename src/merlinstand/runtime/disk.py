"""Performs `AppendRecords` and `SaveSnapshot`."""

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

    def close(self) -> None:
        """Finish what was asked for and close the files."""
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

    def close(self) -> None:
        """Do nothing."""
