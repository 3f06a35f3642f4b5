"""Decoding of journal files of all format versions (pure).

All versions can be decoded; only the newest one is written (`journal_format`).
"""

from collections.abc import Callable, Mapping

from result import Err, Result

from merlinstand.storage import journal_format, journal_format_v1
from merlinstand.storage.errors import CorruptJournalError, StorageError, UnsupportedVersionError
from merlinstand.storage.journal_format import DecodedJournal

_READERS: Mapping[int, Callable[[bytes], Result[DecodedJournal, StorageError]]] = {
    journal_format_v1.VERSION: journal_format_v1.decode_journal,
    journal_format.VERSION: journal_format.decode_journal,
}


def journal_version(data: bytes) -> int | None:
    """Format version of a journal file, or None if it is not a journal."""
    if len(data) < journal_format.VERSION_PREFIX.size:
        return None
    magic, version = journal_format.VERSION_PREFIX.unpack_from(data)
    return int(version) if magic == journal_format.MAGIC else None


def decode_any_journal(data: bytes) -> Result[DecodedJournal, StorageError]:
    """Decode a journal file of any supported version."""
    version = journal_version(data)
    if version is None:
        return Err(CorruptJournalError(detail="file has no journal header"))
    reader = _READERS.get(version)
    if reader is None:
        return Err(
            UnsupportedVersionError(
                detail=f"journal format version {version} is not supported", version=version
            )
        )
    return reader(data)
