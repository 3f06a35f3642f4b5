"""Connections that become unresponsive without a reset, while new ones work.

A filter on the other side's socket drops every packet, so that sent data is never acknowledged, as
in a network partition, and the kernel's limits apply.
"""

import ctypes
import socket
import struct
from typing import Any

import gevent
import pytest

from merlinstand.common.ids import NodeId
from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded, MessageReceived
from merlinstand.runtime import http_connection
from merlinstand.runtime.dialing import KEEPALIVE_PROBE_COUNT, KEEPALIVE_PROBE_SECONDS
from merlinstand.runtime.host_settings import PeerTimings
from merlinstand.runtime.http_client import HttpClient
from merlinstand.runtime.http_connection import REUSED_UNACKNOWLEDGED_LIMIT_SECONDS, ConnectionPool
from merlinstand.runtime.logs import EventLog
from merlinstand.runtime.transport import Transport
from tests.runtime.conftest import TEST_TIMEOUT_SECONDS, EventSink, read_request
from tests.runtime.test_http_client import WHOLE, call
from tests.runtime.test_transport import message

SO_ATTACH_FILTER = 26
_RETURN_NOTHING = struct.pack("HBBI", 6, 0, 0, 0)
"""Classic BPF program of one instruction that keeps 0 bytes of each packet."""
SHORT_SECONDS = 0.2


def drop_incoming_packets(connection: Any) -> None:
    """Drop every packet that arrives at this end of a connection."""
    program = ctypes.create_string_buffer(_RETURN_NOTHING)
    filter_of_one = struct.pack("HxxxxxxP", 1, ctypes.addressof(program))
    connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, filter_of_one)


def user_timeout_of(connection: Any) -> float:
    return int(connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)) / 1000


def probes_of(connection: Any) -> tuple[int, ...]:
    """Return the keepalive options: enabled, idle time, interval and probe count."""
    on = connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    names = (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL, socket.TCP_KEEPCNT)
    return on, *(connection.getsockopt(socket.IPPROTO_TCP, name) for name in names)


class Server:
    """Answers requests and records its connections."""

    def __init__(self) -> None:
        self.connections: list[Any] = []

    def serve(self, connection: Any) -> None:
        self.connections.append(connection)
        while read_request(connection):
            connection.sendall(WHOLE)


class Calls:
    """A client with its pool and its own server."""

    def __init__(self, sink: EventSink, start_server: Any) -> None:
        self.sink = sink
        self.pool = ConnectionPool()
        self.client = HttpClient(sink.submit, self.pool)
        self.server = Server()
        self.address = start_server(self.server.serve)
        self._count = 0

    def start(self, **changes: Any) -> str:
        self._count += 1
        made = call(self.address, f"c{self._count}", **changes)
        self.client.start(made)
        return made.call_id

    def complete_calls(self, number: int) -> None:
        """Complete concurrent calls, each on its own connection, which then is idle in the pool."""
        before = len([e for e in self.sink.events if isinstance(e, CallResponded)])
        for _ in range(number):
            self.start()
        self.sink.wait_for(CallResponded, before + number)

    def idle_sockets(self) -> list[Any]:
        return [connection._socket for connection in self.pool._idle.get(self.address, [])]

    def server_end_of(self, idle: Any) -> Any:
        name = idle.getsockname()
        [end] = [one for one in self.server.connections if one.getpeername() == name]
        return end


@pytest.fixture
def calls(sink: EventSink, raw_server: Any) -> Any:
    made = Calls(sink, raw_server)
    yield made
    made.client.close()


def test_request_on_an_unresponsive_reused_connection_fails_long_before_its_timeout(
    calls: Calls, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http_connection, "REUSED_UNACKNOWLEDGED_LIMIT_SECONDS", SHORT_SECONDS)
    calls.complete_calls(1)
    drop_incoming_packets(calls.server.connections[0])
    calls.start(timeout_seconds=1000.0)
    event = calls.sink.wait_for(CallFailed)
    assert (event.phase, event.reason) == (CallPhase.SENT, "timeout")
    calls.complete_calls(1)
    assert len(calls.server.connections) == 2


