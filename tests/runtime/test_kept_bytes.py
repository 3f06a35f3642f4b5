"""Bytes buffered for slow clients are counted and limited, and clients are aborted in order."""

from collections.abc import Iterator, Sequence
from typing import Any

import gevent
import pytest

from merlinstand.common.ids import CallId, RequestId
from merlinstand.kernel.effects import (
    Effect,
    Respond,
    RespondChunk,
    RespondEnd,
    RespondStart,
    StartCall,
)
from merlinstand.kernel.events import (
    CallChunk,
    CallEnded,
    CallHeaders,
    Event,
    HostLoad,
    RequestAborted,
    RequestReceived,
)
from merlinstand.runtime.host_settings import HttpLimits
from merlinstand.runtime.kept_bytes import (
    BASE_PROCESS_BYTES,
    BUFFER_SHARE,
    CHECK_INTERVAL_SECONDS,
    FAST_GRACE_SECONDS,
    GRACE_SECONDS,
    MINIMUM_LIMIT_BYTES,
    MINIMUM_PROGRESS_BYTES,
    BufferBudget,
    ConnectionBuffer,
    SlowReader,
    buffer_limit_bytes,
)
from tests.runtime.conftest import TEST_TIMEOUT_SECONDS, connect, read_request, read_to_end

LIMIT_BYTES = 1000 * MINIMUM_PROGRESS_BYTES
BIG_BODY = bytes(16 * 1024 * 1024)
"""Larger than the kernel's send buffer for a client that doesn't read."""
SLOW_CLIENTS = 6


@pytest.mark.parametrize(
    ("memory_bytes", "limit_bytes"),
    [
        pytest.param(0, 0, id="unknown"),
        pytest.param(1_000_000, MINIMUM_LIMIT_BYTES, id="tiny"),
        pytest.param(BASE_PROCESS_BYTES + 400_000_000, int(BUFFER_SHARE * 400_000_000), id="usual"),
    ],
)
def test_the_buffer_limit_depends_on_memory(memory_bytes: int, limit_bytes: int) -> None:
    assert buffer_limit_bytes(memory_bytes) == limit_bytes


class Clients:
    """Clients of a process with virtual time."""

    def __init__(self, limit_bytes: int = LIMIT_BYTES) -> None:
        self.now = 0.0
        self.aborted_clients: list[SlowReader] = []
        self.budget = BufferBudget(limit_bytes, self.aborted_clients.append, lambda: self.now)
        self.ended: list[str] = []

    def client(self, name: str, share: float = 0.0) -> ConnectionBuffer:
        """Open a connection with a share of the limit buffered."""
        buffer = self.budget.open_connection(lambda: self.ended.append(name))
        buffer.request = name
        buffer.record_queued(int(share * LIMIT_BYTES))
        return buffer


def test_no_client_is_aborted_within_the_limit() -> None:
    """Within the limit, a client that reads nothing is ended only by its own time limit."""
    clients = Clients()
    clients.client("idle", 0.9)
    clients.now = 20.0
    clients.budget.check()
    assert clients.budget.utilization == pytest.approx(0.9)
    assert clients.ended == []


def test_no_client_is_aborted_without_a_limit() -> None:
    """If the memory is unknown, only the limits of each response apply."""
    clients = Clients(limit_bytes=0)
    clients.client("idle", 50.0)
    clients.now = 20.0
    clients.budget.check()
    assert (clients.ended, clients.budget.utilization) == ([], 0.0)


@pytest.mark.parametrize(
    ("shares", "silent_seconds", "ended"),
    [
        pytest.param((0.6, 0.3), (9.0, 9.0), ["0"], id="most bytes"),
        pytest.param((0.5, 0.4), (2.0, 9.0), ["1"], id="longest without progress"),
        pytest.param((0.9, 0.01), (9.0, 25.0), ["0"], id="small buffer is spared"),
        pytest.param((0.9, 0.05), (0.0, 9.0), ["1"], id="large buffer with progress is spared"),
        pytest.param((0.9, 0.9), (9.0, 9.0), ["0", "1"], id="as many as needed"),
    ],
)
def test_the_client_with_the_highest_priority_is_aborted_first(
    shares: tuple[float, ...], silent_seconds: tuple[float, ...], ended: list[str]
) -> None:
    """Many slow clients of one small gateway."""
    clients = Clients()
    for name, (share, silent) in enumerate(zip(shares, silent_seconds, strict=True)):
        clients.now = 30.0 - silent
        clients.client(str(name), share)
    clients.now = 30.0
    newest = clients.client("newest", 0.16)
    assert sorted(clients.ended) == ended
    assert newest.buffered_bytes == int(0.16 * LIMIT_BYTES)
    assert {client.request for client in clients.aborted_clients} == set(ended)


