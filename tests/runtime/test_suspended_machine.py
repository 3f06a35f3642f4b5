"""All time limits include the time for which the machine was suspended.

The kernel's monotonic clock and the event loop's timers stop during a suspension, while
`CLOCK_BOOTTIME` continues. Here it jumps ahead by more than the limit in question: leases, drains,
deadlines and retries must have expired.
"""

import inspect
import time
import weakref
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import gevent
import pytest
from result import Err

from merlinstand.cli.operator_client import ClientSettings, OperatorClient
from merlinstand.client.batches import TrainerClient
from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.requests import ForwardRequest
from merlinstand.cluster.routes import RouteKind
from merlinstand.common.ids import BackendId, CallId, NodeId, Zone
from merlinstand.consensus.leader_lease import LeaderLease
from merlinstand.consensus.membership import Identity, Member, Membership
from merlinstand.forwarding.daemon import ForwardingGateway
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.forwarding.settings import ForwardingSettings
from merlinstand.kernel.effects import Effect, SetTimer, StartCall
from merlinstand.kernel.events import (
    CallFailed,
    CallResponded,
    Event,
    Started,
    StopRequested,
    TimerFired,
)
from merlinstand.runtime import suspension
from merlinstand.runtime.host import Host
from merlinstand.runtime.host_settings import HostSettings
from merlinstand.runtime.http_client import HttpClient
from merlinstand.runtime.http_connection import ConnectionPool
from merlinstand_platform.batch import PlatformGatewayInterface
from tests.routes import make_route
from tests.runtime.conftest import TEST_TIMEOUT_SECONDS, EventSink, ScriptedReducer, read_request

LIMIT_SECONDS = 60.0
"""All limits in these tests; none expires during a test without a suspension."""
SUSPENDED_SECONDS = 61.0
WAKE_SECONDS = 5.0
"""Timeout for a process to detect the resume; only a failing test waits this long."""

Suspend = Callable[[], None]
Start = Callable[..., tuple[Host, ScriptedReducer]]


@pytest.fixture
def suspend(monkeypatch: pytest.MonkeyPatch) -> Suspend:
    """Simulate a suspension of the machine and its resume."""
    real = time.clock_gettime
    suspended = [0.0]

    def read(clock: int) -> float:
        return real(clock) + (suspended[0] if clock == time.CLOCK_BOOTTIME else 0.0)

    def strike() -> None:
        suspended[0] += SUSPENDED_SECONDS

    monkeypatch.setattr(time, "clock_gettime", read)
    # A clock set back at the end of a test would hide the next suspension.
    monkeypatch.setattr(suspension, "_watches", weakref.WeakKeyDictionary())
    return strike


@pytest.fixture
def silent_server(raw_server: Callable[[Callable[[Any], None]], str]) -> str:
    """A server that reads and never responds."""

    def swallow(connection: Any) -> None:
        while connection.recv(65536):
            pass

    return raw_server(swallow)


def wait_for(sink: EventSink, event_type: type, count: int = 1) -> Any:
    """Return an event, or fail if it takes longer than `WAKE_SECONDS`."""
    with gevent.Timeout(WAKE_SECONDS):
        return sink.wait_for(event_type, count)


class Clocked:
    """Records the time that a host passes to its reducer."""

    def __init__(self) -> None:
        self.times: list[float] = []

    def start(self, _event: Started, now: float) -> Sequence[Effect]:
        return self.reduce(_event, now)

    def reduce(self, _event: Event, now: float) -> Sequence[Effect]:
        self.times.append(now)
        return []


@pytest.fixture
def host_of() -> Iterator[Callable[[Any], Host]]:
    """Run reducers, each in its own host."""
    hosts: list[Host] = []

    def start(reducer: Any) -> Host:
        host = Host(reducer, HostSettings(node_id="node-1", log_level="error"))
        hosts.append(host)
        host.start()
        return host

    yield start
    for host in hosts:
        host.abort()