def test_connection_that_becomes_unresponsive_while_idle_is_not_reused(
    calls: Calls, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(http_connection, "REUSED_UNACKNOWLEDGED_LIMIT_SECONDS", SHORT_SECONDS)
    calls.complete_calls(1)
    drop_incoming_packets(calls.server.connections[0])
    [idle] = calls.pool._idle[calls.address]
    with gevent.Timeout(TEST_TIMEOUT_SECONDS):
        while idle.is_open_and_unread():
            gevent.sleep(0.05)
    calls.complete_calls(1)
    assert len(calls.server.connections) == 2


def test_a_timeout_closes_the_other_idle_connections(calls: Calls) -> None:
    calls.complete_calls(3)
    assert len(calls.idle_sockets()) == 3
    for connection in calls.server.connections:
        drop_incoming_packets(connection)
    calls.start(timeout_seconds=SHORT_SECONDS)
    calls.sink.wait_for(CallFailed)
    assert calls.idle_sockets() == []
    calls.complete_calls(1)


def test_a_timeout_keeps_connections_that_answered_meanwhile(calls: Calls) -> None:
    calls.complete_calls(2)
    silent, sound = calls.idle_sockets()[-1], calls.idle_sockets()[0]
    drop_incoming_packets(calls.server_end_of(silent))
    calls.start(timeout_seconds=SHORT_SECONDS)
    gevent.sleep(0)
    calls.complete_calls(1)
    calls.sink.wait_for(CallFailed)
    assert calls.idle_sockets() == [sound]


def test_new_connections_have_the_longer_unacknowledged_limit(calls: Calls) -> None:
    calls.start()
    with gevent.Timeout(TEST_TIMEOUT_SECONDS):
        while not calls.server.connections:
            gevent.sleep(0)
    calls.sink.wait_for(CallResponded)
    [idle] = calls.idle_sockets()
    assert (user_timeout_of(idle), probes_of(idle)) == (
        REUSED_UNACKNOWLEDGED_LIMIT_SECONDS,
        (1, KEEPALIVE_PROBE_SECONDS, KEEPALIVE_PROBE_SECONDS, KEEPALIVE_PROBE_COUNT),
    )
    fresh = calls.pool.acquire(calls.address, fresh=True)
    assert user_timeout_of(fresh._socket) == 3.0
    assert probes_of(fresh._socket)[0] == 0
    fresh.close()


class Pair:
    """Two transports; the first one has a short limit on unacknowledged data."""

    def __init__(self, silence_limit_seconds: float = SHORT_SECONDS) -> None:
        timings = PeerTimings(silence_limit_seconds=silence_limit_seconds)
        self.sink = EventSink()
        self.sender = Transport(
            NodeId("a"), lambda _event: None, EventLog("a", "error"), timings=timings
        )
        self.receiver = Transport(NodeId("b"), self.sink.submit, EventLog("b", "error"))
        self.sender.start("127.0.0.1:0", 1)
        self.receiver.start("127.0.0.1:0", 1)
        self.sender.set_address(NodeId("b"), self.receiver.address)
        self.inbound: list[Any] = []
        receive = self.receiver._receive
        self.receiver._server.set_handle(self._record_inbound(receive))

    def _record_inbound(self, receive: Any) -> Any:
        def handle(connection: Any, address: Any) -> None:
            self.inbound.append(connection)
            receive(connection, address)

        return handle

    def send(self, term: int) -> None:
        self.sender.send(NodeId("b"), message(term))

    def close(self) -> None:
        self.sender.close()
        self.receiver.close()


@pytest.fixture
def pair() -> Any:
    made = Pair()
    yield made
    made.close()


def test_unresponsive_peer_connection_is_replaced(pair: Pair) -> None:
    pair.send(1)
    pair.sink.wait_for(MessageReceived)
    drop_incoming_packets(pair.inbound[0])
    term = 2
    with gevent.Timeout(TEST_TIMEOUT_SECONDS):
        while len(pair.sink.events) < 2:
            pair.send(term)
            term += 1
            gevent.sleep(0.02)
    assert len(pair.inbound) == 2


def test_keepalive_is_enabled_at_both_ends_of_a_peer_connection(pair: Pair) -> None:
    pair.send(1)
    pair.sink.wait_for(MessageReceived)
    peer = pair.sender._peers[NodeId("b")]
    assert user_timeout_of(peer._socket) == SHORT_SECONDS
    for end in (peer._socket, pair.inbound[0]):
        assert probes_of(end) == (
            1,
            KEEPALIVE_PROBE_SECONDS,
            KEEPALIVE_PROBE_SECONDS,
            KEEPALIVE_PROBE_COUNT,
        )
