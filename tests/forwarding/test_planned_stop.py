"""A stopping gateway must answer every request that it reads before the platform kills it.

It rejects at once what might take longer, and ends what is left at its limit.
"""

import msgspec
import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import Keeper
from merlinstand.cluster.routes import RouteKind, RoutesDocument, Service
from merlinstand.common.ids import BackendId, CallId, NodeId, RequestId
from merlinstand.decisions.rejection import Reason
from merlinstand.directory.view import DirectoryChanges, encode_changes
from merlinstand.forwarding.daemon import STOP_POLL_SECONDS, STOP_TIMER, ForwardingGateway
from merlinstand.kernel.effects import (
    CancelCall,
    Effect,
    LogEvent,
    Respond,
    RespondChunk,
    RespondEnd,
    StartCall,
    StopProcess,
)
from merlinstand.kernel.events import (
    CallChunk,
    CallHeaders,
    CallResponded,
    MessageReceived,
    RequestReceived,
    Started,
    StopRequested,
    TimerFired,
)
from merlinstand.protocol.generated.directory.ttypes import DirectoryUpdate
from merlinstand_platform.batch import PlatformGatewayInterface
from tests.forwarding.test_first_routes import SETTINGS
from tests.routes import make_route

SHORT = make_route(RouteKind.REPEATABLE, "shop", "/short/", timeout_seconds=1.5)
LONG = make_route(RouteKind.ONCE, "shop", "/long/", timeout_seconds=30.0)
STREAM = make_route(RouteKind.STREAM, "shop", "/stream/", timeout_seconds=30.0)
BATCH = make_route(RouteKind.BATCH, "shop", "/batch/")
CHANGES = DirectoryChanges(
    document_revision=1,
    document=RoutesDocument(
        version=1, routes=(SHORT, LONG, STREAM, BATCH), services=(Service(name="shop"),)
    ),
    backends_revision=1,
    backends=(Backend(backend_id=BackendId("b"), service="shop", address="10.0.0.2:1"),),
    keepers_mark="m",
    keepers=(
        Keeper(
            node_id="k",
            name="k",
            zone="z",
            address="",
            http_address="10.0.0.3:1",
            is_leader=True,
            term=3,
        ),
    ),
)
UPDATE = DirectoryUpdate(
    from_leader=True,
    leader="10.0.0.1",
    leader_address="10.0.0.1:1",
    term=2,
    changes=encode_changes(CHANGES),
)
STOP_AT = 10.0
LIMIT_AT = STOP_AT + SETTINGS.stop_limit_seconds
JOB_BODY = msgspec.json.encode({"Requests": [{"Id": "i", "Path": "/long/1"}]})


def make_gateway() -> ForwardingGateway:
    gateway = ForwardingGateway(SETTINGS, PlatformGatewayInterface())
    gateway.start(Started(NodeId("g"), 1, seed=5), 0.0)
    gateway.reduce(MessageReceived(NodeId("10.0.0.1"), UPDATE), 0.1)
    return gateway


def request(path: str, method: str = "POST") -> RequestReceived:
    headers = {"host": "h", "x-request-id": "job"}
    return RequestReceived(RequestId("q"), method, path, headers, JOB_BODY)


def responses(effects: list[Effect]) -> list[tuple[int, str | None]]:
    return [(e.status, e.headers.get("retry-after")) for e in effects if isinstance(e, Respond)]


def calls(effects: list[Effect]) -> list[StartCall]:
    return [effect for effect in effects if isinstance(effect, StartCall)]


def begin_request(gateway: ForwardingGateway, path: str, now: float = STOP_AT) -> CallId:
    [call] = calls(list(gateway.reduce(request(path), now)))
    return call.call_id


def poll(gateway: ForwardingGateway, now: float) -> list[Effect]:
    return list(gateway.reduce(TimerFired(STOP_TIMER), now))


@pytest.mark.parametrize(
    ("event", "seconds", "is_accepted"),
    [
        pytest.param(request("/short/1"), 5.4, True, id="a request that ends in time"),
        pytest.param(request("/short/1"), 5.6, False, id="a request that may end too late"),
        pytest.param(request("/long/1"), 2.4, True, id="load balancers have not noticed the stop"),
        pytest.param(request("/long/1"), 2.6, False, id="a long request"),
        pytest.param(request("/stream/1"), 2.6, False, id="a long stream"),
        pytest.param(request("/batch/1"), 3.9, True, id="a batch job that ends in time"),
        pytest.param(request("/batch/1"), 4.1, False, id="a late batch job"),
        pytest.param(request("/lots/job", "GET"), 4.1, False, id="a late read of results"),
    ],
)
def test_a_late_request_is_served_only_if_it_ends_before_the_process(
    event: RequestReceived, seconds: float, is_accepted: bool
) -> None:
    """Its server's response came after the gateway's last event, so the connection was cut."""
    gateway = make_gateway()
    gateway.reduce(StopRequested(), STOP_AT)
    effects = list(gateway.reduce(event, STOP_AT + seconds))
    assert bool(calls(effects)) is is_accepted
    assert responses(effects) == ([] if is_accepted else [(503, "0")])


