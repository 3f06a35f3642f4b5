"""The internal protocol over TCP: framed thrift messages, with one connection per direction.

Each process listens on one address and opens one connection to each peer that it sends to. The
first message on every connection is `Hello`. Delivery is at most once: messages may be lost (queues
are bounded, connections break) but are never sent twice.
"""

from collections.abc import Callable, Iterator
from functools import partial
from typing import TYPE_CHECKING, Any

import gevent
from gevent.pool import Pool
from result import Err

from merlinstand.common.ids import NodeId
from merlinstand.kernel.events import Event, MessageReceived
from merlinstand.protocol.codec import decode_message, encode_message
from merlinstand.protocol.generated.control.ttypes import Hello
from merlinstand.runtime.addresses import parse_address, require_address
from merlinstand.runtime.allocator import prepare_for_block
from merlinstand.runtime.connection_usage import ConnectionUsage
from merlinstand.runtime.dialing import enable_keepalive
from merlinstand.runtime.end_watcher import has_unread
from merlinstand.runtime.frames import FrameReader, encode_frame
from merlinstand.runtime.host_settings import (
    DEFAULT_PEER_LIMITS,
    DEFAULT_PEER_TIMINGS,
    PeerLimits,
    PeerTimings,
)
from merlinstand.runtime.logs import EventLog
from merlinstand.runtime.request_budget import SMALL_BODY_BYTES, RequestBudget
from merlinstand.runtime.tls import BoundedHandshakeServer
from merlinstand.runtime.traffic import Direction, TrafficCounters
from merlinstand.runtime.transport_peer import PeerConnection
from merlinstand.runtime.watchdog import Watchdog

if TYPE_CHECKING:
    from gevent.ssl import SSLContext

HELLO_TIMEOUT_SECONDS = 5.0
"""Timeout for receiving `Hello` on a new connection."""
FRAMES_PER_YIELD = 200
"""Messages of one peer between two yields to the event loop, so that the heartbeats of other peers
are not delayed."""
MAXIMUM_HELLO_BYTES = 4096
"""Maximum size of the first frame of a connection, whose sender is still unknown; a `Hello` holds a
name, an address and a number."""
RECEIVE_BYTES = 256 * 1024
"""Maximum size of one read. Only the part of the buffer that is filled gets touched, so its size
costs no memory (docs/design/light-processes.md)."""


class TransportCounters:
    """Message and byte counts of the transport, for `/metrics` and measurements."""

    def __init__(self) -> None:
        """Start at zero."""
        self.messages_sent = 0
        self.messages_received = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_dropped = 0
        self.frames_refused = 0
        self.sent_by_class: dict[str, int] = {}
        self.received_by_class: dict[str, int] = {}

    def count_sent(self, message_name: str, size_bytes: int) -> None:
        """Count a message added to a connection's queue."""
        self.messages_sent += 1
        self.bytes_sent += size_bytes
        self.sent_by_class[message_name] = self.sent_by_class.get(message_name, 0) + 1

    def count_received(self, message_name: str, size_bytes: int) -> None:
        """Count a completely received message."""
        self.messages_received += 1
        self.bytes_received += size_bytes
        self.received_by_class[message_name] = self.received_by_class.get(message_name, 0) + 1

    def collect(self) -> Iterator[Any]:
        """Export in prometheus_client's collector interface."""
        # Imported here, as in `Metrics.export`: most daemons are never scraped.
        from prometheus_client.metrics_core import CounterMetricFamily

        messages = CounterMetricFamily(
            "merlinstand_internal_messages",
            "Messages of the internal protocol",
            labels=("direction", "message"),
        )
        for direction, counts in (
            ("sent", self.sent_by_class),
            ("received", self.received_by_class),
        ):
            for message_name, count in counts.items():
                messages.add_metric((direction, message_name), count)
        yield messages
        sizes = CounterMetricFamily(
            "merlinstand_internal_bytes",
            "Bytes of the internal protocol, with framing",
            labels=("direction",),
        )
        sizes.add_metric(("sent",), self.bytes_sent)
        sizes.add_metric(("received",), self.bytes_received)
        yield sizes
        losses = CounterMetricFamily(
            "merlinstand_internal_losses",
            "Messages dropped before sending, and frames refused",
            labels=("reason",),
        )
        losses.add_metric(("dropped",), self.messages_dropped)
        losses.add_metric(("refused",), self.frames_refused)
        yield losses


