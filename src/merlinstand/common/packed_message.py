"""Messages of msgpack that are sent and kept compressed where that makes them smaller."""

import msgspec
from result import Err

from merlinstand.common.packed_text import compress, decompress

COMPRESSED_PREFIX = b"\xc1"
"""Begins a compressed message; no value of msgpack begins with this byte."""


def compress_message(message: bytes) -> bytes:
    """Compress an encoded message, if that makes it smaller."""
    packed = compress(message)
    return COMPRESSED_PREFIX + packed if packed else message


def decompress_message(data: bytes) -> bytes:
    """Give the encoded message back, whether or not it was compressed.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    if not data.startswith(COMPRESSED_PREFIX):
        return data
    unpacked = decompress(data[len(COMPRESSED_PREFIX) :])
    if isinstance(unpacked, Err):
        raise msgspec.DecodeError(unpacked.err_value.detail)
    return unpacked.ok_value
