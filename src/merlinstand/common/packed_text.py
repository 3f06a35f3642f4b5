"""Compression of texts and messages (zlib format, RFC 1950)."""

import zlib
from io import BytesIO

from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError

COMPRESSION_THRESHOLD_BYTES = 200
"""Data shorter than this is not compressed: little would be saved."""
ZLIB_LEVEL = 1
"""The fastest level; it compresses texts to within a few percent of the best level's size."""
PIECE_BYTES = 1024 * 1024
"""Size of the pieces in which large data is compressed."""
MAXIMUM_RATIO = 0.5
"""Large data whose first pieces would take more than this share of their size is not compressed."""
MAXIMUM_DECOMPRESSED_BYTES = 256 * 1024 * 1024
"""Data that would decompress to more is rejected as malformed."""


def compress(data: bytes, prefix: bytes = b"") -> bytes:
    """Return the compressed data; empty if it is short or would not become smaller.

    Large data is compressed in pieces into one buffer, and only as long as that halves it, because
    both are in memory at the same time.

    Args:
        data: The data.
        prefix: Precedes the compressed data in the result.
    """
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return b""
    compressor = zlib.compressobj(ZLIB_LEVEL)
    output = BytesIO()
    output.write(prefix)
    with memoryview(data) as view:
        for start in range(0, len(data), PIECE_BYTES):
            end = start + PIECE_BYTES
            output.write(compressor.compress(view[start:end]))
            if end < len(data) and output.tell() > MAXIMUM_RATIO * end:
                return b""
    output.write(compressor.flush())
    return output.getvalue() if output.tell() - len(prefix) < len(data) else b""


def decompress(compressed: bytes | memoryview) -> Result[bytes, InvalidInputError]:
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
