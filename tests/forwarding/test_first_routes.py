"""Requests that reach a newly started gateway before it knows any routes wait for them."""

import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.routes import RouteKind, RoutesDocument, Service
from merlinstand.common.ids import BackendId, NodeId, RequestId
from merlinstand.decisions.rejection import Reason
from merlinstand.decisions.waiting import MAXIMUM_ROUTES_WAIT_SECONDS, ROUTES_WAIT_SECONDS
from merlinstand.directory.view import DirectoryChanges, encode_changes
from merlinstand.forwarding.daemon import ForwardingGateway
from merlinstand.forwarding.routes_wait import MAXIMUM_WAITING_REQUESTS, TIMER_PREFIX
from merlinstand.forwarding.settings import ForwardingSettings
from merlinstand.kernel.effects import CancelTimer, Effect, LogEvent, Respond, SetTimer, StartCall
from merlinstand.kernel.events import (
    MessageReceived,
    RequestAborted,
    RequestReceived,
    Started,
    TimerFired,
)
from merlinstand.protocol.generated.directory.ttypes import DirectoryUpdate
from merlinstand_platform.batch import PlatformGatewayInterface
from tests.routes import make_route

SETTINGS = ForwardingSettings(
    node_id="g", name="gateway-1", zone="z", internal_address="10.0.0.9:1", seeds=("10.0.0.1:1",)
)
ROUTE = make_route(
    RouteKind.REPEATABLE, "shop", "/l/", target_latency_seconds=0.2, maximum_attempts=3
)
UPDATE = DirectoryUpdate(
    from_leader=True,
    leader="10.0.0.1",
    leader_address="10.0.0.1:1",
    term=2,
    changes=encode_changes(
        DirectoryChanges(
            document_revision=1,
            document=RoutesDocument(version=1, routes=(ROUTE,), services=(Service(name="shop"),)),
            backends_revision=1,
            backends=(Backend(backend_id=BackendId("b"), service="shop", address="10.0.0.2:1"),),
        )
    ),
)


def gateway() -> ForwardingGateway:
    started = ForwardingGateway(SETTINGS, PlatformGatewayInterface())
    started.start(Started(NodeId("g"), 1, seed=5), 0.0)
    return started


def request(name: str, **extra_headers: str) -> RequestReceived:
    headers = {"host": "h", "x-request-id": name, **extra_headers}
    return RequestReceived(RequestId(name), "POST", "/l/1", headers, b"")


def responses(effects: list[Effect]) -> list[tuple[str, int]]:
    return [(e.request_id, e.status) for e in effects if isinstance(e, Respond)]


def test_a_request_waits_for_the_first_routes_and_keeps_its_own_deadline() -> None:
    daemon = gateway()
    effects = list(daemon.reduce(request("q"), 0.0))
    assert effects == [SetTimer(f"{TIMER_PREFIX}q", ROUTES_WAIT_SECONDS)]
    effects = list(daemon.reduce(MessageReceived(NodeId("10.0.0.1"), UPDATE), 0.1))
    assert CancelTimer(f"{TIMER_PREFIX}q") in effects
    [call] = [effect for effect in effects if isinstance(effect, StartCall)]
    assert call.headers[SETTINGS.header_names.deadline_ms] == "1400"


@pytest.mark.parametrize(
    ("caller_timeout_ms", "expected"),
    [
        pytest.param("2000", 0.8, id="long timeout: a share of it"),
        pytest.param("300", ROUTES_WAIT_SECONDS, id="short timeout"),
        pytest.param("60000", MAXIMUM_ROUTES_WAIT_SECONDS, id="limited to the maximum"),
        pytest.param("soon", ROUTES_WAIT_SECONDS, id="not a number"),
        pytest.param("9" * 400, ROUTES_WAIT_SECONDS, id="a number too long to divide"),
        pytest.param("9" * 5000, ROUTES_WAIT_SECONDS, id="a number too long to read"),
    ],
)
def test_a_caller_with_a_longer_timeout_waits_longer(
    caller_timeout_ms: str, expected: float
) -> None:
    """A caller with a long timeout must not be rejected shortly before the routes arrive."""
    daemon = gateway()
    event = request("q", **{SETTINGS.header_names.deadline_ms: caller_timeout_ms})
    [timer] = daemon.reduce(event, 0.0)
    assert timer == SetTimer(f"{TIMER_PREFIX}q", expected)


def test_without_routes_a_request_is_rejected_with_retry_after() -> None:
    daemon = gateway()
    daemon.reduce(request("q"), 0.0)
    [log, response] = daemon.reduce(TimerFired(f"{TIMER_PREFIX}q"), ROUTES_WAIT_SECONDS)
    assert isinstance(log, LogEvent)
    assert log.fields["reason"] == Reason.NO_ROUTES
    assert isinstance(response, Respond)
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0.0
    later = list(daemon.reduce(MessageReceived(NodeId("10.0.0.1"), UPDATE), 0.3))
    assert not [effect for effect in later if isinstance(effect, StartCall)]


def test_an_aborted_request_is_not_forwarded() -> None:
    daemon = gateway()
    daemon.reduce(request("q"), 0.0)
    daemon.reduce(RequestAborted(RequestId("q")), 0.05)
    later = list(daemon.reduce(MessageReceived(NodeId("10.0.0.1"), UPDATE), 0.1))
    assert not [effect for effect in later if isinstance(effect, StartCall)]


@pytest.mark.parametrize(
    ("number", "is_rejected"),
    [(MAXIMUM_WAITING_REQUESTS, False), (MAXIMUM_WAITING_REQUESTS + 1, True)],
)
def test_the_number_of_waiting_requests_is_limited(number: int, is_rejected: bool) -> None:
    daemon = gateway()
    for index in range(number - 1):
        daemon.reduce(request(f"q{index}"), 0.0)
    assert responses(list(daemon.reduce(request("last"), 0.0))) == (
        [("last", 503)] if is_rejected else []
    )
