"""Durable state of one process in one folder.

A snapshot and a journal form a generation. `save_snapshot` writes the next generation next to the
current one, which is replaced when the new snapshot is renamed:

1. `journal-G+1` and `snapshot-G+1` are written under temporary names and synced;
2. the journal is renamed, the folder synced;
3. the snapshot is renamed (from here on generation G+1 is the one recovered), the folder
   synced;
4. generation G is removed.

The generation of the newest snapshot is recovered; a newer journal without a snapshot (after a
crash between 2 and 3) is removed. Calls must not overlap; blocking calls may run in another thread.
"""

import contextlib
import fcntl
import os
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from merlinstand.common.system_random import random_bits
from merlinstand.storage import journal_format
from merlinstand.storage.errors import (
    FileOperationError,
    FolderInUseError,
    IncompleteFolderError,
    StorageError,
)
from merlinstand.storage.folder import (
    FILE_MODE,
    INCARNATION_NAME,
    LOCK_NAME,
    FolderContent,
    journal_path,
    list_folder,
    remove_obsolete_files,
    snapshot_path,
    sync_folder,
    write_all,
    write_file_atomically,
)
from merlinstand.storage.incarnation import decode_incarnation, encode_incarnation
from merlinstand.storage.journal_format import DecodedJournal
from merlinstand.storage.journal_reader import decode_any_journal, journal_version
from merlinstand.storage.snapshot_format import decode_snapshot, encode_snapshot

INCARNATION_BITS = 62
"""Size of the random incarnation, which fits into a signed 64-bit integer and is never 0."""
SALT_BITS = 64
"""Size of the random salt that identifies the frames of one journal file."""


class Recovered(msgspec.Struct, frozen=True):
    """Content of a folder when it was opened."""

    incarnation: int
    """A new random number if the folder was empty."""
    snapshot: bytes | None
    records: tuple[bytes, ...]
    torn_bytes: int = 0
    """Size of an incomplete write that was truncated."""
    upgraded_from_version: int | None = None
    """Format version of the journal before `open` rewrote it in the current version; None if it
    was current already."""


