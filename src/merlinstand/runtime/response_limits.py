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
    """Follows one response and raises an error once a part exceeds its limit."""

    def __init__(self, limits: HttpLimits) -> None:
        """Start before the first byte.

        Args:
            limits: The limits, in bytes.
        """
        self._limits = limits
        self._bytes_without_body = 0
        """Bytes since the start, or after the head since the last byte of the body."""
        self._event = EventMeter()
        self.part = ResponsePart.HEAD
        """Part that the next bytes belong to, as far as known."""

    @property
    def held_bytes(self) -> int:
        """Bytes of the response that are held besides its body."""
        return self._bytes_without_body + self._event.pending_bytes

    def record_head(self, size_bytes: int, is_complete: bool) -> None:
        """Count bytes that were received before the head was complete.

        Raises:
            ResponseTooLargeError: The head is too large.
        """
        self._bytes_without_body += size_bytes
        limit = self._limits.maximum_response_head_bytes
        if not is_complete and self._bytes_without_body > limit:
            raise ResponseTooLargeError(ResponsePart.HEAD, limit)
        if is_complete:
            self.part = ResponsePart.BODY
            self._bytes_without_body = 0

    def record_body(self, size_bytes: int, body_bytes: int, held_body_bytes: int) -> None:
        """Count bytes that were received after the head.

        Args:
            size_bytes: Number of bytes.
            body_bytes: How many of them belong to the body.
            held_body_bytes: Size of the body so far, unless it was passed on.

        Raises:
            ResponseTooLargeError: The body is too large, or too many bytes carried no body.
        """
        limits = self._limits
        if held_body_bytes > limits.maximum_response_bytes:
            raise ResponseTooLargeError(ResponsePart.BODY, limits.maximum_response_bytes)
        if body_bytes:
            self._bytes_without_body = 0
            return
        self._bytes_without_body += size_bytes
        if self._bytes_without_body > limits.maximum_response_head_bytes:
            raise ResponseTooLargeError(ResponsePart.FRAMING, limits.maximum_response_head_bytes)

    def record_event_data(self, data: bytes) -> bool:
        """Follow a piece of a stream of events; return whether the stream made progress.

        Progress is the end of an event, or the beginning of one.

        Raises:
            ResponseTooLargeError: An event is too large.
        """
        self.part = ResponsePart.EVENT
        has_progress = self._event.feed(data)
        if self._event.pending_bytes > self._limits.maximum_event_bytes:
            raise ResponseTooLargeError(ResponsePart.EVENT, self._limits.maximum_event_bytes)
        return has_progress


class EventMeter:
    """Follows the boundaries of the events in a stream, without keeping its bytes."""

    __slots__ = ("_tail", "pending_bytes")

    def __init__(self) -> None:
        """Start before the first event."""
        self.pending_bytes = 0
        """Bytes of the incomplete event."""
        self._tail = b""
        """Last bytes of the incomplete event, which may be the start of a delimiter."""

    def feed(self, data: bytes) -> bool:
        """Follow a piece; return whether an event ended in it, or began with it."""
        joined = self._tail + data
        end = max(joined.rfind(delimiter) + len(delimiter) for delimiter in _DELIMITERS)
        has_ended = any(delimiter in joined for delimiter in _DELIMITERS)
        has_begun = not self.pending_bytes
        if has_ended:
            self.pending_bytes = len(joined) - end
            self._tail = joined[max(end, len(joined) - _DELIMITER_BYTES) :]
        else:
            self.pending_bytes += len(data)
            self._tail = joined[-_DELIMITER_BYTES:]
        return has_ended or has_begun


class RejectedResponse(msgspec.Struct, frozen=True):
    """A response that was given up, for the log."""

    kind: str
    """Kind of the call."""
    address: str
    """`ip:port` of the server."""
    part: ResponsePart
    """Part that was being received."""
    reason: str
    """Reason of the call's failure: `too_large`, `no_room` or `timeout`."""
    received_bytes: int
    seconds: float
    """Time since the call began."""
