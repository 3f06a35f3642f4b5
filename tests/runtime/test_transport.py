"""Internal protocol: delivery, reconnection, and robustness against invalid input."""

import contextlib
from typing import Any

import gevent
import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err

from merlinstand.common import constants
from merlinstand.common.ids import NodeId
from merlinstand.kernel.events import MessageReceived
from merlinstand.protocol.codec import decode_message, encode_message
from merlinstand.protocol.generated.consensus.ttypes import ElectNow, ReplicaIdentity
from merlinstand.protocol.generated.control.ttypes import Hello
from merlinstand.runtime import transport, transport_peer
from merlinstand.runtime.frames import FrameReader, encode_frame
from merlinstand.runtime.host_settings import PeerTimings
from merlinstand.runtime.logs import EventLog
from merlinstand.runtime.transport import MAXIMUM_HELLO_BYTES, Transport
from tests.runtime.conftest import EventSink, connect, read_to_end

HELLO = encode_frame(encode_message(Hello("tester", 1, "127.0.0.1:9")))


def message(term: int) -> ElectNow:
    return ElectNow(term=term, leader=ReplicaIdentity("a", 1))


class Node:
    """A transport with its own event sink."""

    def __init__(self, name: str, address: str = "127.0.0.1:0") -> None:
        self.sink = EventSink()
        self.transport = Transport(NodeId(name), self.sink.submit, EventLog(name, "error"))
        self.transport.start(address, 7)

    def knows(self, other: "Node", name: str) -> None:
        self.transport.set_address(NodeId(name), other.transport.address)


@pytest.fixture
def nodes() -> Any:
    made = [Node("a"), Node("b")]
    made[0].knows(made[1], "b")
    yield made
    for node in made:
        node.transport.close()


def test_messages_arrive_in_order_with_their_sender(nodes: list[Node]) -> None:
    a, b = nodes
    for term in range(100):
        a.transport.send(NodeId("b"), message(term))
    last = b.sink.wait_for(MessageReceived, 100)
    assert last.sender == "a"
    assert [event.message.term for event in b.sink.events] == list(range(100))
    counters = a.transport.counters
    assert (counters.messages_sent, counters.sent_by_class) == (100, {"ElectNow": 100})
    assert b.transport.counters.received_by_class == {"ElectNow": 100}


def test_hello_provides_the_return_address(nodes: list[Node]) -> None:
    a, b = nodes
    a.transport.send(NodeId("b"), message(1))
    b.sink.wait_for(MessageReceived)
    b.transport.send(NodeId("a"), message(2))
    assert a.sink.wait_for(MessageReceived).message.term == 2


def test_unknown_receiver_drops_the_message(nodes: list[Node]) -> None:
    nodes[0].transport.send(NodeId("nobody"), message(1))
    assert nodes[0].transport.counters.messages_dropped == 1


def test_transport_reconnects_to_a_restarted_peer(nodes: list[Node]) -> None:
    a, b = nodes
    a.transport.send(NodeId("b"), message(1))
    b.sink.wait_for(MessageReceived)
    address = b.transport.address
    b.transport.close()
    again = Node("b", address)
    nodes.append(again)
    term = 2
    # Messages may be lost until the disconnect is detected; each is sent at most once.
    with gevent.Timeout(30):
        while not again.sink.events:
            a.transport.send(NodeId("b"), message(term))
            term += 1
            gevent.sleep(0.01)
    terms = [event.message.term for event in again.sink.events]
    assert terms == sorted(set(terms))


def test_transport_follows_a_peer_to_a_new_address(nodes: list[Node]) -> None:
    a, b = nodes
    a.transport.send(NodeId("b"), message(1))
    b.sink.wait_for(MessageReceived)
    moved = Node("b")
    nodes.append(moved)
    a.knows(moved, "b")
    a.transport.send(NodeId("b"), message(2))
    assert moved.sink.wait_for(MessageReceived).message.term == 2