def a_leader_does_not_hold_a_lease_that_expired_during_a_suspension(
    suspend: Suspend, host_of: Callable[[Any], Host]
) -> None:
    """Acknowledgements received after the suspension must not extend the lease."""
    clocked = Clocked()
    host = host_of(clocked)
    sent_at = clocked.times[-1]
    voters = [Identity(NodeId(name), 1) for name in "abc"]
    membership = Membership(tuple(Member(i, "127.0.0.1:1", Zone("z")) for i in voters))
    lease = LeaderLease(voters[0], LIMIT_SECONDS, 0.0)
    lease.acknowledge(voters[1], sent_at)
    lease.refresh(membership, sent_at)
    assert lease.is_held(sent_at)
    suspend()
    host.submit(TimerFired("any"))
    woke_at = clocked.times[-1]
    assert not lease.is_held(woke_at)
    lease.acknowledge(voters[1], sent_at + 0.5)
    lease.refresh(membership, woke_at)
    assert not lease.is_held(woke_at)


def a_timer_that_came_due_fires(suspend: Suspend, run_reducer: Start) -> None:
    def decide(event: Event) -> Sequence[Effect]:
        if not isinstance(event, Started):
            return ()
        return (SetTimer("due", LIMIT_SECONDS), SetTimer("later", 10 * LIMIT_SECONDS))

    _host, reducer = run_reducer(decide)
    suspend()
    assert wait_for(reducer.sink, TimerFired).name == "due"
    assert len([e for e in reducer.sink.events if isinstance(e, TimerFired)]) == 1


def a_drain_ends_when_its_timeout_expired(suspend: Suspend, host_of: Callable[[Any], Host]) -> None:
    """A stopping gateway waits for load balancers to detect it."""
    settings = ForwardingSettings(
        node_id="g",
        name="g",
        zone="z",
        internal_address="",
        seeds=("127.0.0.1:1",),
        drain_seconds=LIMIT_SECONDS,
        stop_limit_seconds=10 * LIMIT_SECONDS,
    )
    host = host_of(ForwardingGateway(settings, PlatformGatewayInterface()))
    host.submit(StopRequested())
    gevent.sleep(0.3)
    assert not host._stopping.is_set()
    suspend()
    with gevent.Timeout(WAKE_SECONDS):
        assert host.wait() == 0


class Forwarding:
    """A reducer that runs a forwarder with one server and one request."""

    def __init__(self, address: str) -> None:
        backend = Backend(backend_id=BackendId("b"), service="shop", address=address)
        self.sink = EventSink()
        self.forwarder = Forwarder(HeaderNames(), lambda _service: (backend,))

    def start(self, _event: Started, now: float) -> Sequence[Effect]:
        request = ForwardRequest(
            key="k",
            route=make_route(RouteKind.ONCE, "shop", "/l/"),
            service="shop",
            method="GET",
            path="/l/1",
            headers={"host": "h"},
            body=b"",
            request_id="q",
            deadline_at=now + LIMIT_SECONDS,
        )
        return self.forwarder.begin(request, now)

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        effects: list[Effect] = []
        if isinstance(event, TimerFired):
            effects = self.forwarder.on_timer(event.name, now)
        elif isinstance(event, CallFailed | CallResponded):
            effects = self.forwarder.on_call(event, now)
        for finished in self.forwarder.take_finished():
            self.sink.submit(finished)  # type: ignore[arg-type]
        return effects


def a_request_whose_deadline_expired_is_answered(
    suspend: Suspend, host_of: Callable[[Any], Host], silent_server: str
) -> None:
    forwarding = Forwarding(silent_server)
    host_of(forwarding)
    gevent.sleep(0.1)
    assert len(forwarding.forwarder) == 1
    suspend()
    with gevent.Timeout(WAKE_SECONDS):
        while len(forwarding.forwarder):
            gevent.sleep(0.05)


