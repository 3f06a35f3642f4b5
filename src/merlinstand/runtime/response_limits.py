"""Limits of the parts of one response: bytes and header lines, and what counts as progress.

A server may send bytes without end that never become a response: in a head, in interim responses,
chunk extensions or trailers, in a body, or in an event of a stream. Each part has a limit here; the
time limits are in `http_client`, and `response_budget` limits the sum over all responses.
"""

import enum

import msgspec

from merlinstand.runtime.host_settings import HttpLimits

_DELIMITERS = (b"\n\n", b"\n\r\n")
"""What ends an event: the end of its last line and an empty line, with LF or CR LF."""
_DELIMITER_BYTES = 3


class ResponsePart(enum.StrEnum):
    """Part of a response; the text goes to the log and the metrics."""

    HEAD = "head"
    """Status line and headers, with all interim responses before."""
    FRAMING = "framing"
    """Bytes after the head that carry no body: chunk extensions and trailers."""
    BODY = "body"
    EVENT = "event"
    """An event of a stream that is not complete."""


class ResponseTooLargeError(ValueError):
    """A part of the response exceeds its limit."""

    def __init__(self, part: ResponsePart, limit: int) -> None:
        """Store the part and its limit, in bytes or header lines."""
        super().__init__(f"{part.value} exceeds {limit}")
        self.part = part


class ResponseMeter:
    """Counts the bytes of one response, and raises an error once a part exceeds its limit."""

    __slots__ = ("_limits", "bytes_without_body")

    def __init__(self, limits: HttpLimits) -> None:
        """Start before the first byte.

        Args:
            limits: The limits, in bytes.
        """
        self._limits = limits
        self.bytes_without_body = 0
        """Bytes since the start, or after the head since the last byte of the body."""

    def record_head(self, size_bytes: int, is_complete: bool) -> None:
        """Count bytes that were received before the head was complete.

        Raises:
            ResponseTooLargeError: The head is too large.
        """
        if is_complete:
            self.bytes_without_body = 0
            return
        self.bytes_without_body += size_bytes
        limit = self._limits.maximum_response_head_bytes
        if self.bytes_without_body > limit:
            raise ResponseTooLargeError(ResponsePart.HEAD, limit)

    def record_body(self, held_bytes: int) -> None:
        """Record that bytes of the body arrived.

        Args:
            held_bytes: Size of the body so far, unless it was passed on.

        Raises:
            ResponseTooLargeError: The body is too large.
        """
        self.bytes_without_body = 0
        limit = self._limits.maximum_response_bytes
        if held_bytes > limit:
            raise ResponseTooLargeError(ResponsePart.BODY, limit)

    def record_framing(self, size_bytes: int) -> None:
        """Count bytes after the head among which were none of the body.

        Raises:
            ResponseTooLargeError: Too many bytes carried no body.
        """
        self.bytes_without_body += size_bytes
        limit = self._limits.maximum_response_head_bytes
        if self.bytes_without_body > limit:
            raise ResponseTooLargeError(ResponsePart.FRAMING, limit)


class EventMeter:
    """Follows the boundaries of the events in a stream, without keeping its bytes."""

    __slots__ = ("_maximum_bytes", "_tail", "pending_bytes")

    def __init__(self, maximum_bytes: int) -> None:
        """Start before the first event.

        Args:
            maximum_bytes: Maximum size of an event.
        """
        self._maximum_bytes = maximum_bytes
        self.pending_bytes = 0
        """Bytes of the incomplete event."""
        self._tail = b""
        """Last bytes of the incomplete event, which may be the start of a delimiter."""

    def feed(self, data: bytes) -> bool:
        """Follow a piece; return whether the stream made progress: an event ended or began in it.

        Raises:
            ResponseTooLargeError: The event is too large.
        """
        if data.endswith(_DELIMITERS):
            # The usual case: whole events.
            self.pending_bytes = 0
            self._tail = b""
            return True
        had_begun = self.pending_bytes > 0
        joined = self._tail + data
        has_ended = any(delimiter in joined for delimiter in _DELIMITERS)
        if has_ended:
            end = max(joined.rfind(delimiter) + len(delimiter) for delimiter in _DELIMITERS)
            joined = joined[end:]
            self.pending_bytes = len(joined)
        else:
            self.pending_bytes += len(data)
        self._tail = joined[-_DELIMITER_BYTES:]
        if self.pending_bytes > self._maximum_bytes:
            raise ResponseTooLargeError(ResponsePart.EVENT, self._maximum_bytes)
        return has_ended or not had_begun


class RejectedResponse(msgspec.Struct, frozen=True):
    """A response that was given up, for the log."""

    kind: str
    """Kind of the call."""
    address: str
    """`ip:port` of the server."""
    part: ResponsePart
    """Part that was being received."""
    reason: str
    """Reason of the call's failure: `invalid_status`, `too_large`, `no_room` or `timeout`."""
    received_bytes: int
    seconds: float
    """Time since the call began."""