def test_the_response_to_a_late_request_is_passed_on() -> None:
    gateway = make_gateway()
    gateway.reduce(StopRequested(), STOP_AT)
    call_id = begin_request(gateway, "/short/1", LIMIT_AT - 1.5)
    assert StopProcess() not in poll(gateway, LIMIT_AT - 0.2)
    event = CallResponded(call_id, 200, {"x-request-id": "job"}, b"answer")
    assert responses(list(gateway.reduce(event, LIMIT_AT - 0.1))) == [(200, None)]
    assert StopProcess() in poll(gateway, LIMIT_AT)


def test_an_idle_gateway_exits_once_load_balancers_have_noticed() -> None:
    gateway = make_gateway()
    gateway.reduce(StopRequested(), STOP_AT)
    assert StopProcess() not in poll(gateway, STOP_AT + SETTINGS.drain_seconds - 0.1)
    assert StopProcess() in poll(gateway, STOP_AT + SETTINGS.drain_seconds)


@pytest.mark.parametrize(
    ("path", "expected"),
    [
        pytest.param("/long/1", (502, None), id="request that may have run"),
        pytest.param("/stream/1", (502, None), id="stream that may have run"),
        pytest.param("/batch/1", (504, None), id="batch job that may be accepted"),
    ],
)
def test_requests_pending_at_the_limit_are_answered_before_the_exit(
    path: str, expected: tuple[int, str | None]
) -> None:
    gateway = make_gateway()
    gateway.reduce(StopRequested(), STOP_AT)
    call_id = begin_request(gateway, path, STOP_AT + 2.0)
    effects = poll(gateway, LIMIT_AT)
    assert responses(effects) == [expected]
    assert CancelCall(call_id) in effects
    assert StopProcess() not in effects
    assert StopProcess() in poll(gateway, LIMIT_AT + STOP_POLL_SECONDS)


def test_a_started_stream_is_truncated_at_the_limit() -> None:
    gateway = make_gateway()
    call_id = begin_request(gateway, "/stream/1")
    gateway.reduce(StopRequested(), STOP_AT)
    gateway.reduce(CallHeaders(call_id, 200, {"x-request-id": "job"}), STOP_AT + 1.0)
    event = CallChunk(call_id, b"id: 1\ndata: a\n\n")
    passed_on = list(gateway.reduce(event, LIMIT_AT - 0.1))
    assert [effect.data for effect in passed_on if isinstance(effect, RespondChunk)] == [event.data]
    assert RespondEnd(RequestId("q"), whole=False) in poll(gateway, LIMIT_AT)
    assert StopProcess() in poll(gateway, LIMIT_AT + STOP_POLL_SECONDS)


def test_the_log_counts_what_is_pending() -> None:
    gateway = make_gateway()
    begin_request(gateway, "/long/1")
    logged = [
        (effect.name, effect.fields)
        for effect in [*gateway.reduce(StopRequested(), STOP_AT), *poll(gateway, LIMIT_AT)]
        if isinstance(effect, LogEvent)
    ]
    counts = {"requests": 1, "streams": 0, "batch_calls": 0, "waiting_for_routes": 0}
    assert ("gateway.stopping", counts) in logged
    assert ("gateway.stop_limit_reached", counts) in logged
    [ended] = [fields for name, fields in logged if name == "request.failed"]
    assert ended["reason"] == Reason.STOPPING


def test_a_stopping_gateway_without_routes_rejects_requests_at_once() -> None:
    """They waited for routes for up to a second, although another gateway may have routes."""
    gateway = ForwardingGateway(SETTINGS, PlatformGatewayInterface())
    gateway.start(Started(NodeId("g"), 1, seed=5), 0.0)
    assert responses(list(gateway.reduce(request("/short/1"), STOP_AT))) == []
    assert responses(list(gateway.reduce(StopRequested(), STOP_AT + 0.1))) == [(503, "0")]
    assert responses(list(gateway.reduce(request("/short/2"), STOP_AT + 0.2))) == [(503, "0")]
    gateway.reduce(MessageReceived(NodeId("10.0.0.1"), UPDATE), STOP_AT + 0.3)
    assert calls(list(gateway.reduce(request("/short/3"), STOP_AT + 0.4)))
