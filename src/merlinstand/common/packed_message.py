"""Messages of msgpack that are sent and kept compressed where that makes them smaller."""

import msgspec
from result import Err

from merlinstand.common.packed_text import pack, unpack

PACKED_MARK = b"\xc1"
"""Begins a compressed message; no value of msgpack begins with this byte."""


def pack_message(message: bytes) -> bytes:
    """Compress an encoded message, if that makes it smaller."""
    packed = pack(message)
    return PACKED_MARK + packed if packed else message


def unpack_message(data: bytes) -> bytes:
    """Give the encoded message back, whether or not it was compressed.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    if not data.startswith(PACKED_MARK):
        return data
    unpacked = unpack(data[len(PACKED_MARK) :])
    if isinstance(unpacked, Err):
        raise msgspec.DecodeError(unpacked.err_value.detail)
    return unpacked.ok_value
