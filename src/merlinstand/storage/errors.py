"""Failures of durable storage. None of them is to be passed over: the process must stop."""

from typing import ClassVar

from merlinstand.common.errors import MerlinstandError


class StorageError(MerlinstandError, frozen=True, kw_only=True):
    """Base of storage failures."""

    code: ClassVar[str] = "storage"
    path: str = ""
    """The file or folder concerned."""


class CorruptJournalError(StorageError, frozen=True, kw_only=True):
    """The journal is damaged before its tail: synced records are lost.

    Going on could forget a vote or a committed entry. The replica is to be started on
    an empty folder instead: it returns under a new incarnation, as a learner.
    """

    code: ClassVar[str] = "corrupt_journal"
    offset: int = 0
    """Where the damage begins."""


class CorruptSnapshotError(StorageError, frozen=True, kw_only=True):
    """The snapshot's checksum doesn't match its content."""

    code: ClassVar[str] = "corrupt_snapshot"


class UnsupportedVersionError(StorageError, frozen=True, kw_only=True):
    """The file was written by a newer program (or is no file of ours)."""

    code: ClassVar[str] = "unsupported_version"
    version: int = 0


class IncompleteFolderError(StorageError, frozen=True, kw_only=True):
    """A file that must be there is missing: part of the folder was lost or removed."""

    code: ClassVar[str] = "incomplete_folder"


class FolderInUseError(StorageError, frozen=True, kw_only=True):
    """Another process has the folder open."""

    code: ClassVar[str] = "folder_in_use"


class FileOperationError(StorageError, frozen=True, kw_only=True):
    """The operating system refused a file operation.

    After a failed sync nobody knows what is on disk, so it isn't tried again.
    """

    code: ClassVar[str] = "file_operation"
