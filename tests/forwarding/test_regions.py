"""Requests and jobs of routes or tenants that are bound to regions stay in these."""

import base64
from typing import Any

import msgspec
import pytest

from merlinstand.batch_calls.calls import (
    NotLeader,
    OutsideAllowedRegions,
    SubmitJob,
    decode_call,
    encode,
)
from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import Keeper
from merlinstand.cluster.routes import Route, RouteKind, RoutesDocument, Service
from merlinstand.cluster.tenants import Tenant, digest_key
from merlinstand.common.ids import BackendId, NodeId, RequestId
from merlinstand.decisions.rejection import Reason
from merlinstand.directory.view import DirectoryChanges, encode_changes
from merlinstand.forwarding.daemon import ForwardingGateway
from merlinstand.forwarding.settings import ForwardingSettings
from merlinstand.kernel.effects import Effect, LogEvent, Respond, StartCall
from merlinstand.kernel.events import (
    CallFailed,
    CallHeaders,
    CallPhase,
    CallResponded,
    MessageReceived,
    RequestReceived,
    Started,
    TimerFired,
)
from merlinstand.protocol.generated.directory.ttypes import DirectoryUpdate
from merlinstand_platform.batch import PlatformGatewayInterface
from merlinstand_platform.names import HEADER_NAMES
from tests.routes import make_route

LEADER = NodeId("10.0.0.1")
ZONES = {"n-1": "north", "n-2": "north", "s-1": "south"}
SETTINGS = ForwardingSettings(
    node_id="g",
    name="gateway-1",
    zone="n-1",
    zones=ZONES,
    internal_address="10.0.0.9:1",
    seeds=("10.0.0.1:1",),
    header_names=HEADER_NAMES,
)
KEY = "key-of-alpha"


def server(name: str, zone: str) -> Backend:
    return Backend(backend_id=BackendId(name), service="shop", address=f"{name}:1", zone=zone)


SERVERS = (server("north-1", "n-1"), server("north-2", "n-2"), server("south-1", "s-1"))


def keeper(name: str, zone: str, is_leader: bool = False) -> Keeper:
    return Keeper(
        node_id=name,
        name=name,
        zone=zone,
        address="",
        http_address=f"{name}:2",
        is_leader=is_leader,
        term=1,
        has_replica=True,
    )


NORTH_KEEPERS = (keeper("k1", "n-1", is_leader=True), keeper("k2", "n-2"))


def lookup(*regions: str, **fields: Any) -> Route:
    usual = {"maximum_attempts": 4, "target_latency_seconds": 0.2, "allowed_regions": regions}
    return make_route(RouteKind.REPEATABLE, "shop", "/l/", **(usual | fields))


def batch(*regions: str) -> Route:
    return make_route(RouteKind.BATCH, "llm", "/b/", name="batch", allowed_regions=regions)


def update(
    routes: tuple[Route, ...],
    tenant_regions: tuple[str, ...] | None = None,
    servers: tuple[Backend, ...] = SERVERS,
    keepers: tuple[Keeper, ...] = NORTH_KEEPERS,
    revision: int = 1,
) -> MessageReceived:
    tenants: tuple[Tenant, ...] = ()
    if tenant_regions is not None:
        digests = (digest_key(KEY).unwrap(),)
        tenants = (Tenant(name="alpha", key_digests=digests, allowed_regions=tenant_regions),)
    changes = DirectoryChanges(
        document_revision=revision,
        document=RoutesDocument(
            version=1,
            routes=routes,
            services=(Service(name="shop"), Service(name="llm")),
            tenants=tenants,
        ),
        backends_revision=revision,
        backends=servers,
        keepers_mark=f"1.{revision}",
        keepers=keepers,
    )
    message = DirectoryUpdate(
        from_leader=True,
        leader=str(LEADER),
        leader_address="10.0.0.1:1",
        term=2,
        changes=encode_changes(changes),
    )
    return MessageReceived(LEADER, message)


def gateway(routes_update: MessageReceived) -> ForwardingGateway:
    daemon = ForwardingGateway(SETTINGS, PlatformGatewayInterface())
    daemon.start(Started(NodeId("g"), 1, seed=5), 0.0)
    daemon.reduce(routes_update, 0.0)
    return daemon


