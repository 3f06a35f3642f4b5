"""Parsing of request heads gives the same result however the bytes arrive."""

import io

from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from merlinstand.runtime.http_headers import (
    MAXIMUM_HEAD_BYTES,
    RequestHead,
    read_request_head,
)

FRAGMENTS = st.sampled_from(
    [
        b"GET / HTTP/1.1\r\n",
        b"POST /x?y HTTP/1.0\r\n",
        b"X-A: b\r\n",
        b"x-a:c \r\n",
        b"Content-Length: 4\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"\r\n",
        b"\n",
        b"\r",
        b": ",
        b" ",
        b"X" * 100,
    ]
)


def read(data: bytes, buffer_size: int) -> object:
    """Return a parsed head, or the type of its error."""
    # A raw reader returns at most one buffer at a time, like data that arrives in pieces.
    found = read_request_head(io.BufferedReader(io.BytesIO(data), buffer_size))
    return type(found.err_value) if isinstance(found, Err) else found.ok_value


@given(st.lists(FRAGMENTS | st.binary(max_size=5), max_size=8))
def test_result_does_not_depend_on_how_bytes_arrive(parts: list[bytes]) -> None:
    data = b"".join(parts)
    assert read(data, 1) == read(data, 7) == read(data, MAXIMUM_HEAD_BYTES)


def test_bytes_after_a_head_stay_unread() -> None:
    for buffer_size in (1, MAXIMUM_HEAD_BYTES):
        reader = io.BufferedReader(io.BytesIO(b"GET / HTTP/1.1\r\n\r\nnext"), buffer_size)
        assert read_request_head(reader) == Ok(RequestHead("GET", "/", "1.1", {}))
        assert reader.read() == b"next"


def test_header_names_of_any_length_become_lower_case() -> None:
    for length in (1, 64, 65, 8000):
        head = read(b"GET / HTTP/1.1\r\n" + b"X" * length + b": B\r\n\r\n", MAXIMUM_HEAD_BYTES)
        assert isinstance(head, RequestHead)
        assert head.headers == {"x" * length: "B"}
