"""Strict reading of HTTP/1.1 request heads, and the headers that stay on one hop."""

import re
from collections.abc import Iterable
from typing import Protocol

import msgspec
from result import Err, Ok, Result

from merlinstand.common.errors import MerlinstandError
from merlinstand.runtime.errors import (
    HeadTooLargeError,
    MalformedRequestError,
    TargetTooLongError,
)

MAXIMUM_REQUEST_LINE_BYTES = 8192
MAXIMUM_HEAD_BYTES = 64 * 1024
MAXIMUM_HEADER_COUNT = 128

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
"""Cookies hold commas, so several `Set-Cookie` values are kept apart by line ends."""

_REQUEST_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]{1,32}) ([\x21-\x7e]+) HTTP/(1\.[01])\r?\n\Z"
)
_HEADER_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*?)[ \t]*\r?\n\Z"
)


class LineReader(Protocol):
    """The part of a binary file that the parser needs."""

    def readline(self, limit: int, /) -> bytes:
        """Read up to and including a line end."""
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
        """Whether the client wants to keep the connection."""
        if self.version == "1.0":
            return False
        tokens = self.headers.get("connection", "").lower()
        return "close" not in tokens

    @property
    def chunked(self) -> bool:
        """Whether the body comes in chunks."""
        return "transfer-encoding" in self.headers

    @property
    def content_length(self) -> int | None:
        """Declared length of the body."""
        text = self.headers.get("content-length")
        return None if text is None else int(text)


def read_request_head(reader: LineReader) -> Result[RequestHead | None, MerlinstandError]:
    """Read one request's head.

    Returns:
        The head, None if the connection ended before its first byte, or what is wrong.
    """
    line = reader.readline(MAXIMUM_REQUEST_LINE_BYTES + 1)
    if not line:
        return Ok(None)
    if len(line) > MAXIMUM_REQUEST_LINE_BYTES:
        return Err(
            TargetTooLongError(
                detail=f"request line is longer than {MAXIMUM_REQUEST_LINE_BYTES} bytes"
            )
        )
    match = _REQUEST_LINE.match(line)
    if match is None:
        return Err(MalformedRequestError(detail="not an HTTP/1.1 request line"))
    method, target, version = (part.decode("ascii") for part in match.groups())
    path = _origin_form(target)
    if path is None:
        return Err(MalformedRequestError(detail="request target must begin with /"))
    headers = _read_headers(reader)
    if isinstance(headers, Err):
        return headers
    framing_fault = _framing_fault(headers.ok_value)
    if framing_fault:
        return Err(MalformedRequestError(detail=framing_fault))
    return Ok(RequestHead(method, path, version, headers.ok_value))


def merge_header(headers: dict[str, str], name: str, value: str) -> None:
    """Add a header line to a dictionary, joining repeated names."""
    present = headers.get(name)
    if present is None:
        headers[name] = value
    elif name == SET_COOKIE:
        headers[name] = present + SET_COOKIE_SEPARATOR + value
    else:
        headers[name] = f"{present}, {value}"


def header_lines(headers: dict[str, str]) -> Iterable[tuple[str, str]]:
    """Give the lines to send for a dictionary of end-to-end headers."""
    for name, value in headers.items():
        lower_name = name.lower()
        if lower_name in HOP_BY_HOP_HEADERS:
            continue
        if lower_name == SET_COOKIE:
            for cookie in value.split(SET_COOKIE_SEPARATOR):
                yield name, cookie
        else:
            yield name, value


def _origin_form(target: str) -> str | None:
    if target.startswith("/"):
        return target
    if target.startswith(("http://", "https://")):
        _host, slash, path = target.split("://", 1)[1].partition("/")
        return slash + path if slash else "/"
    return None


def _read_headers(reader: LineReader) -> Result[dict[str, str], MerlinstandError]:
    headers: dict[str, str] = {}
    size = 0
    for _count in range(MAXIMUM_HEADER_COUNT + 1):
        line = reader.readline(MAXIMUM_HEAD_BYTES - size + 1)
        size += len(line)
        if size > MAXIMUM_HEAD_BYTES:
            return Err(HeadTooLargeError(detail=f"head exceeds {MAXIMUM_HEAD_BYTES} bytes"))
        if line in (b"\r\n", b"\n"):
            return Ok(headers)
        match = _HEADER_LINE.match(line)
        if match is None:
            return Err(MalformedRequestError(detail="malformed or truncated header line"))
        name = match.group(1).decode("ascii").lower()
        if name == "content-length" and name in headers:
            return Err(MalformedRequestError(detail="more than one content-length"))
        merge_header(headers, name, match.group(2).decode("latin-1"))
    return Err(HeadTooLargeError(detail=f"more than {MAXIMUM_HEADER_COUNT} headers"))


def _framing_fault(headers: dict[str, str]) -> str:
    """Refuse bodies whose end two readers could see differently (request smuggling)."""
    length = headers.get("content-length")
    if length is not None and not (length.isascii() and length.isdigit() and len(length) < 19):
        return "content-length is not a number"
    encoding = headers.get("transfer-encoding")
    if encoding is None:
        return ""
    if encoding.lower() != "chunked":
        return "the only transfer-encoding understood is chunked"
    if length is not None:
        return "both content-length and transfer-encoding"
    return ""