def a_call_without_a_response_fails_when_its_timeout_expired(
    suspend: Suspend, run_reducer: Start, silent_server: str
) -> None:
    """The call can then be retried on another server."""
    call = StartCall(CallId("c"), silent_server, "GET", "/", {}, b"", LIMIT_SECONDS)
    _host, reducer = run_reducer(lambda e: (call,) if isinstance(e, Started) else ())
    gevent.sleep(0.1)
    suspend()
    assert wait_for(reducer.sink, CallFailed).reason == "timeout"


def a_connection_whose_idle_timeout_expired_is_not_reused(
    suspend: Suspend, raw_server: Callable[[Callable[[Any], None]], str]
) -> None:
    """The server's clock continued, so that it has closed the idle connection."""
    connections: list[int] = []

    def serve(connection: Any) -> None:
        connections.append(1)
        while read_request(connection):
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n"
            )

    address = raw_server(serve)
    sink = EventSink()
    client = HttpClient(sink.submit, ConnectionPool())
    for number, is_suspended in enumerate((False, False, True), 1):
        if is_suspended:
            suspend()
        client.start(StartCall(CallId(f"c{number}"), address, "GET", "/", {}, b"", 9.0))
        wait_for(sink, CallResponded, number)
    client.close()
    assert len(connections) == 2


def an_operator_command_fails_when_its_timeout_expired(suspend: Suspend) -> None:
    settings = ClientSettings(addresses=("127.0.0.1:1",), timeout_seconds=LIMIT_SECONDS)
    slept: list[float] = []

    def sleep(seconds: float) -> None:
        slept.append(seconds)
        suspend()
        assert len(slept) < 3, "it goes on after its time"

    answer = OperatorClient(settings, sleep=sleep).configuration()
    assert isinstance(answer, Err)


def a_trainer_rejects_a_batch_that_exceeds_its_age_limit(
    suspend: Suspend, raw_server: Callable[[Callable[[Any], None]], str]
) -> None:
    """A batch satisfies its age limit only for some seconds after it was requested."""
    answers: list[int] = []

    def serve(connection: Any) -> None:
        request = read_request(connection)
        nonce = request.partition(b'"nonce":"')[2].partition(b'"')[0]
        suspend()
        answers.append(1)
        body = (
            b'{"job":"j","consumer":"t","batch":1,"nonce":"' + nonce + b'","samples":[],'
            b'"use_within_seconds":30.0,"newest_version":1}'
        )
        connection.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body) + body
        )

    client = TrainerClient([raw_server(serve)], job="j", consumer="t", sleep=lambda _s: None)
    pool = gevent.get_hub().threadpool
    with gevent.Timeout(TEST_TIMEOUT_SECONDS):
        outcome = pool.apply(client.next_batch, (1,), {"deadline_seconds": 0.5})
    assert answers
    assert isinstance(outcome, Err)


@pytest.mark.parametrize(
    "rule",
    [
        a_leader_does_not_hold_a_lease_that_expired_during_a_suspension,
        a_timer_that_came_due_fires,
        a_drain_ends_when_its_timeout_expired,
        a_request_whose_deadline_expired_is_answered,
        a_call_without_a_response_fails_when_its_timeout_expired,
        a_connection_whose_idle_timeout_expired_is_not_reused,
        an_operator_command_fails_when_its_timeout_expired,
        a_trainer_rejects_a_batch_that_exceeds_its_age_limit,
    ],
)
def test_time_limits_count_a_suspension(
    rule: Callable[..., None], request: pytest.FixtureRequest
) -> None:
    fixtures = inspect.signature(rule).parameters
    rule(**{name: request.getfixturevalue(name) for name in fixtures})


def test_timers_do_not_fire_early_without_a_suspension(run_reducer: Start) -> None:
    _host, reducer = run_reducer(
        lambda e: (SetTimer("later", LIMIT_SECONDS),) if isinstance(e, Started) else ()
    )
    gevent.sleep(0.6)
    assert not [event for event in reducer.sink.events if isinstance(event, TimerFired)]
