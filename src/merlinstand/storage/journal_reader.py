"""Choose the reader for a journal's format version (pure).

Every version that was ever written is read; only the newest is written (`journal_format`).
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
    """Format version of a journal file, or None if it isn't one."""
    if len(data) < journal_format.VERSION_PREFIX.size:
        return None
    magic, version = journal_format.VERSION_PREFIX.unpack_from(data)
    return int(version) if magic == journal_format.MAGIC else None


def decode_any_journal(data: bytes) -> Result[DecodedJournal, StorageError]:
    """Decode a journal file of any version that can be read."""
    version = journal_version(data)
    if version is None:
        return Err(CorruptJournalError(detail="no journal header"))
    reader = _READERS.get(version)
    if reader is None:
        return Err(
            UnsupportedVersionError(detail=f"journal version {version} is unknown", version=version)
        )
    return reader(data)