def request(path: str = "/l/1", body: bytes = b"") -> RequestReceived:
    headers = {"host": "h", "x-request-id": "q", "authorization": f"Bearer {KEY}"}
    return RequestReceived(RequestId("q"), "POST", path, headers, body)


def job(**fields: Any) -> bytes:
    item = {"Id": "i", "Path": "/b/1", "Body": base64.b64encode(b"secret").decode(), **fields}
    return msgspec.json.encode({"Requests": [item]})


def calls(effects: Any) -> list[StartCall]:
    return [effect for effect in effects if isinstance(effect, StartCall)]


def response(effects: Any) -> Respond:
    [respond] = [effect for effect in effects if isinstance(effect, Respond)]
    return respond


def tried_addresses(daemon: ForwardingGateway, event: RequestReceived) -> set[str]:
    """Let each attempt fail until the gateway gives up; return the backends' addresses."""
    tried: set[str] = set()
    effects: list[Effect] = list(daemon.reduce(event, 0.0))
    for step in range(1, 20):
        started = calls(effects)
        if not started:
            break
        tried.update(call.address for call in started)
        failed = CallFailed(started[0].call_id, CallPhase.CONNECT, "refused")
        effects = list(daemon.reduce(failed, 0.01 * step))
        effects += daemon.reduce(TimerFired("forward.retry:q"), 0.01 * step)
    return tried


@pytest.mark.parametrize(
    ("route_regions", "tenant_regions", "expected"),
    [
        pytest.param((), None, {"north-1:1", "north-2:1", "south-1:1"}, id="anywhere"),
        pytest.param(("north",), None, {"north-1:1", "north-2:1"}, id="route"),
        pytest.param((), ("south",), {"south-1:1"}, id="tenant"),
        pytest.param(("north", "south"), ("south",), {"south-1:1"}, id="both"),
    ],
)
def test_lookups_and_their_retries_stay_in_allowed_regions(
    route_regions: tuple[str, ...], tenant_regions: tuple[str, ...] | None, expected: set[str]
) -> None:
    daemon = gateway(update((lookup(*route_regions),), tenant_regions))
    assert tried_addresses(daemon, request()) == expected


def test_a_hedge_stays_in_allowed_regions() -> None:
    daemon = gateway(update((lookup("south"),)))
    [first] = calls(daemon.reduce(request(), 0.0))
    assert first.address == "south-1:1"
    assert calls(daemon.reduce(TimerFired("forward.hedge:q"), 0.12)) == []


def test_a_resumed_stream_stays_in_allowed_regions() -> None:
    route = make_route(
        RouteKind.STREAM,
        "shop",
        "/l/",
        allowed_regions=("north",),
        is_resumable=True,
        maximum_attempts=4,
    )
    daemon = gateway(update((route,)))
    tried: list[str] = []
    effects = list(daemon.reduce(request(), 0.0))
    while started := calls(effects):
        tried += [call.address for call in started]
        daemon.reduce(CallHeaders(started[0].call_id, 200, {}), 0.1)
        broken = CallFailed(started[0].call_id, CallPhase.BODY, "reset")
        effects = list(daemon.reduce(broken, 0.2))
    assert sorted(tried) == ["north-1:1", "north-2:1"]


@pytest.mark.parametrize("kind", [RouteKind.REPEATABLE, RouteKind.ONCE, RouteKind.STREAM])
def test_without_a_backend_in_an_allowed_region_a_request_is_rejected_at_once(
    kind: RouteKind,
) -> None:
    route = make_route(kind, "shop", "/l/", allowed_regions=("west",), maximum_attempts=4)
    effects = list(gateway(update((route,))).reduce(request(), 0.0))
    rejection = response(effects)
    assert (rejection.status, rejection.body.decode()) == (503, Reason.NO_BACKEND_IN_REGIONS)
    assert float(rejection.headers["retry-after"]) > 0.0
    assert calls(effects) == []


@pytest.mark.parametrize(
    ("path", "body"), [("/l/1", b""), ("/b/x", job())], ids=["lookup", "batch-job"]
)
def test_requests_are_rejected_if_route_and_tenant_have_no_common_region(
    path: str, body: bytes
) -> None:
    routes_update = update((lookup("north"), batch("north")), ("south",))
    effects = list(gateway(routes_update).reduce(request(path, body), 0.0))
    rejection = response(effects)
    assert rejection.status == 403
    assert msgspec.json.decode(rejection.body)["code"] == "no_common_region"
    [log] = [effect for effect in effects if isinstance(effect, LogEvent)]
    assert (log.name, log.fields["reason"]) == ("request.denied", "no_common_region")
    assert calls(effects) == []


