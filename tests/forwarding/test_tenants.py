"""A gateway whose routes document has tenants: who may call, and what backends are told."""

import random

import pytest

from merlinstand.batch_calls.calls import EndJob, ReadItemBody, ReadResults, decode_call
from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import Keeper
from merlinstand.cluster.routes import RouteKind, RoutesDocument, RouteTable, Service
from merlinstand.cluster.tenants import Tenant, digest_key
from merlinstand.common.ids import BackendId, NodeId, RequestId
from merlinstand.directory.view import DirectoryChanges, encode_changes
from merlinstand.forwarding.daemon import ForwardingGateway
from merlinstand.forwarding.settings import ForwardingSettings
from merlinstand.forwarding.stream_forwarder import TIMER_PREFIX as STREAM_TIMER_PREFIX
from merlinstand.kernel.effects import Effect, LogEvent, Respond, StartCall
from merlinstand.kernel.events import (
    CallHeaders,
    MessageReceived,
    RequestReceived,
    Started,
    TimerFired,
)
from merlinstand.metering.usage import UsageCounter
from merlinstand.protocol.generated.directory.ttypes import DirectoryUpdate
from merlinstand_platform.batch import PlatformGatewayInterface
from merlinstand_platform.names import HEADER_NAMES
from tests.routes import make_route

KEY = "k3y-of-alpha"
LEADER = NodeId("10.0.0.1")
KEEPER = Keeper(
    node_id="k",
    name="keeper-1",
    zone="z",
    address="10.0.0.5:1",
    http_address="10.0.0.5:2",
    is_leader=True,
    term=1,
)
PRIVATE = make_route(RouteKind.REPEATABLE, "shop", "/l/", name="private", priority=4)
PUBLIC = make_route(RouteKind.REPEATABLE, "shop", "/p/", name="public", is_public=True)
BATCH = make_route(RouteKind.BATCH, "shop", "/b/", name="batch")


def tenant(name: str, *keys: str, priority: int | None = None) -> Tenant:
    digests = tuple(digest_key(key).unwrap() for key in keys)
    return Tenant(name=name, key_digests=digests, priority=priority)


def update(revision: int, *tenants: Tenant) -> MessageReceived:
    document = RoutesDocument(
        version=revision,
        routes=(PRIVATE, PUBLIC, BATCH),
        services=(Service(name="shop"),),
        tenants=tenants,
    )
    changes = DirectoryChanges(
        document_revision=revision,
        document=document,
        backends_revision=1,
        backends=(Backend(backend_id=BackendId("b"), service="shop", address="10.0.0.2:1"),),
        keepers_mark="1.1",
        keepers=(KEEPER,),
    )
    message = DirectoryUpdate(
        from_leader=True,
        leader=str(LEADER),
        leader_address="10.0.0.1:1",
        term=2,
        changes=encode_changes(changes),
    )
    return MessageReceived(LEADER, message)


def gateway(*tenants: Tenant, is_strict: bool = False) -> ForwardingGateway:
    settings = ForwardingSettings(
        node_id="g",
        name="gateway-1",
        zone="z",
        internal_address="10.0.0.9:1",
        seeds=("10.0.0.1:1",),
        header_names=HEADER_NAMES,
        strict_revocation=is_strict,
    )
    daemon = ForwardingGateway(settings, PlatformGatewayInterface())
    daemon.start(Started(NodeId("g"), 1, seed=5), 0.0)
    daemon.reduce(update(1, *tenants), 0.0)
    return daemon


def request(path: str, key: str = "", method: str = "POST", **headers: str) -> RequestReceived:
    named_headers = {"host": "h", "x-request-id": "q", **headers}
    if key:
        named_headers["authorization"] = f"Bearer {key}"
    return RequestReceived(RequestId("q"), method, path, named_headers, b"")


def status_of(effects: list[Effect]) -> int:
    """Return the response's status; 0 if the request was forwarded."""
    statuses = [effect.status for effect in effects if isinstance(effect, Respond)]
    return statuses[0] if statuses else 0


def call_of(effects: list[Effect]) -> StartCall:
    [call] = [effect for effect in effects if isinstance(effect, StartCall)]
    return call


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        pytest.param("/l/1", KEY, 0, id="known-key"),
        pytest.param("/l/1", "other", 401, id="unknown-key"),
        pytest.param("/l/1", "", 401, id="no-key"),
        pytest.param("/p/1", "", 0, id="public-without-key"),
        pytest.param("/p/1", "other", 0, id="public-with-unknown-key"),
        pytest.param("/b/1", "other", 401, id="batch-job-with-unknown-key"),
        pytest.param("/none", "other", 404, id="no-route"),
    ],
)
def test_who_may_call(path: str, key: str, status: int) -> None:
    effects = list(gateway(tenant("alpha", KEY)).reduce(request(path, key), 1.0))
    assert status_of(effects) == status


