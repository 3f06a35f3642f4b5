"""Encodes and decodes messages in thrift's compact protocol.

A message is a struct in thrift's standard message envelope (name, ONEWAY, sequence number 0), so
that standard thrift tools can read captured traffic. The transport adds the frame length, four
bytes in big-endian order as in `TFramedTransport`.
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
        message: Instance of a class that `message_class` returns.

    Returns:
        The envelope, without the frame length.
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
        The message, or an error if it is malformed or not registered.
    """
    protocol = _FACTORY.getProtocol(TMemoryBuffer(data))
    try:
        name, _kind, _sequence = protocol.readMessageBegin()
        struct_class = message_class(name)
        if struct_class is None:
            return Err(InvalidInputError(detail=f"unknown message {name!r}"))
        message = struct_class()
        message.read(protocol)
        message.validate()
        protocol.readMessageEnd()
    except (TException, EOFError, ValueError, IndexError, TypeError, MemoryError) as error:
        return Err(InvalidInputError(detail=f"malformed message: {error}"))
    return Ok(message)
