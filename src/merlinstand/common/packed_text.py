"""Texts and messages, kept and sent compressed (zlib, RFC 1950)."""

import zlib

from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError

COMPRESSION_THRESHOLD_BYTES = 200
"""Less is kept as it is: there is little to gain. Chosen, not measured."""
ZLIB_LEVEL = 1
"""zlib's fastest level: on texts it is within a few percent of the best."""
MAXIMUM_DECOMPRESSED_BYTES = 256 * 1024 * 1024
"""What claims to be longer is malformed. Chosen, not measured."""


def compress(data: bytes) -> bytes:
    """Compress; empty if the data is better kept as it is."""
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return b""
    packed = zlib.compress(data, ZLIB_LEVEL)
    return packed if len(packed) < len(data) else b""


def decompress(packed: bytes) -> Result[bytes, InvalidInputError]:
    """Give back what `pack` compressed; an error if it is malformed or too long."""
    unpacker = zlib.decompressobj()
    try:
        data = unpacker.decompress(packed, MAXIMUM_DECOMPRESSED_BYTES)
    except zlib.error as error:
        return Err(InvalidInputError(detail=f"packed value: {error}"))
    if not unpacker.eof or unpacker.unused_data:
        return Err(InvalidInputError(detail="not one whole packed value"))
    return Ok(data)