def test_a_client_that_makes_progress_is_not_aborted() -> None:
    """A huge response to a fast client next to a smaller one to a slow client."""
    clients = Clients()
    quick = clients.client("quick", 1.2)
    slow = clients.client("slow", 0.05)
    for step in range(1, 10):
        clients.now = step * 0.9 * GRACE_SECONDS
        quick.record_sent(MINIMUM_PROGRESS_BYTES)
        clients.budget.check()
    assert clients.ended == ["slow"]
    assert slow.is_closed
    assert quick.buffered_bytes == int(1.2 * LIMIT_BYTES) - 9 * MINIMUM_PROGRESS_BYTES


def test_the_grace_period_is_short_while_memory_grows_fast() -> None:
    """Many clients request large responses at the same time and read nothing."""
    clients = Clients()
    clients.client("first", 1.5)
    clients.now = FAST_GRACE_SECONDS
    clients.client("second", 0.1)
    assert clients.ended == []
    clients.now += CHECK_INTERVAL_SECONDS
    clients.client("third", 0.5)
    assert clients.ended == ["first"]
    assert clients.budget.total_bytes == int(0.1 * LIMIT_BYTES) + int(0.5 * LIMIT_BYTES)


def test_request_bodies_for_slow_servers_do_not_abort_clients_with_little_data() -> None:
    """Requests to a slow server use up the limit."""
    clients = Clients()
    body = clients.budget.open_connection()
    body.record_queued(2 * LIMIT_BYTES)
    clients.client("client", 0.4)
    clients.now = 20.0
    clients.budget.check()
    assert (clients.ended, body.buffered_bytes) == ([], 2 * LIMIT_BYTES)
    clients.client("another", 0.2)
    assert clients.ended == ["client"]


def test_sent_or_dropped_bytes_are_not_counted() -> None:
    clients = Clients()
    reader = clients.client("reader", 0.5)
    reader.record_sent(int(0.5 * LIMIT_BYTES))
    gone = clients.client("gone", 0.5)
    gone.close()
    gone.record_queued(1)
    gone.record_sent(1)
    assert clients.budget.total_bytes == 0


def large_or_small_response(event: Event) -> Sequence[Effect]:
    """Answer `/big` with a large body, and `/stream` with an unfinished stream."""
    if not isinstance(event, RequestReceived):
        return ()
    if event.path == "/stream":
        start = RespondStart(event.request_id, 200, {})
        return (start, RespondChunk(event.request_id, BIG_BODY))
    return (Respond(event.request_id, 200, {}, BIG_BODY if event.path == "/big" else b"small"),)


@pytest.fixture
def open_connections() -> Iterator[list[Any]]:
    connections: list[Any] = []
    yield connections
    for connection in connections:
        connection.close()


def ask(host: Any, path: str, connections: list[Any]) -> Any:
    connection = connect(host.http_address)
    connections.append(connection)
    head = f"GET {path} HTTP/1.1\r\nx-id: {path}-{len(connections)}\r\nConnection: close\r\n\r\n"
    connection.sendall(head.encode())
    return connection


def wait_until(condition: Any) -> None:
    with gevent.Timeout(TEST_TIMEOUT_SECONDS):
        while not condition():
            gevent.sleep(0.01)


