"""Reader for the journal's format version 1 (pure), kept for upgrades.

Version 1 had no frames, only records, so it could not tell a synced record from one that
a crash left behind; a damaged record with sound ones after it is refused all the same:

    header: magic (6) | version u16 | crc32c u32
    record: length u32 | crc32c u32 | bytes
"""

import struct

from result import Err, Ok, Result

from merlinstand.storage.checksum import crc32c
from merlinstand.storage.errors import CorruptJournalError, StorageError
from merlinstand.storage.journal_format import MAGIC, VERSION_PREFIX, DecodedJournal

VERSION = 1
"""Of the journals that this module reads; none is written any more."""

_CHECKSUM = struct.Struct("<I")
_RECORD = struct.Struct("<II")
HEADER_BYTES = VERSION_PREFIX.size + _CHECKSUM.size


def encode_header() -> bytes:
    """Encode the header of a file of version 1 (tests of the upgrade need it)."""
    header = VERSION_PREFIX.pack(MAGIC, VERSION)
    return header + _CHECKSUM.pack(crc32c(header))


def encode_record(record: bytes) -> bytes:
    """Encode a record of version 1 (tests of the upgrade need it)."""
    return _RECORD.pack(len(record), crc32c(record)) + record


def decode_journal(data: bytes) -> Result[DecodedJournal, StorageError]:
    """Decode a whole file of version 1."""
    if len(data) < HEADER_BYTES or data[:HEADER_BYTES] != encode_header():
        return Err(CorruptJournalError(detail="header is damaged"))
    records: list[bytes] = []
    offset = HEADER_BYTES
    while offset < len(data):
        record = _record_at(data, offset)
        if record is None:
            if _follows_sound_record(data, offset):
                return Err(CorruptJournalError(detail="damaged before its tail", offset=offset))
            break
        records.append(record)
        offset += _RECORD.size + len(record)
    return Ok(DecodedJournal(tuple(records), offset, 0, 0, len(data) - offset))


def _record_at(data: bytes, offset: int) -> bytes | None:
    begin = offset + _RECORD.size
    if begin > len(data):
        return None
    length, checksum = _RECORD.unpack_from(data, offset)
    record = data[begin : begin + length]
    if len(record) != length or checksum != crc32c(record):
        return None
    return record


def _follows_sound_record(data: bytes, offset: int) -> bool:
    """Whether a sound record stands where the damaged one says that it ends."""
    if offset + _RECORD.size > len(data):
        return False
    length, _checksum = _RECORD.unpack_from(data, offset)
    following = offset + _RECORD.size + length
    return following < len(data) and _record_at(data, following) is not None
