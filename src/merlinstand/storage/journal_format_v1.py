"""Decoder of journal file format version 1 (pure), for upgrades of old folders.

Version 1 has records without frames, so a synced record cannot be distinguished from one that a
crash left incomplete. A damaged record that is followed by a valid one is rejected nevertheless:

    header: magic (6) | version u16 | crc32c u32
    record: length u32 | crc32c u32 | bytes
"""

import struct

from result import Err, Ok, Result

from merlinstand.storage.checksum import crc32c
from merlinstand.storage.errors import CorruptJournalError, StorageError
from merlinstand.storage.journal_format import MAGIC, VERSION_PREFIX, DecodedJournal

VERSION = 1
"""Format version that this module decodes; it is no longer written."""

_CHECKSUM = struct.Struct("<I")
_RECORD = struct.Struct("<II")
HEADER_BYTES = VERSION_PREFIX.size + _CHECKSUM.size


def encode_header() -> bytes:
    """Encode the header of a file of version 1; used to check headers and by tests."""
    header = VERSION_PREFIX.pack(MAGIC, VERSION)
    return header + _CHECKSUM.pack(crc32c(header))


def encode_record(record: bytes) -> bytes:
    """Encode a record of version 1, for tests."""
    return _RECORD.pack(len(record), crc32c(record)) + record


def decode_journal(data: bytes) -> Result[DecodedJournal, StorageError]:
    """Decode a complete file of version 1."""
    if len(data) < HEADER_BYTES or data[:HEADER_BYTES] != encode_header():
        return Err(CorruptJournalError(detail="journal header is truncated or damaged"))
    records: list[bytes] = []
    offset = HEADER_BYTES
    while offset < len(data):
        record = _record_at(data, offset)
        if record is None:
            if _is_followed_by_valid_record(data, offset):
                return Err(
                    CorruptJournalError(
                        detail="journal is damaged before its last record", offset=offset
                    )
                )
            break
        records.append(record)
        offset += _RECORD.size + len(record)
    return Ok(DecodedJournal(tuple(records), offset, 0, 0, len(data) - offset))


def _record_at(data: bytes, offset: int) -> bytes | None:
    start = offset + _RECORD.size
    if start > len(data):
        return None
    length, checksum = _RECORD.unpack_from(data, offset)
    record = data[start : start + length]
    if len(record) != length or checksum != crc32c(record):
        return None
    return record


def _is_followed_by_valid_record(data: bytes, offset: int) -> bool:
    """Whether a valid record starts where the damaged one ends according to its length."""
    if offset + _RECORD.size > len(data):
        return False
    length, _checksum = _RECORD.unpack_from(data, offset)
    following = offset + _RECORD.size + length
    return following < len(data) and _record_at(data, following) is not None
