"""Journal file format, version 2 (pure).

A file consists of a header and frames. A frame holds the records of exactly one sync, so a crash
can only leave the last frame incomplete:

    header: magic (6) | version u16 | salt u64 | crc32c u32
    frame:  marker (4) | sequence u64 | length u32 | crc32c u32 | records
    record: length u32 | bytes

All numbers are little-endian. A frame's checksum covers the file's salt, its sequence number, its
length and its records, so neither old bytes on the disk nor bytes inside a record are mistaken for
a frame.

A damaged frame with no valid frame after it is a torn tail (a frame whose sync was never confirmed)
and is truncated. A damaged frame that is followed by a valid frame of the same or a higher sequence
number had been synced, because a frame is written only after the previous one was synced, so the
file is rejected. Damage in the last synced frame cannot be distinguished from a torn tail.
"""

import struct
from collections.abc import Sequence

import msgspec
from result import Err, Ok, Result

from merlinstand.storage.checksum import crc32c
from merlinstand.storage.errors import CorruptJournalError, StorageError, UnsupportedVersionError

MAGIC = b"MSJRNL"
VERSION = 2
"""Format version written into new journals; `journal_reader` selects the decoder by it."""

_HEADER = struct.Struct("<6sHQ")
_FRAME = struct.Struct("<4sQII")
_LENGTH = struct.Struct("<I")
_CHECKSUM = struct.Struct("<I")
_CHECKED_PREFIX = struct.Struct("<QQI")
_MARKER = b"\xa7MSF"

HEADER_BYTES = _HEADER.size + _CHECKSUM.size
VERSION_PREFIX = struct.Struct("<6sH")
"""Magic and version: the start of the header in every format version."""


class DecodedJournal(msgspec.Struct, frozen=True):
    """Content of a journal file."""

    records: tuple[bytes, ...]
    valid_bytes: int
    """Length of the valid part, to which the file must be truncated before anything is appended."""
    next_sequence: int
    salt: int
    torn_bytes: int = 0
    """Size of the torn tail, which is not part of `valid_bytes`."""


class _Frame(msgspec.Struct, frozen=True):
    sequence: int
    payload: memoryview
    end: int


def encode_header(salt: int) -> bytes:
    """Encode the header of a new file.

    Args:
        salt: Random number below 2**64 that differs between files.
    """
    header = _HEADER.pack(MAGIC, VERSION, salt)
    return header + _CHECKSUM.pack(crc32c(header))


def encode_frame(records: Sequence[bytes], sequence: int, salt: int) -> bytes:
    """Encode the records of one sync.

    Args:
        records: The records, oldest first.
        sequence: 0 for the file's first frame, 1 for the next one, and so on.
        salt: The file's salt.
    """
    payload = b"".join(part for record in records for part in (_LENGTH.pack(len(record)), record))
    checksum = _frame_checksum(salt, sequence, payload)
    return _FRAME.pack(_MARKER, sequence, len(payload), checksum) + payload


def _frame_checksum(salt: int, sequence: int, payload: bytes | memoryview) -> int:
    prefix = _CHECKED_PREFIX.pack(salt, sequence, len(payload))
    return crc32c(payload, crc32c(prefix))


def decode_journal(data: bytes) -> Result[DecodedJournal, StorageError]:
    """Decode a complete file of this version.

    Returns:
        The records without a torn tail, or an error if synced records are damaged.
    """
    salt = _decode_header(data)
    if isinstance(salt, Err):
        return salt
    view = memoryview(data)
    records: list[bytes] = []
    offset = HEADER_BYTES
    sequence = 0
    while offset < len(data):
        frame = _frame_at(view, offset, salt.ok_value)
        if frame is None or frame.sequence != sequence:
            if frame is not None or _has_later_frame(data, offset + 1, salt.ok_value, sequence):
                return Err(
                    CorruptJournalError(
                        detail="journal is damaged before its last frame", offset=offset
                    )
                )
            break
        records.extend(_split_records(frame.payload))
        offset = frame.end
        sequence += 1
    return Ok(DecodedJournal(tuple(records), offset, sequence, salt.ok_value, len(data) - offset))


def _decode_header(data: bytes) -> Result[int, StorageError]:
    if len(data) < HEADER_BYTES:
        return Err(CorruptJournalError(detail="journal header is truncated"))
    magic, version, salt = _HEADER.unpack_from(data)
    if magic != MAGIC or version != VERSION:
        return Err(
            UnsupportedVersionError(
                detail="not a journal file of version 2 (wrong magic or version)", version=version
            )
        )
    (checksum,) = _CHECKSUM.unpack_from(data, _HEADER.size)
    if checksum != crc32c(data[: _HEADER.size]):
        return Err(CorruptJournalError(detail="journal header is damaged"))
    return Ok(salt)


def _frame_at(view: memoryview, offset: int, salt: int) -> _Frame | None:
    """The frame that begins at an offset, or None if it is not valid."""
    start = offset + _FRAME.size
    if start > len(view):
        return None
    marker, sequence, length, checksum = _FRAME.unpack_from(view, offset)
    payload = view[start : start + length]
    if marker != _MARKER or len(payload) != length:
        return None
    if checksum != _frame_checksum(salt, sequence, payload):
        return None
    return _Frame(sequence, payload, start + length)


def _has_later_frame(data: bytes, start: int, salt: int, sequence: int) -> bool:
    """Whether a valid frame with at least this sequence number starts at or after `start`."""
    view = memoryview(data)
    offset = data.find(_MARKER, start)
    while offset >= 0:
        frame = _frame_at(view, offset, salt)
        if frame is not None and frame.sequence >= sequence:
            return True
        offset = data.find(_MARKER, offset + 1)
    return False


def _split_records(payload: memoryview) -> list[bytes]:
    records = []
    offset = 0
    while offset < len(payload):
        (length,) = _LENGTH.unpack_from(payload, offset)
        offset += _LENGTH.size
        records.append(bytes(payload[offset : offset + length]))
        offset += length
    return records