class DurableStore:
    """An open data folder."""

    def __init__(self, folder: Path, lock_descriptor: int) -> None:
        """Create an unopened store; use `open` instead."""
        self._folder = folder
        self._lock_descriptor = lock_descriptor
        self._descriptor = -1
        self._generation = 0
        self._sequence = 0
        self._salt = 0
        self._pending_records: list[bytes] = []
        self._failure: StorageError | None = None
        self.recovered = Recovered(0, None, ())

    @staticmethod
    def open(folder: str | Path) -> "Result[DurableStore, StorageError]":
        """Open a folder, creating it if needed, and recover its content.

        Returns:
            The store, with the content in `recovered`, or the reason why the process must not
            start on this folder.
        """
        path = Path(folder)
        try:
            path.mkdir(parents=True, exist_ok=True)
            descriptor = os.open(path / LOCK_NAME, os.O_RDWR | os.O_CREAT, FILE_MODE)
        except OSError as error:
            return Err(FileOperationError(detail=str(error), path=str(path)))
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            return Err(
                FolderInUseError(detail="another process has the folder open", path=str(path))
            )
        store = DurableStore(path, descriptor)
        opened = store._run_unless_failed(store._recover)
        if opened.is_err():
            store.close()
            return Err(opened.unwrap_err())
        return Ok(store)

    # Recovery

    def release_recovered(self) -> None:
        """Free the recovered snapshot and records, which can be as large as the journal."""
        self.recovered = Recovered(self.recovered.incarnation, None, ())

    def _recover(self) -> Result[None, StorageError]:
        content = list_folder(self._folder)
        if not content.has_incarnation:
            if not self._is_unused(content):
                return Err(self._incomplete_folder("the incarnation file is missing"))
            return self._initialize()
        incarnation = decode_incarnation((self._folder / INCARNATION_NAME).read_bytes())
        if isinstance(incarnation, Err):
            return incarnation
        generation = max(content.snapshots, default=0)
        if generation not in content.journals:
            return Err(
                self._incomplete_folder(f"the journal of generation {generation} is missing")
            )
        snapshot = self._read_snapshot(generation) if content.snapshots else Ok(None)
        if isinstance(snapshot, Err):
            return snapshot
        return self._recover_generation(generation, incarnation.ok_value, snapshot.ok_value)

    def _incomplete_folder(self, detail: str) -> StorageError:
        return IncompleteFolderError(detail=detail, path=str(self._folder))

    def _is_unused(self, content: FolderContent) -> bool:
        """Whether the folder is empty or holds only what a crash in `_initialize` leaves."""
        if content.snapshots or not content.journals <= {0}:
            return False
        path = journal_path(self._folder, 0)
        return not content.journals or path.stat().st_size == journal_format.HEADER_BYTES

    def _initialize(self) -> Result[None, StorageError]:
        """Create a new incarnation; its file is written after all other files are durable."""
        incarnation = random_bits(INCARNATION_BITS) | 1
        self._write_journal(0, ())
        sync_folder(self._folder)
        write_file_atomically(self._folder / INCARNATION_NAME, encode_incarnation(incarnation))
        sync_folder(self._folder)
        sync_folder(self._folder.parent)
        self._open_journal(0, 0)
        self.recovered = Recovered(incarnation, None, ())
        return Ok(None)

    def _read_snapshot(self, generation: int) -> Result[bytes | None, StorageError]:
        path = snapshot_path(self._folder, generation)
        return decode_snapshot(path.read_bytes()).map_err(lambda error: _with_path(error, path))

    def _recover_generation(
        self, generation: int, incarnation: int, snapshot: bytes | None
    ) -> Result[None, StorageError]:
        path = journal_path(self._folder, generation)
        data = path.read_bytes()
        decoded = decode_any_journal(data).map_err(lambda error: _with_path(error, path))
        if isinstance(decoded, Err):
            return decoded
        journal = decoded.ok_value
        version = journal_version(data)
        is_old = version != journal_format.VERSION
        if is_old:
            self._write_journal(generation, journal.records)
            sync_folder(self._folder)
        self._open_journal(generation, 1 if journal.records else 0)
        if not is_old:
            self._truncate_torn_tail(journal)
        remove_obsolete_files(self._folder, generation)
        self.recovered = Recovered(
            incarnation=incarnation,
            snapshot=snapshot,
            records=journal.records,
            torn_bytes=journal.torn_bytes,
            upgraded_from_version=version if is_old else None,
        )
        return Ok(None)

    def _truncate_torn_tail(self, journal: DecodedJournal) -> None:
        """Truncate a torn tail and sync, before anything is appended."""
        self._salt = journal.salt
        self._sequence = journal.next_sequence
        if journal.torn_bytes:
            os.ftruncate(self._descriptor, journal.valid_bytes)
            os.fsync(self._descriptor)

    # Writing

    def append(self, records: Sequence[bytes]) -> None:
        """Add records to the next sync, without a file operation."""
        self._pending_records.extend(records)

    def sync(self) -> Result[None, StorageError]:
        """Write and sync the pending records. Blocks.

        An error is permanent: the content of the disk is unknown, so the process must stop and
        recover.
        """
        return self._run_unless_failed(self._write_frame)

    def save_snapshot(self, data: bytes, records: Sequence[bytes]) -> Result[None, StorageError]:
        """Replace snapshot and journal atomically and sync them. Blocks.

        Args:
            data: The snapshot.
            records: Complete new content of the journal. It must include the pending records,
                which are dropped.
        """
        self._pending_records.clear()
        return self._run_unless_failed(lambda: self._write_generation(data, records))

    def close(self) -> None:
        """Close the files; pending records are lost."""
        for descriptor in (self._descriptor, self._lock_descriptor):
            if descriptor >= 0:
                # Confirmed records were synced before, so a failed close loses none of them.
                with contextlib.suppress(OSError):
                    os.close(descriptor)
        self._descriptor = self._lock_descriptor = -1

    def _run_unless_failed(
        self, operation: Callable[[], Result[None, StorageError]]
    ) -> Result[None, StorageError]:
        """Run an operation; after a failure, return that error again without running it."""
        if self._failure is not None:
            return Err(self._failure)
        try:
            result = operation()
        except OSError as error:
            result = Err(FileOperationError(detail=str(error), path=str(self._folder)))
        if result.is_err():
            self._failure = result.unwrap_err()
        return result

    def _write_frame(self) -> Result[None, StorageError]:
        if self._pending_records:
            frame = journal_format.encode_frame(self._pending_records, self._sequence, self._salt)
            self._pending_records.clear()
            write_all(self._descriptor, frame)
            os.fdatasync(self._descriptor)
            self._sequence += 1
        return Ok(None)

    def _write_generation(
        self, data: bytes, records: Sequence[bytes]
    ) -> Result[None, StorageError]:
        generation = self._generation + 1
        self._write_journal(generation, records)
        sync_folder(self._folder)
        write_file_atomically(snapshot_path(self._folder, generation), encode_snapshot(data))
        sync_folder(self._folder)
        self._open_journal(generation, 1 if records else 0)
        remove_obsolete_files(self._folder, generation)
        return Ok(None)

    def _write_journal(self, generation: int, records: Sequence[bytes]) -> None:
        self._salt = random_bits(SALT_BITS)
        content = journal_format.encode_header(self._salt)
        if records:
            content += journal_format.encode_frame(records, 0, self._salt)
        write_file_atomically(journal_path(self._folder, generation), content)

    def _open_journal(self, generation: int, sequence: int) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
        path = journal_path(self._folder, generation)
        self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
        self._generation = generation
        self._sequence = sequence


def _with_path(error: StorageError, path: Path) -> StorageError:
    return msgspec.structs.replace(error, path=str(path))