class Transport:
    """Sends and receives messages for one node."""

    def __init__(
        self,
        node_id: NodeId,
        submit: Callable[[Event], None],
        log: EventLog,
        server_context: "SSLContext | None" = None,
        client_context: "SSLContext | None" = None,
        timings: PeerTimings = DEFAULT_PEER_TIMINGS,
        traffic: TrafficCounters | None = None,
        budget: RequestBudget | None = None,
        limits: PeerLimits = DEFAULT_PEER_LIMITS,
    ) -> None:
        """Create a transport; `start` begins listening.

        Args:
            node_id: This node's id, sent in `Hello`.
            submit: Passes an event to the reducer.
            log: Receives refused connections and frames.
            server_context: If set, only TLS connections are accepted.
            client_context: If set, TLS is used for outbound connections.
            timings: Timeouts and backoff for connections to peers.
            traffic: Counts the bytes sent by peer.
            budget: Accounts for connections and messages that are arriving; unlimited if None.
            limits: Limits of the listener.
        """
        self._budget = RequestBudget() if budget is None else budget
        self._limits = limits
        self._group = self._budget.add_group(limits.maximum_connections)
        self._traffic = TrafficCounters() if traffic is None else traffic
        self.counters = TransportCounters()
        self.address = ""
        self._node_id = node_id
        self._incarnation = 0
        self._submit = submit
        self._log = log
        self._server_context = server_context
        self._client_context = client_context
        self._timings = timings
        self._addresses: dict[NodeId, str] = {}
        self._peers: dict[NodeId, PeerConnection] = {}
        self._server: BoundedHandshakeServer | None = None

    def start(self, listen_address: str, incarnation: int) -> None:
        """Listen for peers.

        Raises:
            OSError: The address can't be bound.
            ValueError: The address is not `ip:port`.
        """
        parsed = require_address(listen_address)
        self._incarnation = incarnation
        tls = {} if self._server_context is None else {"ssl_context": self._server_context}
        self._server = BoundedHandshakeServer(
            parsed.as_pair(), self._receive, spawn=Pool(self._limits.maximum_connections), **tls
        )
        self._server.handshake_usage = partial(self._budget.open_connection, self._group)
        self._server.start()
        self.address = f"{parsed.ip}:{self._server.server_port}"

    def set_address(self, node_id: NodeId, address: str) -> None:
        """Set the address of a node; an empty one is ignored."""
        if not address or self._addresses.get(node_id) == address:
            return
        self._addresses[node_id] = address
        peer = self._peers.get(node_id)
        if peer is not None:
            peer.change_address(address)

    def send(self, receiver: NodeId, message: Any) -> None:
        """Queue a message; it is dropped if the receiver's address is unknown."""
        frame = encode_frame(encode_message(message))
        peer = self._peers.get(receiver)
        if peer is None:
            address = self._addresses.get(receiver)
            if address is None:
                self.counters.messages_dropped += 1
                return
            peer = self._open_peer(receiver, address)
        name = type(message).__name__
        self.counters.count_sent(name, len(frame))
        self._traffic.add(name, Direction.SENT, self._addresses.get(receiver, ""), len(frame))
        self.counters.messages_dropped += peer.push(frame)

    def flush(self, timeout_seconds: float) -> None:
        """Wait, up to a timeout, until all queued messages are passed to the kernel."""
        with gevent.Timeout(timeout_seconds, False):
            for peer in list(self._peers.values()):
                peer.wait_until_sent()

    def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.stop(timeout=0)
        for peer in self._peers.values():
            peer.close()
        self._peers.clear()

    def _open_peer(self, receiver: NodeId, address: str) -> PeerConnection:
        hello = Hello(node_id=self._node_id, incarnation=self._incarnation, address=self.address)
        hello_frame = encode_frame(encode_message(hello))
        peer = PeerConnection(address, hello_frame, self._client_context, self._timings)
        self._peers[receiver] = peer
        return peer

    def _receive(self, connection: Any, address: Any) -> None:
        """Serve one inbound connection; errors end only this connection."""
        watchdog = Watchdog()
        usage = self._budget.open_connection(
            self._group,
            address[0],
            lambda: watchdog.set_limit(0.0, TimeoutError),
            lambda: has_unread(connection),
        )
        try:
            # Nothing is sent here, so only probes detect an unresponsive peer.
            enable_keepalive(connection)
            self._read_messages(connection, watchdog, usage)
        except OSError:
            # The peer or the network ended the connection, or `Hello` did not arrive in time. The
            # peer reconnects when it has something to send.
            pass
        except InboundRefusedError as error:
            self.counters.frames_refused += 1
            self._log.write(
                "transport.refused", {"peer": address[0], "reason": str(error)}, "warning"
            )
        finally:
            watchdog.close()
            usage.close()
            connection.close()

    def _read_messages(self, connection: Any, watchdog: Watchdog, usage: ConnectionUsage) -> None:
        watchdog.set_limit(HELLO_TIMEOUT_SECONDS, TimeoutError)
        reader = FrameReader(MAXIMUM_HELLO_BYTES)
        sender: NodeId | None = None
        for frame in _read_frames(connection, reader, usage):
            message = _decode(frame)
            if sender is None:
                sender = self._accept_hello(message)
                reader.maximum_frame_bytes = self._limits.maximum_message_bytes
                if not usage.is_closed:
                    watchdog.clear_limit()
                continue
            self.counters.count_received(type(message).__name__, len(frame))
            self._submit(MessageReceived(sender, message))

    def _accept_hello(self, message: Any) -> NodeId:
        if not isinstance(message, Hello):
            raise InboundRefusedError("first message is not Hello")
        sender = NodeId(message.node_id)
        if message.address and isinstance(parse_address(message.address), Err):
            raise InboundRefusedError("Hello with a bad address")
        self.set_address(sender, message.address)
        return sender


