"""A gateway whose service is overloaded: what it sends, rejects and logs."""

from collections import Counter

import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.requests import ForwardRequest
from merlinstand.cluster.routes import RouteKind, RoutesDocument, RouteTable, Service
from merlinstand.cluster.tenants import Tenant
from merlinstand.common.ids import BackendId, CallId, RequestId
from merlinstand.decisions.waiting import FULL_SERVICE_PAUSE_SECONDS
from merlinstand.forwarding.daemon import ForwardingGateway
from merlinstand.forwarding.refusal_log import OVERLOADED_METRIC
from merlinstand.forwarding.request_intake import AcceptedRequest
from merlinstand.forwarding.settings import ForwardingSettings
from merlinstand.kernel.effects import (
    CountMetric,
    Effect,
    LogEvent,
    Respond,
    SetTimer,
    StartCall,
)
from merlinstand.kernel.events import (
    CallFailed,
    CallHeaders,
    CallPhase,
    CallResponded,
    RequestReceived,
    Started,
    TimerFired,
)
from merlinstand.server_load.reports import (
    Flow,
    FlowLimit,
    LoadSummary,
    ServiceLoad,
    encode_summary,
)
from merlinstand_platform.batch import PlatformGatewayInterface
from tests.routes import make_route

SETTINGS = ForwardingSettings(
    node_id="g", name="gateway-1", zone="a", internal_address="10.0.0.9:1", seeds=("10.0.0.1:1",)
)
ROUTES = (
    make_route(RouteKind.REPEATABLE, "shop", "/l/", name="l", priority=5),
    make_route(RouteKind.REPEATABLE, "shop", "/u/", name="u", priority=0),
    make_route(RouteKind.STREAM, "shop", "/s/", name="s", priority=5),
    make_route(RouteKind.REPEATABLE, "shop", "/l3/", name="l3", maximum_attempts=3),
    make_route(RouteKind.STREAM, "shop", "/s3/", name="s3", maximum_attempts=3, is_resumable=True),
)
SERVICE = Service(name="shop", maximum_connections=1_000)
SERVERS = tuple(
    Backend(backend_id=BackendId(f"b{n}"), service="shop", address=f"10.0.0.{n}:1", zone="a")
    for n in range(4)
)


class OverloadedGateway:
    """A gateway and its callers' requests; backends respond at once."""

    def __init__(self, *limits: FlowLimit, seed: int = 1) -> None:
        self.gateway = ForwardingGateway(SETTINGS, PlatformGatewayInterface())
        self.gateway.start(Started("g", 1, seed), 0.0)
        follower = self.gateway.follower
        follower.routes = RouteTable(RoutesDocument(version=1, routes=ROUTES, services=(SERVICE,)))
        follower.document_revision = 1
        follower.set_backends(SERVERS)
        self.limits = limits
        self.effects: list[Effect] = []
        self.sent_count = 0

    def receive_load(self, now: float) -> None:
        load = ServiceLoad("shop", 2.0, (), self.limits)
        summary = LoadSummary((load,), 48, 0.1)
        self.gateway.follower.load.apply_summary(encode_summary(summary), now)

    def send(self, path: str, now: float) -> bool:
        """Send a request to the gateway; return whether it went to a backend."""
        self.sent_count += 1
        event = RequestReceived(
            RequestId(f"k{self.sent_count}"),
            "POST",
            path,
            {"host": "h", SETTINGS.header_names.deadline_ms: "800"},
            b"",
        )
        effects = list(self.gateway.reduce(event, now))
        for call in [effect for effect in effects if isinstance(effect, StartCall)]:
            effects += self.gateway.reduce(response(call), now + 0.03)
        self.effects += effects
        return any(isinstance(effect, StartCall) for effect in effects)

    def send_failing(self, path: str, now: float) -> None:
        """Send a request whose first attempt breaks off; all other backends refuse it."""
        self.sent_count += 1
        event = RequestReceived(RequestId(f"k{self.sent_count}"), "POST", path, {"host": "h"}, b"")
        effects = list(self.gateway.reduce(event, now))
        [call] = [effect for effect in effects if isinstance(effect, StartCall)]
        step = list(self.gateway.reduce(CallFailed(call.call_id, CallPhase.SENT, "reset"), now))
        while step:
            effects += step
            step = [e for each in step for e in self._refuse(each, now)]
        self.effects += effects

    def _refuse(self, effect: Effect, now: float) -> list[Effect]:
        """Let a call be refused, and the pause after the last one end."""
        not_run_headers = {SETTINGS.header_names.not_run: "1"}
        if isinstance(effect, StartCall) and effect.stream:
            return list(self.gateway.reduce(CallHeaders(effect.call_id, 503, not_run_headers), now))
        if isinstance(effect, StartCall):
            return list(
                self.gateway.reduce(CallResponded(effect.call_id, 503, not_run_headers, b""), now)
            )
        if isinstance(effect, SetTimer) and effect.delay_seconds <= FULL_SERVICE_PAUSE_SECONDS:
            return list(self.gateway.reduce(TimerFired(effect.name), now))
        return []


