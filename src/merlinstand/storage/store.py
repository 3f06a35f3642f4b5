"""Durable state of one process in one folder.

Snapshot and journal form a generation. `save_snapshot` writes the next generation beside
the present one; the rename of the new snapshot is the moment from which it counts:

1. `journal-G+1` and `snapshot-G+1` are written under temporary names and synced;
2. the journal is renamed, the folder synced;
3. the snapshot is renamed (from here on generation G+1 is the one recovered), the folder
   synced;
4. generation G is removed.

The generation recovered is that of the newest snapshot; a journal without its snapshot
(a crash between 2 and 3) is a leftover. All calls must come one at a time; the blocking
ones may run in another thread.
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
    remove_leftovers,
    snapshot_path,
    sync_folder,
    write_all,
    write_file,
)
from merlinstand.storage.incarnation import decode_incarnation, encode_incarnation
from merlinstand.storage.journal_format import DecodedJournal
from merlinstand.storage.journal_reader import decode_any_journal, journal_version
from merlinstand.storage.snapshot_format import decode_snapshot, encode_snapshot

INCARNATION_BITS = 62
"""Bits of an incarnation's random number; it fits into a signed number of 64 bits, and is never
0."""
SALT_BITS = 64
"""Bits of the random number that tells one journal file's frames from another's."""


class Recovered(msgspec.Struct, frozen=True):
    """What a folder held when it was opened."""

    incarnation: int
    """New and random if the folder was empty."""
    snapshot: bytes | None
    records: tuple[bytes, ...]
    torn_bytes: int = 0
    """How much of an unfinished write was trimmed."""
    upgraded_from_version: int | None = None
    """Format version of the journal before it was rewritten, if it was an old one."""


class DurableStore:
    """An open data folder."""

    def __init__(self, folder: Path, lock_descriptor: int) -> None:
        """Use `open` instead."""
        self._folder = folder
        self._lock_descriptor = lock_descriptor
        self._descriptor = -1
        self._generation = 0
        self._sequence = 0
        self._salt = 0
        self._waiting: list[bytes] = []
        self._failure: StorageError | None = None
        self.recovered = Recovered(0, None, ())

    @staticmethod
    def open(folder: str | Path) -> "Result[DurableStore, StorageError]":
        """Open a folder, making it if needed, and recover what it holds.

        Returns:
            The store, whose `recovered` tells what was found, or the reason why this
            process must not start on this folder.
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
            return Err(FolderInUseError(detail="another process has it open", path=str(path)))
        store = DurableStore(path, descriptor)
        opened = store._guard(store._recover)
        if opened.is_err():
            store.close()
            return Err(opened.unwrap_err())
        return Ok(store)

    # Recovery

    def release_recovered(self) -> None:
        """Let go of what was found, once it was handed on: it is as large as the whole journal."""
        self.recovered = Recovered(self.recovered.incarnation, None, ())

    def _recover(self) -> Result[None, StorageError]:
        content = list_folder(self._folder)
        if not content.has_incarnation:
            if not self._is_unused(content):
                return Err(self._incomplete("the incarnation file is missing"))
            return self._make_new()
        incarnation = decode_incarnation((self._folder / INCARNATION_NAME).read_bytes())
        if isinstance(incarnation, Err):
            return incarnation
        generation = max(content.snapshots, default=0)
        if generation not in content.journals:
            return Err(self._incomplete(f"the journal of generation {generation} is missing"))
        snapshot = self._read_snapshot(generation) if content.snapshots else Ok(None)
        if isinstance(snapshot, Err):
            return snapshot
        return self._recover_generation(generation, incarnation.ok_value, snapshot.ok_value)

    def _incomplete(self, detail: str) -> StorageError:
        return IncompleteFolderError(detail=detail, path=str(self._folder))

    def _is_unused(self, content: FolderContent) -> bool:
        """Whether there is nothing, or only what a crash in `_make_new` leaves."""
        if content.snapshots or not content.journals <= {0}:
            return False
        path = journal_path(self._folder, 0)
        return not content.journals or path.stat().st_size == journal_format.HEADER_BYTES

    def _make_new(self) -> Result[None, StorageError]:
        """Begin a new incarnation; its file comes last, when all else is durable."""
        incarnation = random_bits(INCARNATION_BITS) | 1
        self._write_journal(0, ())
        sync_folder(self._folder)
        write_file(self._folder / INCARNATION_NAME, encode_incarnation(incarnation))
        sync_folder(self._folder)
        sync_folder(self._folder.parent)
        self._open_journal(0, 0)
        self.recovered = Recovered(incarnation, None, ())
        return Ok(None)

    def _read_snapshot(self, generation: int) -> Result[bytes | None, StorageError]:
        path = snapshot_path(self._folder, generation)
        return decode_snapshot(path.read_bytes()).map_err(lambda error: _located(error, path))

    def _recover_generation(
        self, generation: int, incarnation: int, snapshot: bytes | None
    ) -> Result[None, StorageError]:
        path = journal_path(self._folder, generation)
        data = path.read_bytes()
        decoded = decode_any_journal(data).map_err(lambda error: _located(error, path))
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
            self._trim(journal)
        remove_leftovers(self._folder, generation)
        self.recovered = Recovered(
            incarnation=incarnation,
            snapshot=snapshot,
            records=journal.records,
            torn_bytes=journal.torn_bytes,
            upgraded_from_version=version if is_old else None,
        )
        return Ok(None)

    def _trim(self, journal: DecodedJournal) -> None:
        """Cut a torn tail off, durably, before anything is appended."""
        self._salt = journal.salt
        self._sequence = journal.next_sequence
        if journal.torn_bytes:
            os.ftruncate(self._descriptor, journal.valid_bytes)
            os.fsync(self._descriptor)

    # Writing

    def append(self, records: Sequence[bytes]) -> None:
        """Add records to the next sync; does no file operation."""
        self._waiting.extend(records)

    def sync(self) -> Result[None, StorageError]:
        """Write what waits and sync it. Blocks.

        An error is final: what is on the disk isn't known any more, so the process must
        stop and recover.
        """
        return self._guard(self._write_frame)

    def save_snapshot(self, data: bytes, records: Sequence[bytes]) -> Result[None, StorageError]:
        """Replace snapshot and journal as one, synced. Blocks.

        Args:
            data: The snapshot.
            records: The journal's whole new content. What waits for a sync is dropped:
                the caller has it in `records`.
        """
        self._waiting.clear()
        return self._guard(lambda: self._write_generation(data, records))

    def close(self) -> None:
        """Close the files; what waits for a sync is lost."""
        for descriptor in (self._descriptor, self._lock_descriptor):
            if descriptor >= 0:
                # All that counts was synced before; what a failed close loses counts for nothing.
                with contextlib.suppress(OSError):
                    os.close(descriptor)
        self._descriptor = self._lock_descriptor = -1

    def _guard(
        self, operation: Callable[[], Result[None, StorageError]]
    ) -> Result[None, StorageError]:
        """Run an operation; after a failure nothing is tried any more."""
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
        if self._waiting:
            frame = journal_format.encode_frame(self._waiting, self._sequence, self._salt)
            self._waiting.clear()
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
        write_file(snapshot_path(self._folder, generation), encode_snapshot(data))
        sync_folder(self._folder)
        self._open_journal(generation, 1 if records else 0)
        remove_leftovers(self._folder, generation)
        return Ok(None)

    def _write_journal(self, generation: int, records: Sequence[bytes]) -> None:
        self._salt = random_bits(SALT_BITS)
        content = journal_format.encode_header(self._salt)
        if records:
            content += journal_format.encode_frame(records, 0, self._salt)
        write_file(journal_path(self._folder, generation), content)

    def _open_journal(self, generation: int, sequence: int) -> None:
        if self._descriptor >= 0:
            os.close(self._descriptor)
        path = journal_path(self._folder, generation)
        self._descriptor = os.open(path, os.O_WRONLY | os.O_APPEND)
        self._generation = generation
        self._sequence = sequence


def _located(error: StorageError, path: Path) -> StorageError:
    return msgspec.structs.replace(error, path=str(path))
