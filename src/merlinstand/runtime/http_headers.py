"""Strict parsing of HTTP/1.1 request heads, and the list of hop-by-hop headers."""

import re
from collections.abc import Callable, Iterable
from functools import lru_cache
from typing import Protocol

import msgspec
from result import Err, Ok, Result

from merlinstand.common.errors import HeadTooLargeError, MerlinstandError
from merlinstand.common.whole_number import parse_whole_number
from merlinstand.runtime.errors import MalformedRequestError, TargetTooLongError

MAXIMUM_REQUEST_LINE_BYTES = 8192
"""Maximum request line; a longer one gets 414. RFC 9112, 3 requires at least 8,000."""
MAXIMUM_HEAD_BYTES = 64 * 1024
"""Maximum size of the request line and headers; a larger head gets 431."""
MAXIMUM_HEADER_COUNT = 128
"""Maximum number of header lines; more get 431."""

LINE_PART_BYTES = 4 * 1024
"""Maximum part of a line that is read at once."""

HOP_BY_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)

SET_COOKIE = "set-cookie"
SET_COOKIE_SEPARATOR = "\n"
"""Cookies contain commas, so several `Set-Cookie` values are separated by newlines."""

HEAD_END = b"\r\n\r\n"
_LINE_END = b"\r\n"

_REQUEST_LINE = re.compile(r"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([\x21-\x7e]+) HTTP/(1\.[01])\Z")
_AUTHORITY_END = re.compile(r"[/?#]")
ASTERISK = "*"
"""Target of an `OPTIONS` request for the server as a whole; no route takes it."""
TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
"""The token syntax of methods and header names (RFC 9110, 5.6.2)."""
_BAD_CHARACTER = re.compile(r"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]|\r(?!\n)|(?<!\r)\n")
_CACHED_NAMES = 512
"""Number of header names in the cache of lower-case names."""
_CACHED_NAME_CHARACTERS = 64
"""Longer names are not cached: clients choose them, and the cache must stay small."""


class HeadReader(Protocol):
    """The methods of a buffered binary file that reading a head needs."""

    def peek(self, size: int, /) -> bytes:
        """Return buffered bytes without consuming them."""
        ...

    def read(self, size: int, /) -> bytes:
        """Consume and return exactly `size` bytes."""
        ...

    def readline(self, limit: int, /) -> bytes:
        """Consume and return bytes up to and including a line end."""
        ...


class RequestHead(msgspec.Struct, frozen=True):
    """Request line and headers."""

    method: str
    target: str
    """Path with query, as received."""
    version: str
    headers: dict[str, str]
    """Names in lower case."""

    @property
    def keep_alive(self) -> bool:
        """Whether the client allows the connection to be reused."""
        if self.version == "1.0":
            return False
        tokens = self.headers.get("connection", "").lower()
        return "close" not in tokens

    @property
    def chunked(self) -> bool:
        """Whether the body uses the chunked transfer encoding."""
        return "transfer-encoding" in self.headers

    @property
    def content_length(self) -> int | None:
        """Declared length of the body in bytes; None if absent."""
        text = self.headers.get("content-length")
        return None if text is None else int(text)


def read_request_head(
    reader: HeadReader,
    maximum_bytes: int = MAXIMUM_HEAD_BYTES,
    add_bytes: Callable[[int], MerlinstandError | None] = lambda _size: None,
) -> Result[RequestHead | None, MerlinstandError]:
    """Read the head of one request.

    Args:
        reader: The connection.
        maximum_bytes: Maximum size of the request line and headers.
        add_bytes: Called with the size of each part read; may return an error, which ends reading.

    Returns:
        The head, None if the connection ended before its first byte, or an error.
    """
    data = _read_head_bytes(reader, maximum_bytes, add_bytes)
    if isinstance(data, Err):
        return data
    if not data.ok_value:
        return Ok(None)
    return parse_request_head(data.ok_value)


def parse_request_head(data: bytes) -> Result[RequestHead, MerlinstandError]:
    """Parse a complete head, including its final empty line."""
    text = data.decode("latin-1")
    if _BAD_CHARACTER.search(text):
        return Err(MalformedRequestError(detail="control characters in the head"))
    lines = text.split("\r\n")
    match = _REQUEST_LINE.match(lines[0])
    if match is None:
        return Err(MalformedRequestError(detail="not an HTTP/1.1 request line"))
    method, target, version = match.groups()
    path = target if target.startswith("/") else _path_of_other_form(method, target)
    if path is None:
        return Err(MalformedRequestError(detail="request target must begin with /"))
    headers: dict[str, str] = {}
    # The last two parts are empty: they follow the last header and the empty line.
    for line in lines[1:-2]:
        raw_name, colon, value = line.partition(":")
        is_short = len(raw_name) <= _CACHED_NAME_CHARACTERS
        name = _cached_lower_name(raw_name) if is_short else _lower_name(raw_name)
        if not (colon and name):
            return Err(MalformedRequestError(detail="malformed header line"))
        if name in headers:
            if name == "content-length":
                return Err(MalformedRequestError(detail="more than one content-length"))
            merge_header(headers, name, value.strip(" \t"))
        else:
            headers[name] = value.strip(" \t")
    fault = _framing_error(version, headers)
    if fault:
        return Err(MalformedRequestError(detail=fault))
    return Ok(RequestHead(method, path, version, headers))


