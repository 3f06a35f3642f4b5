"""Requests that are pending when a zone is evacuated: no attempt goes into the zone."""

import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import DaemonReport
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.requests import Answered, ForwardRequest, NotRun
from merlinstand.cluster.routes import Route, RouteKind, RoutesDocument, Service
from merlinstand.common.ids import BackendId, NodeId, RequestId
from merlinstand.decisions.rejection import Reason
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.directory.view import DirectoryChanges, encode_changes
from merlinstand.forwarding.daemon import ForwardingGateway
from merlinstand.forwarding.forwarder import TIMER_PREFIX, Forwarder
from merlinstand.forwarding.settings import ForwardingSettings
from merlinstand.forwarding.stream_forwarder import StreamForwarder
from merlinstand.kernel.effects import CancelCall, Effect, LogEvent, Respond, StartCall
from merlinstand.kernel.events import (
    CallChunk,
    CallFailed,
    CallHeaders,
    CallPhase,
    CallResponded,
    MessageReceived,
    RequestReceived,
    Started,
)
from merlinstand.protocol.generated.directory.ttypes import DirectoryUpdate
from merlinstand_platform.batch import PlatformGatewayInterface
from tests.evacuation.evacuating import evacuate, zones_update
from tests.routes import make_route

NAMES = HeaderNames()
ADDRESSES = {"a": "10.1.0.1:1", "b": "10.2.0.1:1"}
BACKENDS = tuple(
    Backend(backend_id=BackendId(f"i-{zone}"), service="shop", address=address, zone=zone)
    for zone, address in ADDRESSES.items()
)
REPEATABLE = make_route(
    RouteKind.REPEATABLE, "shop", "/l/", target_latency_seconds=0.2, maximum_attempts=4
)
ONCE = make_route(RouteKind.ONCE, "shop", "/o/", maximum_attempts=4)
STREAM = make_route(RouteKind.STREAM, "shop", "/s/", maximum_attempts=4, is_resumable=True)


def follower_of(*zones: str) -> DirectoryFollower:
    """Return a directory follower that knows the backends of some zones."""
    follower = DirectoryFollower((), lambda _now: DaemonReport(node_id="g", name="g", role="g"))
    follower.set_backends(backend for backend in BACKENDS if backend.zone in zones)
    return follower


def request(route: Route) -> ForwardRequest:
    return ForwardRequest(
        key="k",
        route=route,
        service="shop",
        method="POST",
        path=f"{route.path_prefix}1",
        headers={"host": "h"},
        body=b"",
        request_id="q1",
        deadline_at=1.5,
    )


def calls(effects: list[Effect]) -> list[StartCall]:
    return [effect for effect in effects if isinstance(effect, StartCall)]


def refusal(call: StartCall) -> CallResponded:
    return CallResponded(call.call_id, 503, {NAMES.not_run: "1"}, b"")


@pytest.mark.parametrize("route", [REPEATABLE, ONCE])
@pytest.mark.parametrize("zone", ["a", "b"])
def test_a_paused_request_goes_to_another_zone(zone: str, route: Route) -> None:
    follower = follower_of("a", "b")
    forwarder = Forwarder(NAMES, follower.backends_of)
    [first] = calls(forwarder.begin(request(route), 0.0))
    [second] = calls(forwarder.on_call(refusal(first), 0.01))
    # All backends were tried: it pauses before it is sent again.
    assert calls(forwarder.on_call(refusal(second), 0.02)) == []
    evacuate(follower, zone)
    [third] = calls(forwarder.on_timer(f"{TIMER_PREFIX}retry:k", 0.04))
    assert third.address != ADDRESSES[zone]
    # It pauses only once: backends that refuse it again stay full for a while.
    assert calls(forwarder.on_call(refusal(third), 0.05)) == []
    [finished] = forwarder.take_finished()
    assert isinstance(finished.outcome, NotRun)
    assert finished.attempts == len(ADDRESSES) + 1


def test_a_paused_request_is_rejected_if_no_zone_is_left() -> None:
    follower = follower_of("a")
    forwarder = Forwarder(NAMES, follower.backends_of)
    [call] = calls(forwarder.begin(request(REPEATABLE), 0.0))
    forwarder.on_call(refusal(call), 0.01)
    evacuate(follower, "a")
    assert calls(forwarder.on_timer(f"{TIMER_PREFIX}retry:k", 0.03)) == []
    [finished] = forwarder.take_finished()
    assert isinstance(finished.outcome, NotRun)
    assert finished.outcome.retry_after_seconds > 0.0


@pytest.mark.parametrize("phase", [CallPhase.CONNECT, CallPhase.SENT])
def test_a_retry_goes_to_another_zone(phase: CallPhase) -> None:
    follower = follower_of("a", "b")
    forwarder = Forwarder(NAMES, follower.backends_of)
    [first] = calls(forwarder.begin(request(REPEATABLE), 0.0))
    [other] = {"a", "b"} - {zone for zone, address in ADDRESSES.items() if address == first.address}
    evacuate(follower, other)
    assert calls(forwarder.on_call(CallFailed(first.call_id, phase, "reset"), 0.1)) == []
    [retry] = calls(forwarder.on_timer(f"{TIMER_PREFIX}retry:k", 0.12))
    assert retry.address == first.address


