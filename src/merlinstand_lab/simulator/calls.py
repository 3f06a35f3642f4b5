"""HTTP calls over modelled TCP connections.

A call is two ordered streams of segments, one in each direction. A cut link does not
break the connection: segments wait and are retransmitted after the cut heals, also when
the client has long given up. A killed process resets its connections; a machine that
lost its power says nothing.
"""

import enum
from collections import deque
from http import HTTPStatus
from typing import Any

from merlinstand.kernel.effects import StartCall
from merlinstand.kernel.events import (
    CallChunk,
    CallEnded,
    CallFailed,
    CallHeaders,
    CallPhase,
    CallResponded,
    RequestAborted,
    RequestReceived,
)
from merlinstand_lab.simulator.machine import Machine
from merlinstand_lab.simulator.world import World

FORWARD = 0
"""From the client to the server."""
BACKWARD = 1
"""From the server to the client."""


class Segment(enum.Enum):
    """What a piece of a connection's byte stream means."""

    OPEN = enum.auto()
    OPENED = enum.auto()
    REQUEST = enum.auto()
    CLIENT_CLOSED = enum.auto()
    RESPONSE = enum.auto()
    HEADERS = enum.auto()
    CHUNK = enum.auto()
    END = enum.auto()
    RESET = enum.auto()


