"""Clients that connect while a program is loading are served instead of refused."""

import socket
from typing import Any

from gevent import socket as gevent_socket

from merlinstand.kernel.effects import Respond
from merlinstand.kernel.events import RequestReceived
from merlinstand.runtime import early_listeners
from tests.runtime.conftest import connect, read_to_end

REQUEST = b"GET /early HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


def free_port() -> int:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return int(unused.getsockname()[1])


def test_a_request_sent_before_the_start_is_answered(run_reducer: Any) -> None:
    address = f"127.0.0.1:{free_port()}"
    early_listeners.open_listeners([address])
    connection = connect(address)
    connection.sendall(REQUEST)
    run_reducer(
        lambda event: (
            (Respond(event.request_id, 200, {}, event.path.encode()),)
            if isinstance(event, RequestReceived)
            else ()
        ),
        http_address=address,
    )
    answer = read_to_end(connection)
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert answer.endswith(b"/early")


def test_a_listener_has_one_owner() -> None:
    address = f"127.0.0.1:{free_port()}"
    early_listeners.open_listeners([address])
    taken = early_listeners.take_listener(address)
    assert taken is not None
    taken.close()
    assert early_listeners.take_listener(address) is None


def test_addresses_that_cannot_be_opened_are_skipped() -> None:
    with gevent_socket.socket() as used:
        used.bind(("127.0.0.1", 0))
        used.listen()
        address = f"127.0.0.1:{used.getsockname()[1]}"
        early_listeners.open_listeners([address, "no address", "127.0.0.1:x", ""])
        assert early_listeners.take_listener(address) is None