def merge_header(headers: dict[str, str], name: str, value: str) -> None:
    """Add a header line to a dictionary, joining the values of repeated names."""
    present = headers.get(name)
    if present is None:
        headers[name] = value
    elif name == SET_COOKIE:
        headers[name] = present + SET_COOKIE_SEPARATOR + value
    else:
        headers[name] = f"{present}, {value}"


def header_lines(headers: dict[str, str]) -> Iterable[tuple[str, str]]:
    """Yield the header lines to send, without hop-by-hop headers."""
    for name, value in headers.items():
        lower_name = name.lower()
        if lower_name in HOP_BY_HOP_HEADERS:
            continue
        if lower_name == SET_COOKIE:
            for cookie in value.split(SET_COOKIE_SEPARATOR):
                yield name, cookie
        else:
            yield name, value


def _path_of_other_form(method: str, target: str) -> str | None:
    """Return the path of a target in asterisk or absolute form (RFC 9112, 3.2); None if invalid."""
    if target == ASTERISK:
        return target if method == "OPTIONS" else None
    scheme, separator, rest = target.partition("://")
    if not separator or scheme.lower() not in ("http", "https"):
        return None
    authority = _AUTHORITY_END.split(rest, maxsplit=1)[0]
    path = rest[len(authority) :]
    return path if path.startswith("/") else "/" + path


def _lower_name(name: str) -> str:
    """Return a header name in lower case, or an empty string if it is malformed."""
    return name.lower() if TOKEN.match(name) else ""


_cached_lower_name = lru_cache(maxsize=_CACHED_NAMES)(_lower_name)


def _read_head_bytes(
    reader: HeadReader, maximum_bytes: int, add_bytes: Callable[[int], MerlinstandError | None]
) -> Result[bytes, MerlinstandError]:
    """Consume the bytes of a head; empty if the connection ended before the first one."""
    buffered = reader.peek(1)
    end = buffered.find(HEAD_END)
    if end < 0:
        return _read_head_lines(reader, maximum_bytes, add_bytes)
    # The usual case: the whole head arrived at once.
    data = buffered[: end + len(HEAD_END)]
    fault = _size_error(data.find(_LINE_END), len(data), data.count(_LINE_END), maximum_bytes)
    fault = fault or add_bytes(len(data))
    if fault is not None:
        return Err(fault)
    return Ok(reader.read(len(data)))


def _read_head_lines(
    reader: HeadReader, maximum_bytes: int, add_bytes: Callable[[int], MerlinstandError | None]
) -> Result[bytes, MerlinstandError]:
    """Consume a head that arrives in pieces, checking the limits as it grows."""
    lines: list[bytes] = []
    size = 0
    while True:
        line = _read_line(reader, maximum_bytes + 1 - size, add_bytes)
        if isinstance(line, MerlinstandError):
            return Err(line)
        if not line and not lines:
            return Ok(b"")
        lines.append(line)
        size += len(line)
        first = len(lines[0]) - len(_LINE_END)
        fault = _size_error(first, size, len(lines), maximum_bytes)
        if fault is not None:
            return Err(fault)
        if line == _LINE_END:
            return Ok(b"".join(lines))
        if not line.endswith(_LINE_END):
            return Err(MalformedRequestError(detail="truncated or malformed head"))


def _read_line(
    reader: HeadReader, maximum_bytes: int, add_bytes: Callable[[int], MerlinstandError | None]
) -> bytes | MerlinstandError:
    """Consume a line in parts, so that those of a long line are counted as they arrive."""
    parts: list[bytes] = []
    left = maximum_bytes
    while left > 0:
        part = reader.readline(min(left, LINE_PART_BYTES))
        fault = add_bytes(len(part))
        if fault is not None:
            return fault
        parts.append(part)
        left -= len(part)
        if len(part) < LINE_PART_BYTES or part.endswith(b"\n"):
            break
    return parts[0] if len(parts) == 1 else b"".join(parts)


def _size_error(
    request_line_bytes: int, size: int, line_count: int, maximum_bytes: int
) -> MerlinstandError | None:
    if request_line_bytes > MAXIMUM_REQUEST_LINE_BYTES:
        detail = f"request line is longer than {MAXIMUM_REQUEST_LINE_BYTES} bytes"
        return TargetTooLongError(detail=detail)
    if size > maximum_bytes:
        return HeadTooLargeError(detail=f"head exceeds {maximum_bytes} bytes")
    # The request line and the empty line are counted, too.
    if line_count > MAXIMUM_HEADER_COUNT + 2:
        return HeadTooLargeError(detail=f"more than {MAXIMUM_HEADER_COUNT} headers")
    return None


def _framing_error(version: str, headers: dict[str, str]) -> str:
    """Return an error if two parsers could disagree on the body's end (request smuggling)."""
    length = headers.get("content-length")
    if length is not None and parse_whole_number(length) is None:
        return "content-length is not a number"
    encoding = headers.get("transfer-encoding")
    if encoding is None:
        return ""
    if encoding.lower() != "chunked":
        return "the only transfer-encoding understood is chunked"
    if version == "1.0":
        return "transfer-encoding needs HTTP/1.1"
    if length is not None:
        return "both content-length and transfer-encoding"
    return ""
