"""Errors of durable storage. The process must stop on any of them."""

from typing import ClassVar

from merlinstand.common.errors import MerlinstandError


class StorageError(MerlinstandError, frozen=True, kw_only=True):
    """Base class of storage errors."""

    code: ClassVar[str] = "storage"
    path: str = ""
    """The file or folder concerned."""


class CorruptJournalError(StorageError, frozen=True, kw_only=True):
    """The journal is damaged before its tail, so synced records are lost.

    Continuing could lose a vote or a committed entry. Start the replica on an empty folder
    instead: it rejoins under a new incarnation, as a learner.
    """

    code: ClassVar[str] = "corrupt_journal"
    offset: int = 0
    """Byte offset of the damage in the file."""


class CorruptSnapshotError(StorageError, frozen=True, kw_only=True):
    """The snapshot file is truncated or its checksum does not match."""

    code: ClassVar[str] = "corrupt_snapshot"


class UnsupportedVersionError(StorageError, frozen=True, kw_only=True):
    """The file has an unknown format version or is not a file of this program."""

    code: ClassVar[str] = "unsupported_version"
    version: int = 0


class IncompleteFolderError(StorageError, frozen=True, kw_only=True):
    """A required file is missing or damaged: part of the folder was lost or removed."""

    code: ClassVar[str] = "incomplete_folder"


class FolderInUseError(StorageError, frozen=True, kw_only=True):
    """Another process has the folder open."""

    code: ClassVar[str] = "folder_in_use"


class FileOperationError(StorageError, frozen=True, kw_only=True):
    """A file operation failed in the operating system.

    After a failed sync the content of the disk is unknown, so the sync is not retried.
    """

    code: ClassVar[str] = "file_operation"
