"""Request limits that the reducer sets with `BoundRequests` take effect.

They were once ignored in favor of the host's constants: a body of 1,001 bytes passed a limit of
1,000, and connections were closed before the configured idle timeout.
"""

import time
from collections.abc import Callable, Sequence
from typing import Any

import gevent
import pytest
from gevent import socket as gevent_socket

from merlinstand.kernel.effects import BoundRequests, Effect, Respond
from merlinstand.kernel.events import Event, RequestReceived, Started
from merlinstand.runtime.host_settings import HttpLimits
from merlinstand.runtime.request_bounds import RequestBounds

LONG_SECONDS = 30.0
ALLOWED = BoundRequests(
    maximum_head_bytes=400,
    maximum_body_bytes=1_000,
    head_timeout_seconds=LONG_SECONDS,
    idle_connection_seconds=LONG_SECONDS,
)
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"


def bounded(order: BoundRequests) -> Callable[[Event], Sequence[Effect]]:
    def decide(event: Event) -> Sequence[Effect]:
        match event:
            case Started():
                return [order]
            case RequestReceived():
                return [Respond(event.request_id, 200, {}, b"")]
            case _:
                return []

    return decide


def status_of(address: str, *pieces: bytes, pause_seconds: float = 0.0) -> int:
    """Send pieces on a new connection; returns 0 if it is closed without a response."""
    ip, _colon, port = address.rpartition(":")
    connection = gevent_socket.create_connection((ip, int(port)), timeout=LONG_SECONDS)
    try:
        for piece in pieces:
            connection.sendall(piece)
            gevent.sleep(pause_seconds)
        answer = connection.recv(64)
    finally:
        connection.close()
    return int(answer.split(b" ")[1]) if answer else 0


def with_body(size: int) -> bytes:
    return HEAD + b"Content-Length: %d\r\n\r\n" % size + b"x" * size


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        pytest.param(with_body(1_000), 200, id="body at the limit"),
        pytest.param(with_body(1_001), 413, id="body over the limit"),
        pytest.param(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n3e9\r\n" + b"x" * 1_001 + b"\r\n0\r\n\r\n",
            413,
            id="chunked body over the limit",
        ),
        pytest.param(HEAD + b"A: " + b"x" * 300 + b"\r\n\r\n", 200, id="head within the limit"),
        pytest.param(HEAD + b"A: " + b"x" * 400 + b"\r\n\r\n", 431, id="head over the limit"),
    ],
)
def test_size_limits_apply(run_reducer: Any, request_bytes: bytes, status: int) -> None:
    host = run_reducer(bounded(ALLOWED))[0]
    assert status_of(host.http_address, request_bytes) == status


def test_an_oversized_head_received_in_pieces_is_refused(run_reducer: Any) -> None:
    host = run_reducer(bounded(ALLOWED))[0]
    pieces = (HEAD, b"A: " + b"x" * 200 + b"\r\n", b"B: " + b"x" * 200 + b"\r\n")
    assert status_of(host.http_address, *pieces, pause_seconds=0.02) == 431


def test_head_timeout_is_separate_from_the_body_timeout(
    run_reducer: Any,
) -> None:
    order = BoundRequests(400, 1_000, head_timeout_seconds=0.1, idle_connection_seconds=30.0)
    host = run_reducer(bounded(order))[0]
    assert status_of(host.http_address, HEAD, pause_seconds=0.0) == 408
    head = HEAD + b"Content-Length: 2\r\n\r\n"
    assert status_of(host.http_address, head, b"a", b"b", pause_seconds=0.1) == 200


def test_an_idle_connection_is_closed_at_the_ordered_timeout(run_reducer: Any) -> None:
    order = BoundRequests(400, 1_000, LONG_SECONDS, idle_connection_seconds=0.1)
    host = run_reducer(bounded(order))[0]
    started_at = time.monotonic()
    assert status_of(host.http_address) == 0
    assert time.monotonic() - started_at < LONG_SECONDS / 2


def test_an_ordered_idle_timeout_may_exceed_the_host_limit(
    run_reducer: Any,
) -> None:
    """This includes a connection that was already idle when the limits changed."""
    own = HttpLimits(idle_connection_seconds=0.2)
    host = run_reducer(bounded(ALLOWED), http_limits=own)[0]
    assert status_of(host.http_address, b"", with_body(1), pause_seconds=0.4) == 200


OWN = HttpLimits(maximum_body_bytes=5_000)


@pytest.mark.parametrize(
    ("order", "head", "body"),
    [
        pytest.param(None, 64 * 1024, 5_000, id="no limits set"),
        pytest.param(BoundRequests(400, 1_000, 1.0, 1.0), 400, 1_000, id="smaller"),
        pytest.param(BoundRequests(10**6, 9_000, 1.0, 1.0), 64 * 1024, 5_000, id="larger"),
        pytest.param(
            BoundRequests(0, 0, 0.0, 0.0), 64 * 1024, 5_000, id="zero selects the host limits"
        ),
    ],
)
def test_size_limits_never_exceed_those_of_the_host(
    order: BoundRequests | None, head: int, body: int
) -> None:
    bounds = RequestBounds(OWN)
    if order is not None:
        bounds.apply(order)
    assert (bounds.maximum_head_bytes, bounds.maximum_body_bytes) == (head, body)
