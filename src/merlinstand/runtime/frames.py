"""Frames of the internal protocol: a four-byte big-endian length, then the payload.

As thrift's `TFramedTransport`. Pure: bytes in, bytes out; `transport` owns the connections.
"""

from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError

LENGTH_BYTES = 4
"""Size of the length in front of each frame; thrift's `TFramedTransport` has the same."""


def encode_frame(payload: bytes) -> bytes:
    """Put the length in front."""
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FrameReader:
    """Cuts a byte stream into frames."""

    def __init__(self, maximum_frame_bytes: int) -> None:
        """Create an empty reader.

        Args:
            maximum_frame_bytes: Longer frames are refused as soon as their length is read.
        """
        self.maximum_frame_bytes = maximum_frame_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Take bytes from the stream."""
        self._buffer += data

    def next_frame(self) -> Result[bytes | None, InvalidInputError]:
        """Give the next whole frame, None if it has not come whole, or an error."""
        if len(self._buffer) < LENGTH_BYTES:
            return Ok(None)
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        if length == 0 or length > self.maximum_frame_bytes:
            return Err(
                InvalidInputError(
                    detail=f"frame of {length} bytes, allowed 1..{self.maximum_frame_bytes}"
                )
            )
        end = LENGTH_BYTES + length
        if len(self._buffer) < end:
            return Ok(None)
        frame = bytes(self._buffer[LENGTH_BYTES:end])
        del self._buffer[:end]
        return Ok(frame)
