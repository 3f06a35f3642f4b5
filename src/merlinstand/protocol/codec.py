"""Encode and decode one message in thrift's compact protocol.

The encoding is thrift's own message envelope (name, ONEWAY, sequence number 0) around
the struct, so any thrift tool can read a capture. Framing is `TFramedTransport`'s
four-byte big-endian length, added by the transport.
"""

from typing import Any

from result import Err, Ok, Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException, TMessageType
from thrift.transport.TTransport import TMemoryBuffer

from merlinstand.common.errors import InvalidInputError
from merlinstand.protocol.registry import message_class

_FACTORY = TCompactProtocolAcceleratedFactory()


def encode_message(message: Any) -> bytes:
    """Encode a registered message.

    Args:
        message: Instance of a class that `message_class` gives.

    Returns:
        The envelope, without frame length.
    """
    buffer = TMemoryBuffer()
    protocol = _FACTORY.getProtocol(buffer)
    protocol.writeMessageBegin(type(message).__name__, TMessageType.ONEWAY, 0)
    message.write(protocol)
    protocol.writeMessageEnd()
    return bytes(buffer.getvalue())


def decode_message(data: bytes) -> Result[Any, InvalidInputError]:
    """Decode an envelope.

    Returns:
        The message, or an error for anything malformed or unknown.
    """
    protocol = _FACTORY.getProtocol(TMemoryBuffer(data))
    try:
        name, _kind, _sequence = protocol.readMessageBegin()
        known_class = message_class(name)
        if known_class is None:
            return Err(InvalidInputError(detail=f"unknown message {name!r}"))
        message = known_class()
        message.read(protocol)
        message.validate()
        protocol.readMessageEnd()
    except (TException, EOFError, ValueError, IndexError, TypeError, MemoryError) as error:
        return Err(InvalidInputError(detail=f"malformed message: {error}"))
    return Ok(message)