class HttpCall:
    """One HTTP request and its response."""

    __slots__ = (
        "_body",
        "_deadline_base",
        "_headers",
        "_not_before",
        "_queues",
        "_simulation",
        "_status",
        "client",
        "client_life",
        "closed",
        "effect",
        "is_reset",
        "phase",
        "request_id",
        "server",
        "server_life",
    )

    def __init__(
        self,
        simulation: World,
        client: Machine,
        server: Machine,
        effect: StartCall,
    ) -> None:
        self._simulation = simulation
        self.client = client
        self.client_life = client.life
        self.server = server
        self.server_life = -1
        self.effect = effect
        self.phase = CallPhase.CONNECT
        self.closed = False
        self.is_reset = False
        """Whether the client gave up while a cut held its bytes back: they never arrive."""
        self.request_id: str | None = None
        self._queues: tuple[deque[tuple[Segment, Any]], deque[tuple[Segment, Any]]] = (
            deque(),
            deque(),
        )
        self._not_before = [0.0, 0.0]
        self._status = 0
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._deadline_base = simulation.clock.now

    def start(self) -> None:
        """Connect, or reuse an idle connection, and send the request."""
        now = self._simulation.clock.now
        self._schedule_timeout(now + self._timeout())
        connection = self.client.idle_connections.get(self.effect.address)
        if connection is not None and not self.effect.fresh_connection:
            if connection == self.server.life and self.server.accepts_connections:
                self.server_life = connection
                self._send_request()
                return
            if not self._client_knows_of_reset(now):
                # The classic stale keep-alive connection: the request leaves, a reset answers.
                self.server_life = connection
                self._send_request()
                return
            del self.client.idle_connections[self.effect.address]
        if self.effect.connect_seconds > 0.0:
            limit = self.client.local_clock.true_delay(self.effect.connect_seconds)
            self._simulation.clock.call_at(now + limit, self._check_connected)
        self._transmit(FORWARD, Segment.OPEN, None)

    def _check_connected(self) -> None:
        if not self.closed and self.phase is CallPhase.CONNECT:
            self._fail("timeout")

    def _client_knows_of_reset(self, now: float) -> bool:
        link = self._simulation.network.link(self.server, self.client)
        return not link.cuts and now - self.server.ended_at > 2.0 * link.latency

    def postpone(self, seconds: float) -> None:
        """Give the call so much more time."""
        self._deadline_base += seconds

    def _timeout(self) -> float:
        return self.client.local_clock.true_delay(self.effect.timeout_seconds)

    def _schedule_timeout(self, time: float) -> None:
        self._simulation.clock.call_at(time, self._check_timeout)

    def _check_timeout(self) -> None:
        if self.closed:
            return
        deadline = self._deadline_base + self._timeout()
        if deadline > self._simulation.clock.now + 1e-9:
            self._schedule_timeout(deadline)
            return
        self._fail("timeout")

    def _send_request(self) -> None:
        if self.closed:
            return
        self.phase = CallPhase.SENT
        self._transmit(FORWARD, Segment.REQUEST, None)

    def _transmit(self, direction: int, segment: Segment, payload: Any) -> None:
        """Put a segment on the wire, behind the earlier ones of its direction."""
        network = self._simulation.network
        if direction == FORWARD:
            link = network.link(self.client, self.server)
        else:
            link = network.link(self.server, self.client)
        self._queues[direction].append((segment, payload))
        now = self._simulation.clock.now
        arrival = max(now + network.one_way_delay(link), self._not_before[direction])
        self._not_before[direction] = arrival
        self._simulation.clock.call_at(arrival, self._arrive, direction, link)

    def retransmit(self, direction: int, delay_seconds: float) -> None:
        """Try one stalled segment again after the link healed."""
        network = self._simulation.network
        ends = (self.client, self.server) if direction == FORWARD else (self.server, self.client)
        link = network.link(*ends)
        arrival = max(self._simulation.clock.now + delay_seconds, self._not_before[direction])
        self._not_before[direction] = arrival
        self._simulation.clock.call_at(arrival, self._arrive, direction, link)

    def _arrive(self, direction: int, link: Any) -> None:
        if link.cuts:
            link.stall(self, direction)
            return
        # The head is delivered whichever segment this was scheduled for: bytes keep order.
        segment, payload = self._queues[direction].popleft()
        if direction == FORWARD:
            self._arrive_at_server(segment)
        else:
            self._arrive_at_client(segment, payload)

    def _arrive_at_server(self, segment: Segment) -> None:
        server = self.server
        if server.powered_off:
            return
        if segment is Segment.OPEN:
            if server.accepts_connections:
                self.server_life = server.life
                self._transmit(BACKWARD, Segment.OPENED, None)
            else:
                self._transmit(BACKWARD, Segment.RESET, None)
            return
        if not server.accepts_connections or server.life != self.server_life:
            if segment is Segment.REQUEST:
                self._transmit(BACKWARD, Segment.RESET, None)
            return
        if segment is Segment.REQUEST:
            if not self.is_reset:
                self._deliver_request()
        elif segment is Segment.CLIENT_CLOSED and self.request_id is not None:
            if server.requests.pop(self.request_id, None) is not None:
                server.deliver(RequestAborted(self.request_id))  # type: ignore[arg-type]
            self.request_id = None

    def _deliver_request(self) -> None:
        server = self.server
        limit = server.maximum_body_bytes
        if limit and len(self.effect.body) > limit:
            # Refused by the host, as the runtime does: the reducer never sees it.
            self.respond(Segment.RESPONSE, (HTTPStatus.REQUEST_ENTITY_TOO_LARGE, {}, b""))
            return
        self.request_id = server.next_request_id()
        server.requests[self.request_id] = self
        effect = self.effect
        headers = {name.lower(): value for name, value in effect.headers.items()}
        if effect.host:
            headers["host"] = effect.host
        server.deliver(
            RequestReceived(
                self.request_id,  # type: ignore[arg-type]
                effect.method,
                effect.path,
                headers,
                effect.body,
                self.client.peer_address,
            )
        )

    def respond(self, segment: Segment, payload: Any) -> None:
        """Send a piece of the response (called by the server's process)."""
        self._transmit(BACKWARD, segment, payload)

    def server_ended(self, silent: bool) -> None:
        """Take note that the server's process died with this request open."""
        self.request_id = None
        if not silent:
            self._transmit(BACKWARD, Segment.RESET, None)

    def client_ended(self, silent: bool) -> None:
        """Take note that the client's process died."""
        self.closed = True
        if not silent:
            self._transmit(FORWARD, Segment.CLIENT_CLOSED, None)

    def cancel(self) -> None:
        """Close the connection from the client's side, by a reset as the runtime does."""
        self._close()
        network = self._simulation.network
        self.is_reset = bool(network.link(self.client, self.server).cuts)
        if self.phase is not CallPhase.CONNECT:
            self._transmit(FORWARD, Segment.CLIENT_CLOSED, None)

    def _close(self) -> None:
        self.closed = True
        self.client.calls.pop(self.effect.call_id, None)

    def _fail(self, reason: str) -> None:
        self.cancel()
        self.client.idle_connections.pop(self.effect.address, None)
        self.client.deliver(CallFailed(self.effect.call_id, self.phase, reason))

    def _arrive_at_client(self, segment: Segment, payload: Any) -> None:
        if self.closed:
            return
        if self.effect.stream:
            self._deadline_base = self._simulation.clock.now
        if segment is Segment.OPENED:
            self.client.when_scheduled(self._send_request)
        elif segment is Segment.RESET:
            self._fail("refused" if self.phase is CallPhase.CONNECT else "reset")
        elif segment is Segment.RESPONSE:
            self._receive_headers(payload[0], payload[1])
            self._receive_chunk(payload[2])
            self._receive_end(True)
        elif segment is Segment.HEADERS:
            self._receive_headers(payload[0], payload[1])
        elif segment is Segment.CHUNK:
            self._receive_chunk(payload)
        else:
            self._receive_end(payload)

    def _receive_headers(self, status: int, headers: dict[str, str]) -> None:
        self.phase = CallPhase.BODY
        headers = {name.lower(): value for name, value in headers.items()}
        if self.effect.stream:
            self.client.deliver(CallHeaders(self.effect.call_id, status, headers))
        else:
            self._status, self._headers = status, headers

    def _receive_chunk(self, data: bytes) -> None:
        if not self.effect.stream:
            self._body.append(data)
        elif data:
            self.client.deliver(CallChunk(self.effect.call_id, data))

    def _receive_end(self, whole: bool) -> None:
        if not whole:
            self._fail("truncated")
            return
        self._close()
        self.client.idle_connections[self.effect.address] = self.server_life
        if self.effect.stream:
            self.client.deliver(CallEnded(self.effect.call_id))
        else:
            body = b"".join(self._body)
            self.client.deliver(
                CallResponded(self.effect.call_id, self._status, self._headers, body)
            )