def test_no_hedge_goes_into_an_evacuated_zone() -> None:
    follower = follower_of("a", "b")
    forwarder = Forwarder(NAMES, follower.backends_of)
    [first] = calls(forwarder.begin(request(REPEATABLE), 0.0))
    [other] = {"a", "b"} - {zone for zone, address in ADDRESSES.items() if address == first.address}
    evacuate(follower, other)
    assert calls(forwarder.on_timer(f"{TIMER_PREFIX}hedge:k", 0.12)) == []


def test_an_open_connection_into_an_evacuated_zone_is_not_reused() -> None:
    follower = follower_of("a", "b")
    forwarder = Forwarder(NAMES, follower.backends_of)
    [first] = calls(forwarder.begin(request(REPEATABLE), 0.0))
    forwarder.on_call(CallResponded(first.call_id, 200, {}, b""), 0.01)
    [kept] = calls(forwarder.begin(request(REPEATABLE), 0.02))
    assert kept.address == first.address
    forwarder.on_call(CallResponded(kept.call_id, 200, {}, b""), 0.03)
    zone = next(zone for zone, address in ADDRESSES.items() if address == first.address)
    evacuate(follower, zone)
    [moved] = calls(forwarder.begin(request(REPEATABLE), 0.04))
    assert moved.address != first.address


def test_a_running_request_in_an_evacuated_zone_may_finish() -> None:
    follower = follower_of("a", "b")
    forwarder = Forwarder(NAMES, follower.backends_of)
    [call] = calls(forwarder.begin(request(ONCE), 0.0))
    evacuate(follower, "a", "b")
    effects = forwarder.on_call(CallResponded(call.call_id, 200, {}, b"whole"), 0.5)
    assert not [effect for effect in effects if isinstance(effect, CancelCall)]
    [finished] = forwarder.take_finished()
    assert finished.outcome == Answered(200, {}, b"whole")


@pytest.mark.parametrize("zone", ["a", "b"])
def test_a_broken_stream_is_resumed_outside_an_evacuated_zone(zone: str) -> None:
    follower = follower_of("a", "b")
    forwarder = Forwarder(NAMES, follower.backends_of)
    streams = StreamForwarder(NAMES, forwarder.chooser, follower.backends_of)
    [call] = calls(streams.begin(request(STREAM), 0.0))
    streams.on_call(CallHeaders(call.call_id, 200, {}), 0.1)
    evacuate(follower, zone)
    # A running attempt may finish, in the evacuated zone too.
    assert calls(streams.on_call(CallChunk(call.call_id, b"id: 1\ndata: x\n\n"), 0.2)) == []
    resumed = calls(streams.on_call(CallFailed(call.call_id, CallPhase.BODY, "reset"), 0.3))
    was_in_zone = call.address == ADDRESSES[zone]
    assert len(resumed) == was_in_zone
    assert all(retry.address != ADDRESSES[zone] for retry in resumed)


SETTINGS = ForwardingSettings(
    node_id="g", name="gateway-1", zone="a", internal_address="10.0.0.9:1", seeds=("10.0.0.1:1",)
)


def gateway() -> ForwardingGateway:
    """Return a gateway that knows its routes and the backend of one zone."""
    daemon = ForwardingGateway(SETTINGS, PlatformGatewayInterface())
    daemon.start(Started(NodeId("g"), 1, seed=5), 0.0)
    document = RoutesDocument(
        version=1, routes=(REPEATABLE, STREAM), services=(Service(name="shop"),)
    )
    changes = DirectoryChanges(
        document_revision=1, document=document, backends_revision=1, backends=BACKENDS[:1]
    )
    update = DirectoryUpdate(
        from_leader=True,
        leader="10.0.0.1",
        leader_address="",
        term=2,
        changes=encode_changes(changes),
    )
    daemon.reduce(MessageReceived(NodeId("10.0.0.1"), update), 0.1)
    return daemon


@pytest.mark.parametrize("path", ["/l/1", "/s/1"])
def test_a_request_that_no_other_zone_serves_is_rejected_at_once(path: str) -> None:
    daemon = gateway()
    event = RequestReceived(RequestId("q"), "POST", path, {"host": "h", "x-request-id": "q"}, b"")
    daemon.reduce(MessageReceived(NodeId("10.0.0.1"), zones_update(2, "a")), 0.2)
    [log, response] = daemon.reduce(event, 0.3)
    assert isinstance(log, LogEvent)
    assert (log.name, log.fields["reason"]) == ("request.failed", Reason.EVACUATED)
    assert isinstance(response, Respond)
    assert response.status == 503
    assert float(response.headers["retry-after"]) >= 1.0
    daemon.reduce(MessageReceived(NodeId("10.0.0.1"), zones_update(3)), 0.4)
    assert len(calls(list(daemon.reduce(event, 0.5)))) == 1