def response(call: StartCall) -> CallResponded | CallHeaders:
    if call.stream:
        return CallHeaders(CallId(call.call_id), 200, {})
    return CallResponded(call.call_id, 200, {}, b"")


@pytest.mark.parametrize(
    ("tenant", "flow"),
    [
        pytest.param(None, Flow("shop", 5, ""), id="no tenants: the route's priority"),
        pytest.param(Tenant(name="a"), Flow("shop", 5, "a"), id="a tenant without a priority"),
        pytest.param(Tenant(name="a", priority=1), Flow("shop", 1, "a"), id="a tenant's priority"),
    ],
)
def test_a_flow_has_the_priority_that_is_sent_to_backends(
    tenant: Tenant | None, flow: Flow
) -> None:
    request = ForwardRequest(
        key="k",
        route=ROUTES[0],
        service="shop",
        method="GET",
        path="/l/1",
        headers={},
        body=b"",
        request_id="q",
        deadline_at=1.0,
    )
    assert AcceptedRequest(request, tenant, None).flow == flow


def test_urgent_requests_are_all_served_while_others_are_limited() -> None:
    """Two priorities at twice the service's capacity; streams and whole requests share a limit."""
    overloaded = OverloadedGateway(FlowLimit(5, "", 0.25))
    sent: Counter[str] = Counter()
    for n in range(300):
        now = n / 100
        overloaded.receive_load(now)
        for path in ("/l/1", "/s/1", "/u/1"):
            sent[path] += overloaded.send(path, now)
    assert sent["/u/1"] == 300
    assert sent["/l/1"] + sent["/s/1"] == pytest.approx(150, abs=2)


def test_rejections_are_immediate_and_their_log_is_rate_limited() -> None:
    """No capacity at all: 400 requests/s are rejected for two seconds."""
    overloaded = OverloadedGateway(FlowLimit(5, "", 0.0))
    for n in range(800):
        now = n / 400
        overloaded.receive_load(now)
        assert not overloaded.send("/l/1", now)
    responds = [effect for effect in overloaded.effects if isinstance(effect, Respond)]
    assert {respond.status for respond in responds} == {503}
    waits = {float(respond.headers["retry-after"]) for respond in responds}
    assert len(waits) > 400
    assert min(waits) >= 0.08
    assert max(waits) <= 0.8 / 3
    logged = [effect for effect in overloaded.effects if isinstance(effect, LogEvent)]
    lines = [line.fields for line in logged if line.name == "request.failed"]
    assert 4 <= len(lines) <= 5
    assert sum(fields["suppressed"] for fields in lines) + len(lines) >= 600
    counted = [effect for effect in overloaded.effects if isinstance(effect, CountMetric)]
    assert [count.name for count in counted].count(OVERLOADED_METRIC) == 800


@pytest.mark.parametrize("path", ["/l3/1", "/s3/1"])
def test_requests_that_may_have_run_are_all_logged_and_not_counted_as_rejected(path: str) -> None:
    """Requests that break off at one backend and are refused by all others."""
    overloaded = OverloadedGateway()
    for n in range(4):
        overloaded.send_failing(path, 0.1 * n)
    logged = [effect for effect in overloaded.effects if isinstance(effect, LogEvent)]
    failed = ("request.failed", "request.stream_failed")
    assert len([line for line in logged if line.name in failed]) == 4
    counted = [effect for effect in overloaded.effects if isinstance(effect, CountMetric)]
    assert OVERLOADED_METRIC not in {count.name for count in counted}


def test_without_control_leader_half_of_the_last_share_is_admitted_for_a_while() -> None:
    """Twice the service's capacity, and then the control leader is lost."""
    overloaded = OverloadedGateway(FlowLimit(5, "", 0.5))
    overloaded.receive_load(0.0)
    sent = [overloaded.send("/l/1", n / 10) for n in range(200)]
    assert sum(sent[:10]) == pytest.approx(5, abs=1)
    assert sum(sent[11:100]) == pytest.approx(89 / 4, abs=1)
    assert all(sent[101:])
