"""Snapshot file format (pure).

    magic (6) | version u16 | length u64 | crc32c u32 | content

The checksum covers the fields before it and the content.
"""

import struct

from result import Err, Ok, Result

from merlinstand.storage.checksum import crc32c
from merlinstand.storage.errors import CorruptSnapshotError, StorageError, UnsupportedVersionError

MAGIC = b"MSSNAP"
VERSION = 1
"""Format version; files of other versions are rejected."""

_HEADER = struct.Struct("<6sHQ")
_CHECKSUM = struct.Struct("<I")
_CONTENT_OFFSET = _HEADER.size + _CHECKSUM.size


def encode_snapshot(content: bytes) -> bytes:
    """Encode a snapshot file."""
    header = _HEADER.pack(MAGIC, VERSION, len(content))
    return header + _CHECKSUM.pack(crc32c(content, crc32c(header))) + content


def decode_snapshot(data: bytes) -> Result[bytes, StorageError]:
    """Decode a snapshot file; an incomplete or damaged file is an error."""
    if len(data) < _CONTENT_OFFSET:
        return Err(CorruptSnapshotError(detail="snapshot header is truncated"))
    magic, version, length = _HEADER.unpack_from(data)
    if magic != MAGIC or version != VERSION:
        return Err(
            UnsupportedVersionError(
                detail="not a snapshot file of version 1 (wrong magic or version)", version=version
            )
        )
    (checksum,) = _CHECKSUM.unpack_from(data, _HEADER.size)
    content = data[_CONTENT_OFFSET:]
    if len(content) != length or checksum != crc32c(content, crc32c(data[: _HEADER.size])):
        return Err(
            CorruptSnapshotError(detail="snapshot is truncated or its checksum does not match")
        )
    return Ok(content)
