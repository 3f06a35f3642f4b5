"""File names and durable file operations in one data folder.

All operations block. A created, renamed or removed name is durable only after `sync_folder`, which
the caller must call; see `store` for the order.
"""

import os
import re
from pathlib import Path

import msgspec

TEMPORARY_SUFFIX = ".new"
INCARNATION_NAME = "incarnation"
LOCK_NAME = "lock"
FILE_MODE = 0o600
"""Permissions of all files: readable and writable by the owner only."""

_JOURNAL_NAME = re.compile(r"journal-(\d{16})")
_SNAPSHOT_NAME = re.compile(r"snapshot-(\d{16})")


class FolderContent(msgspec.Struct, frozen=True):
    """Journals, snapshots and incarnation file found in a folder."""

    journals: frozenset[int]
    """Generations of the journals."""
    snapshots: frozenset[int]
    has_incarnation: bool


def journal_path(folder: Path, generation: int) -> Path:
    """Path of a generation's journal."""
    return folder / f"journal-{generation:016d}"


def snapshot_path(folder: Path, generation: int) -> Path:
    """Path of a generation's snapshot."""
    return folder / f"snapshot-{generation:016d}"


def list_folder(folder: Path) -> FolderContent:
    """List the stored files; other names are ignored."""
    journals: set[int] = set()
    snapshots: set[int] = set()
    names = [path.name for path in folder.iterdir()]
    for name in names:
        for pattern, generations in ((_JOURNAL_NAME, journals), (_SNAPSHOT_NAME, snapshots)):
            match = pattern.fullmatch(name)
            if match is not None:
                generations.add(int(match.group(1)))
    return FolderContent(frozenset(journals), frozenset(snapshots), INCARNATION_NAME in names)


def remove_obsolete_files(folder: Path, generation: int) -> None:
    """Remove temporary files, and journals and snapshots of other generations."""
    kept = {journal_path(folder, generation), snapshot_path(folder, generation)}
    for path in folder.iterdir():
        is_old = path not in kept and (
            _JOURNAL_NAME.fullmatch(path.name) or _SNAPSHOT_NAME.fullmatch(path.name)
        )
        if is_old or path.name.endswith(TEMPORARY_SUFFIX):
            path.unlink()


def write_file_atomically(path: Path, data: bytes) -> None:
    """Write a file under a temporary name, sync and rename it, so that it is never incomplete.

    The new name is durable only after the caller's `sync_folder`.
    """
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
    try:
        write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(temporary, path)


def write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes, repeating partial writes."""
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def sync_folder(folder: Path) -> None:
    """Make created, renamed and removed names durable."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