def test_queue_of_an_unreachable_peer_is_bounded(
    nodes: list[Node], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(transport_peer, "MAXIMUM_QUEUED_FRAMES", 10)
    a = nodes[0]
    a.transport.set_address(NodeId("gone"), "127.0.0.1:9")
    for term in range(25):
        a.transport.send(NodeId("gone"), message(term))
    assert a.transport.counters.messages_dropped == 15


def test_flush_does_not_wait_for_an_unreachable_peer(nodes: list[Node]) -> None:
    a = nodes[0]
    a.transport.set_address(NodeId("gone"), "127.0.0.1:9")
    a.transport.send(NodeId("gone"), message(1))
    with gevent.Timeout(30):
        a.transport.flush(1000.0)


@pytest.mark.parametrize(
    "data",
    [
        (0).to_bytes(4, "big"),
        (MAXIMUM_HELLO_BYTES + 1).to_bytes(4, "big"),
        b"GET / HTTP/1.1\r\n\r\n",
        encode_frame(b"garbage"),
        encode_frame(encode_message(message(1))),
        encode_frame(encode_message(Hello("x", 1, "not an address"))),
        HELLO + (constants.MAXIMUM_MESSAGE_BYTES + 1).to_bytes(4, "big"),
        HELLO + encode_frame(b"\x82\x81\x01\x07Unknown"),
    ],
)
def test_invalid_frames_close_only_their_connection(nodes: list[Node], data: bytes) -> None:
    a, b = nodes
    connection = connect(b.transport.address)
    connection.sendall(data)
    assert read_to_end(connection) == b""
    connection.close()
    assert b.transport.counters.frames_refused == 1
    a.transport.send(NodeId("b"), message(5))
    assert b.sink.wait_for(MessageReceived).message.term == 5
    assert len(b.sink.events) == 1


def test_fast_sending_peer_does_not_starve_others(nodes: list[Node]) -> None:
    _a, b = nodes
    quick = connect(b.transport.address)
    many = connect(b.transport.address)
    quick.sendall(HELLO)
    many.sendall(HELLO)
    while NodeId("tester") not in b.transport._addresses:
        gevent.sleep(0)
    many.sendall(encode_frame(encode_message(message(1))) * 5000)
    quick.sendall(encode_frame(encode_message(message(2))))
    b.sink.wait_for(MessageReceived, 5001)
    assert b.sink.events[-1].message.term == 1
    quick.close()
    many.close()


def test_connection_without_hello_is_closed(
    nodes: list[Node], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A client that sends a few bytes now and then must be disconnected, too."""
    _a, b = nodes
    monkeypatch.setattr(transport, "HELLO_TIMEOUT_SECONDS", 0.1)
    connection = connect(b.transport.address)

    def drip() -> None:
        with contextlib.suppress(OSError):
            connection.sendall(MAXIMUM_HELLO_BYTES.to_bytes(4, "big"))
            while True:
                connection.sendall(b"x")
                gevent.sleep(0.01)

    dripping = gevent.spawn(drip)
    # Bytes in transit may cause a reset instead of end of file; a hang raises a timeout.
    with contextlib.suppress(ConnectionResetError):
        assert read_to_end(connection) == b""
    dripping.kill()
    connection.close()


@given(st.binary(max_size=200))
def test_decoder_never_raises(data: bytes) -> None:
    result = decode_message(data)
    assert isinstance(result, Err) or result.ok_value is not None


@given(st.integers(0, 40), st.integers(0, 255))
def test_damaged_messages_never_raise(position: int, byte: int) -> None:
    data = bytearray(encode_message(message(1234567)))
    data[position % len(data)] = byte
    decode_message(bytes(data))


@given(st.binary(min_size=1, max_size=64), st.booleans())
def test_internal_endpoint_survives_arbitrary_bytes(data: bytes, with_hello: bool) -> None:
    node = Node("b")
    connection = connect(node.transport.address)
    connection.sendall((HELLO if with_hello else b"") + data)
    connection.shutdown(1)
    assert read_to_end(connection) == b""
    connection.close()
    other = Node("a")
    other.knows(node, "b")
    other.transport.send(NodeId("b"), message(9))
    node.sink.wait_for(MessageReceived)
    assert node.sink.events[-1].message.term == 9
    node.transport.close()
    other.transport.close()


@given(st.lists(st.binary(min_size=1, max_size=50), max_size=10), st.integers(1, 20))
def test_frames_are_reassembled_from_any_split(payloads: list[bytes], step: int) -> None:
    stream = b"".join(encode_frame(payload) for payload in payloads)
    reader = FrameReader(100)
    found = []
    for start in range(0, len(stream), step):
        reader.feed(stream[start : start + step])
        while (frame := reader.next_frame().unwrap()) is not None:
            found.append(frame)
    assert found == payloads


def test_reconnects_use_the_configured_timeout_and_backoff(monkeypatch: pytest.MonkeyPatch) -> None:
    """A lost SYN is retransmitted only after 1 s: gateways that started before control were 0.5 s
    later than the others (report vitrina-ro trouble-1)."""
    timeouts: list[float] = []
    pauses: list[float] = []

    def dial(_address: str, timeout_seconds: float, _tls: object, _silence: float) -> Any:
        timeouts.append(timeout_seconds)
        raise OSError("no answer")

    def sleep(seconds: float) -> None:
        pauses.append(seconds)
        if len(pauses) == 8:
            raise gevent.GreenletExit

    monkeypatch.setattr(transport_peer, "dial", dial)
    monkeypatch.setattr(transport_peer.gevent, "sleep", sleep)
    timings = PeerTimings(connect_timeout_seconds=0.25, longest_back_off_seconds=0.2)
    link = transport_peer.PeerConnection("127.0.0.1:9", HELLO, None, timings)
    link.push(b"frame")
    link._greenlet.join()
    assert timeouts == [0.25] * 8
    assert max(pauses) <= 0.2