@pytest.mark.parametrize(
    ("batch_regions", "scoring_regions", "tenant_regions", "keepers", "is_accepted"),
    [
        pytest.param((), (), None, "ns", True, id="no-restriction"),
        pytest.param(("north",), (), None, "nn", True, id="all-keepers-inside"),
        pytest.param(("north",), (), None, "ns", False, id="one-keeper-outside"),
        pytest.param((), (), ("north",), "ns", False, id="tenant-restricted"),
        pytest.param((), ("north",), None, "ns", False, id="scoring-route-restricted"),
        pytest.param(("north", "south"), (), None, "ns", True, id="both-regions-allowed"),
        pytest.param(("north",), (), None, "n?", False, id="keeper-in-an-unknown-zone"),
    ],
)
def test_a_job_is_sent_only_if_all_keepers_are_in_allowed_regions(
    batch_regions: tuple[str, ...],
    scoring_regions: tuple[str, ...],
    tenant_regions: tuple[str, ...] | None,
    keepers: str,
    is_accepted: bool,
) -> None:
    zones = {"n": "n-2", "s": "s-1", "?": "new"}
    group = (keeper("k1", "n-1", is_leader=True), keeper("k2", zones[keepers[1]]))
    routes_update = update(
        (batch(*batch_regions), lookup(*scoring_regions)), tenant_regions, keepers=group
    )
    scoring = {"Id": "s", "Host": "h", "Path": "/l/score"}
    daemon = gateway(routes_update)
    effects = list(daemon.reduce(request("/b/x", job(ScoringUrl=scoring)), 0.0))
    started = calls(effects)
    assert bool(started) is is_accepted
    if not is_accepted:
        rejection = response(effects)
        assert rejection.status == 503
        assert float(rejection.headers["retry-after"]) > 0.0
        assert b"k2" in rejection.body
        [log] = [effect for effect in effects if isinstance(effect, LogEvent)]
        assert log.name == "batch.region_not_allowed"


def test_a_submitted_job_carries_its_allowed_regions() -> None:
    daemon = gateway(update((batch("north"),)))
    [call] = calls(daemon.reduce(request("/b/x", job()), 0.0))
    submitted = decode_call(call.body)
    assert isinstance(submitted, SubmitJob)
    assert submitted.allowed_regions == ("north",)


def test_a_new_keeper_outside_the_regions_ends_the_retries() -> None:
    routes_update = update((batch("north"),))
    daemon = gateway(routes_update)
    [call] = calls(daemon.reduce(request("/b/x", job()), 0.0))
    daemon.reduce(CallResponded(call.call_id, 200, {}, encode(NotLeader())), 0.01)
    extended = (*NORTH_KEEPERS, keeper("k3", "s-1"))
    daemon.reduce(update((batch("north"),), keepers=extended, revision=2), 0.05)
    effects = list(daemon.reduce(TimerFired("batch.q"), 0.11))
    assert calls(effects) == []
    assert response(effects).status == 503


def test_a_region_bound_job_goes_to_no_keeper_in_an_unknown_zone() -> None:
    daemon = gateway(update((batch("north"),)))
    [call] = calls(daemon.reduce(request("/b/x", job()), 0.0))
    elsewhere = encode(NotLeader("k9:2"))
    [again] = calls(daemon.reduce(CallResponded(call.call_id, 200, {}, elsewhere), 0.01))
    assert again.address in {"k1:2", "k2:2"}


def test_a_leaders_rejection_is_passed_on_to_the_caller() -> None:
    daemon = gateway(update((batch("north"),)))
    [call] = calls(daemon.reduce(request("/b/x", job()), 0.0))
    reply = encode(OutsideAllowedRegions("keeper k7 stands in zone 's-1'"))
    rejection = response(daemon.reduce(CallResponded(call.call_id, 200, {}, reply), 0.01))
    assert (rejection.status, rejection.headers["retry-after"]) == (503, "1")
    assert b"k7" in rejection.body