@pytest.mark.parametrize(
    ("method", "path"), [("GET", "/lots/j"), ("GET", "/items/j?Id=i"), ("DELETE", "/lots/j")]
)
def test_batch_calls_need_a_key_and_carry_its_tenant(method: str, path: str) -> None:
    daemon = gateway(tenant("alpha", KEY))
    assert status_of(list(daemon.reduce(request(path, "other", method), 1.0))) == 401
    call = call_of(list(daemon.reduce(request(path, KEY, method), 1.0)))
    passed_on = decode_call(call.body)
    assert isinstance(passed_on, ReadResults | ReadItemBody | EndJob)
    assert passed_on.tenant == "alpha"


@pytest.mark.parametrize(
    ("path", "key", "expected"),
    [
        pytest.param("/l/1", KEY, "alpha", id="private"),
        pytest.param("/p/1", KEY, "alpha", id="public-with-key"),
        pytest.param("/p/1", "", None, id="public-without-key"),
        pytest.param("/p/1", "other", None, id="public-with-unknown-key"),
    ],
)
def test_backends_get_the_tenant_and_never_the_key(
    path: str, key: str, expected: str | None
) -> None:
    daemon = gateway(tenant("alpha", KEY))
    call = call_of(list(daemon.reduce(request(path, key, **{"x-tenant": "beta"}), 1.0)))
    assert call.headers.get("x-tenant") == expected
    assert "authorization" not in call.headers


def test_without_tenants_headers_are_unchanged() -> None:
    call = call_of(list(gateway().reduce(request("/l/1", KEY), 1.0)))
    assert call.headers["authorization"] == f"Bearer {KEY}"
    assert "x-request-priority" not in call.headers


@pytest.mark.parametrize(
    ("tenant_priority", "sent"),
    [
        pytest.param(1, "1", id="of-the-tenant"),
        pytest.param(None, "4", id="of-the-route"),
        pytest.param(0, "0", id="most-urgent"),
        pytest.param(70, "9", id="beyond-the-range-of-the-header"),
    ],
)
def test_the_tenants_priority_overrides_the_routes(tenant_priority: int | None, sent: str) -> None:
    daemon = gateway(tenant("alpha", KEY, priority=tenant_priority))
    call = call_of(list(daemon.reduce(request("/l/1", KEY), 1.0)))
    assert call.headers["x-request-priority"] == sent


def test_a_revoked_key_is_rejected_at_once_and_a_new_one_works() -> None:
    daemon = gateway(tenant("alpha", KEY))
    daemon.reduce(update(2, tenant("alpha", "new")), 1.0)
    assert status_of(list(daemon.reduce(request("/l/1", KEY), 1.0))) == 401
    assert status_of(list(daemon.reduce(request("/l/1", "new"), 1.0))) == 0


@pytest.mark.parametrize(
    ("is_strict", "path", "silence_seconds", "status"),
    [
        pytest.param(True, "/l/1", 4.0, 0, id="strict-recent-leader-contact"),
        pytest.param(True, "/l/1", 6.0, 503, id="strict-no-leader-contact"),
        pytest.param(True, "/p/1", 6.0, 0, id="strict-but-public"),
        pytest.param(False, "/l/1", 60.0, 0, id="not-strict"),
    ],
)
def test_keys_without_control_leader(
    is_strict: bool, path: str, silence_seconds: float, status: int
) -> None:
    daemon = gateway(tenant("alpha", KEY), is_strict=is_strict)
    effects = list(daemon.reduce(request(path, KEY), silence_seconds))
    assert status_of(effects) == status
    if status == 503:
        [rejection] = [effect for effect in effects if isinstance(effect, Respond)]
        assert float(rejection.headers["retry-after"]) > 0.0


def test_usage_of_a_timed_out_stream_is_removed() -> None:
    daemon = gateway(tenant("alpha", KEY))
    daemon.follower.routes = RouteTable(
        RoutesDocument(
            version=1,
            routes=(make_route(RouteKind.STREAM, "shop", "/s/"),),
            tenants=(tenant("alpha", KEY),),
        )
    )
    daemon.follower.apply_update(
        LEADER, DirectoryUpdate(True, LEADER, "", b"", 2, true_seconds=50.0), 0.1
    )
    daemon._usage = UsageCounter(5.0)
    call = call_of(list(daemon.reduce(request("/s/1", KEY), 1.0)))
    daemon.reduce(CallHeaders(call.call_id, 200, {}), 1.1)
    assert len(daemon._usage) == 1
    daemon.reduce(TimerFired(f"{STREAM_TIMER_PREFIX}q"), 2.5)
    assert len(daemon._usage) == 0


def test_no_key_is_ever_logged_or_returned() -> None:
    generator = random.Random(5)
    daemon = gateway(tenant("alpha", KEY))
    for number in range(2_000):
        unknown_key = (
            "".join(chr(generator.randrange(33, 126)) for _ in range(12)) + f"-odd{number}"
        )
        header = generator.choice(
            [
                f"Bearer {unknown_key}",
                f"Basic {unknown_key}",
                unknown_key,
                f"Bearer {KEY}, {unknown_key}",
            ]
        )
        named_headers = {"host": "h", "x-request-id": f"q{number}", "authorization": header}
        event = RequestReceived(RequestId(f"q{number}"), "POST", "/l/1", named_headers, b"")
        for effect in daemon.reduce(event, 1.0):
            assert isinstance(effect, LogEvent | Respond)
            assert unknown_key not in repr(effect)
            assert KEY not in repr(effect)
