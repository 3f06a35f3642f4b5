"""Compression of texts and messages (zlib format, RFC 1950)."""

import zlib

from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError

COMPRESSION_THRESHOLD_BYTES = 200
"""Data shorter than this is not compressed: little would be saved."""
ZLIB_LEVEL = 1
"""The fastest level; it compresses texts to within a few percent of the best level's size."""
MAXIMUM_DECOMPRESSED_BYTES = 256 * 1024 * 1024
"""Data that would decompress to more is rejected as malformed."""


def compress(data: bytes) -> bytes:
    """Return the compressed data; empty if it is short or would not become smaller."""
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return b""
    compressed = zlib.compress(data, ZLIB_LEVEL)
    return compressed if len(compressed) < len(data) else b""


def decompress(compressed: bytes) -> Result[bytes, InvalidInputError]:
    """Reverse `compress`; an error if the data is malformed or decompresses to too many bytes."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(compressed, MAXIMUM_DECOMPRESSED_BYTES)
    except zlib.error as error:
        return Err(InvalidInputError(detail=f"malformed compressed data: {error}"))
    if not decompressor.eof or decompressor.unused_data:
        return Err(
            InvalidInputError(
                detail="compressed data is truncated, too long or followed by other bytes"
            )
        )
    return Ok(data)