class InboundRefusedError(Exception):
    """A peer violated the protocol; its connection is closed."""


def _read_frames(connection: Any, reader: FrameReader, usage: ConnectionUsage) -> Iterator[bytes]:
    """Yield a connection's frames, yielding to the event loop regularly."""
    loop = gevent.get_hub().loop
    turn, count = -1, 0
    reserved_bytes = 0
    while True:
        if turn == loop.iteration:
            gevent.sleep(0)
        turn = loop.iteration
        data = connection.recv(RECEIVE_BYTES)
        if not data or usage.is_closed:
            return
        usage.record_arrived(len(data))
        reader.feed(data)
        while True:
            result = reader.next_frame()
            if isinstance(result, Err):
                raise InboundRefusedError(result.err_value.detail)
            if result.ok_value is None:
                break
            if reserved_bytes:
                usage.end_request()
                usage.begin_request()
                reserved_bytes = 0
            yield result.ok_value
            count += 1
            if count % FRAMES_PER_YIELD == 0:
                gevent.sleep(0)
        if not reserved_bytes and reader.announced_bytes:
            reserved_bytes = reader.announced_bytes
            _reserve(usage, reserved_bytes)


def _reserve(usage: ConnectionUsage, frame_bytes: int) -> None:
    """Reserve room for the rest of a frame.

    Raises:
        InboundRefusedError: There is no room.
    """
    if frame_bytes <= SMALL_BODY_BYTES:
        error = usage.add_small(frame_bytes)
    else:
        prepare_for_block(frame_bytes)
        error = usage.reserve_body(frame_bytes, is_final=True)
    if error is not None:
        raise InboundRefusedError(error.detail)


def _decode(frame: bytes) -> Any:
    result = decode_message(frame)
    if isinstance(result, Err):
        raise InboundRefusedError(result.err_value.detail)
    return result.ok_value
