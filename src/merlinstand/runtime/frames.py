"""Frames of the internal protocol: a four-byte big-endian length, then the payload.

The format of thrift's `TFramedTransport`. No I/O happens here; `transport` owns the connections.
"""

from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError

LENGTH_BYTES = 4
"""Size of the length prefix of each frame, as in thrift's `TFramedTransport`."""


def encode_frame(payload: bytes) -> bytes:
    """Prefix the payload with its length."""
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


class FrameReader:
    """Splits a byte stream into frames."""

    def __init__(self, maximum_frame_bytes: int) -> None:
        """Create an empty reader.

        Args:
            maximum_frame_bytes: Longer frames are rejected as soon as their length is read.
        """
        self.maximum_frame_bytes = maximum_frame_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> None:
        """Append received bytes to the buffer."""
        self._buffer += data

    @property
    def announced_bytes(self) -> int:
        """Length of the incomplete frame that has begun to arrive; 0 if there is none."""
        if len(self._buffer) < LENGTH_BYTES:
            return 0
        return int.from_bytes(self._buffer[:LENGTH_BYTES], "big")

    def next_frame(self) -> Result[bytes | None, InvalidInputError]:
        """Return the next frame, None if it is incomplete, or an error for an invalid length."""
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
        with memoryview(self._buffer) as view:
            frame = bytes(view[LENGTH_BYTES:end])
        del self._buffer[:end]
        return Ok(frame)