@pytest.mark.parametrize(("path", "aborted"), [("/big", 0), ("/stream", SLOW_CLIENTS)])
def test_slow_clients_are_reset_and_fast_ones_are_served(
    run_reducer: Any,
    open_connections: list[Any],
    caplog: pytest.LogCaptureFixture,
    path: str,
    aborted: int,
) -> None:
    """Many slow clients of one small gateway, with full or streamed responses, and a fast one."""
    host, reducer = run_reducer(
        large_or_small_response,
        request_id_header="x-id",
        http_limits=HttpLimits(memory_bytes=1, maximum_unsent_response_bytes=len(BIG_BODY)),
        log_level="warning",
    )
    slow = [ask(host, path, open_connections) for _ in range(SLOW_CLIENTS)]
    reducer.sink.wait_for(RequestReceived, SLOW_CLIENTS)
    wait_until(lambda: host._buffer_budget.total_bytes <= MINIMUM_LIMIT_BYTES)
    assert read_to_end(ask(host, "/quick", open_connections)).endswith(b"small")
    aborted_clients = [line for line in caplog.messages if "caller.too_slow" in line]
    ended = [int(line.partition(f"request={path}-")[2].split()[0]) for line in aborted_clients]
    assert ended
    assert len(set(ended)) == len(ended)
    for number in ended:
        with pytest.raises(ConnectionResetError):
            read_to_end(slow[number - 1])
    reported = [event for event in reducer.sink.events if isinstance(event, RequestAborted)]
    assert len(reported) == min(aborted, len(aborted_clients))
    exported = f"merlinstand_callers_too_slow_total {float(len(aborted_clients))}"
    assert exported.encode() in host.metrics.export()


def test_a_fast_client_gets_a_response_larger_than_the_limit(
    run_reducer: Any, open_connections: list[Any]
) -> None:
    """A huge response to a client that reads as fast as it can."""
    host, _reducer = run_reducer(large_or_small_response, http_limits=HttpLimits(memory_bytes=1))
    assert read_to_end(ask(host, "/big", open_connections)).endswith(BIG_BODY)
    wait_until(lambda: host._buffer_budget.total_bytes == 0)


def test_a_server_is_read_although_the_client_is_slow(
    run_reducer: Any, raw_server: Any, open_connections: list[Any]
) -> None:
    """A slow client must not delay the stream of a server."""
    size = 3_000_000

    def serve(connection: Any) -> None:
        read_request(connection)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n".encode()
        connection.sendall(head + BIG_BODY[:size])

    address = raw_server(serve)
    request_ids: list[RequestId] = []

    def relay(event: Event) -> Sequence[Effect]:
        match event:
            case RequestReceived():
                request_ids.append(event.request_id)
                call = StartCall(
                    CallId("c"), address, "GET", "/", {}, b"", TEST_TIMEOUT_SECONDS, stream=True
                )
                return (call,)
            case CallHeaders():
                return (RespondStart(request_ids[0], 200, {}),)
            case CallChunk():
                return (RespondChunk(request_ids[0], event.data),)
            case CallEnded():
                return (RespondEnd(request_ids[0]),)
            case _:
                return ()

    host, reducer = run_reducer(relay, http_limits=HttpLimits(memory_bytes=1))
    connection = ask(host, "/", open_connections)
    reducer.sink.wait_for(CallEnded)
    read = sum(len(e.data) for e in reducer.sink.events if isinstance(e, CallChunk))
    assert read == size
    assert len(read_to_end(connection)) > size
    assert not [e for e in reducer.sink.events if isinstance(e, RequestAborted)]


@pytest.mark.parametrize(("memory_bytes", "expected_share"), [(1, 1.0), (0, None)])
def test_the_reducer_is_notified_of_the_load(
    run_reducer: Any, open_connections: list[Any], memory_bytes: int, expected_share: float | None
) -> None:
    """Clients use all connections of a small gateway."""
    limits = HttpLimits(memory_bytes=memory_bytes, maximum_connections=2)
    host, reducer = run_reducer(large_or_small_response, http_limits=limits)
    for _ in range(2):
        open_connections.append(connect(host.http_address))
    wait_until(lambda: host._connection_share() == 1.0)
    host._load_monitor.check()
    loads = [event for event in reducer.sink.events if isinstance(event, HostLoad)]
    assert [load.share for load in loads[-1:]] == (
        [] if expected_share is None else [expected_share]
    )
    for connection in open_connections:
        connection.close()
    wait_until(lambda: host._connection_share() == 0.0)
    host._load_monitor.check()
    host._load_monitor.check()
    loads = [event for event in reducer.sink.events if isinstance(event, HostLoad)]
    assert [load.share for load in loads].count(0.0) == (0 if expected_share is None else 1)
