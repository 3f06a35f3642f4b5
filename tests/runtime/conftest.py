"""Test helpers: an event sink, raw TCP servers, and hosts of scripted reducers."""

from collections.abc import Callable, Iterator, Sequence
from typing import Any

import gevent
import pytest
from gevent import socket as gevent_socket
from gevent.event import Event as LoopEvent
from gevent.server import StreamServer

from merlinstand.kernel.effects import Effect
from merlinstand.kernel.events import Event, Started
from merlinstand.runtime.host import Host
from merlinstand.runtime.host_settings import HostSettings

TEST_TIMEOUT_SECONDS = 30.0
"""Timeout of a hanging test; a passing test never waits this long."""


class EventSink:
    """Collects events and lets a test wait for one."""

    def __init__(self) -> None:
        self.events: list[Event] = []
        self._changed = LoopEvent()

    def submit(self, event: Event) -> None:
        self.events.append(event)
        self._changed.set()

    def wait_for(self, event_type: type, count: int = 1) -> Any:
        """Wait for and return the `count`-th event of a type."""
        with gevent.Timeout(TEST_TIMEOUT_SECONDS):
            while True:
                found = [event for event in self.events if isinstance(event, event_type)]
                if len(found) >= count:
                    return found[count - 1]
                self._changed.clear()
                self._changed.wait()


class ScriptedReducer:
    """Reduces each event with a function and records the events."""

    def __init__(self, decide: Callable[[Event], Sequence[Effect]]) -> None:
        self.sink = EventSink()
        self._decide = decide

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        return self.reduce(event, now)

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        self.sink.submit(event)
        return self._decide(event)


@pytest.fixture
def sink() -> EventSink:
    return EventSink()


@pytest.fixture
def raw_server() -> Iterator[Callable[[Callable[[Any], None]], str]]:
    """Start TCP servers whose connections are handled by a function of the test."""
    servers: list[StreamServer] = []

    def start(handle: Callable[[Any], None]) -> str:
        def serve(connection: Any, _address: Any) -> None:
            try:
                handle(connection)
            finally:
                connection.close()

        server = StreamServer(("127.0.0.1", 0), serve)
        server.start()
        servers.append(server)
        return f"127.0.0.1:{server.server_port}"

    yield start
    for server in servers:
        server.stop(timeout=0)


@pytest.fixture
def run_reducer() -> Iterator[Callable[..., tuple[Host, ScriptedReducer]]]:
    """Run scripted reducers in hosts on the loopback interface."""
    hosts: list[Host] = []

    def start(
        decide: Callable[[Event], Sequence[Effect]] = lambda _event: (), **settings: Any
    ) -> tuple[Host, ScriptedReducer]:
        reducer = ScriptedReducer(decide)
        host = Host(
            reducer, HostSettings(**{"node_id": "node-1", "log_level": "error", **settings})
        )
        hosts.append(host)
        host.start()
        return host, reducer

    yield start
    for host in hosts:
        host.abort()


def connect(address: str) -> Any:
    """Open a TCP connection as a plain client."""
    ip, port = address.rsplit(":", 1)
    return gevent_socket.create_connection((ip, int(port)), timeout=TEST_TIMEOUT_SECONDS)


def read_to_end(connection: Any) -> bytes:
    """Read until the other side closes the connection."""
    parts = []
    while data := connection.recv(65536):
        parts.append(data)
    return b"".join(parts)


def read_request(connection: Any) -> bytes:
    """Read one request, with or without a Content-Length; incomplete at end of file."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = connection.recv(65536)
        if not more:
            return data
        data += more
    head, _separator, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += connection.recv(65536)
    return head + b"\r\n\r\n" + body
