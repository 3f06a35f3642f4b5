"""Compression of msgpack messages that are sent or stored."""

import msgspec
from result import Err

from merlinstand.common.packed_text import compress, decompress

COMPRESSED_PREFIX = b"\xc1"
"""First byte of a compressed message. The msgpack format never uses this byte."""


def compress_message(message: bytes) -> bytes:
    """Compress an encoded message; return it unchanged if compression does not make it smaller."""
    return compress(message, COMPRESSED_PREFIX) or message


def decompress_message(data: bytes) -> bytes:
    """Return the encoded message, decompressed if it was compressed.

    Raises:
        msgspec.DecodeError: The compressed data is malformed or too long.
    """
    if not data.startswith(COMPRESSED_PREFIX):
        return data
    decompressed = decompress(memoryview(data)[len(COMPRESSED_PREFIX) :])
    if isinstance(decompressed, Err):
        raise msgspec.DecodeError(decompressed.err_value.detail)
    return decompressed.ok_value
