"""Region restrictions of routes and tenants: intersection, backend filtering and validation."""

import msgspec
import pytest
from result import Err, Ok

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.regions import (
    UNRESTRICTED,
    NoCommonRegionError,
    StorageNode,
    backends_in_regions,
    common_regions,
    find_node_outside,
)
from merlinstand.cluster.routes import RouteKind, RoutesDocument, Service, find_document_error
from merlinstand.cluster.tenants import Tenant
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.errors import InvalidInputError
from merlinstand.common.ids import BackendId
from merlinstand.directory.region_warnings import MAXIMUM_WARNINGS, region_warnings
from merlinstand.kernel.effects import LogEvent
from merlinstand_platform.document import read_document
from tests.directory.lone_control import LoneControl
from tests.routes import make_route

ZONE_MAP = ZoneMap({"n-1": "north", "n-2": "north", "s-1": "south"})


@pytest.mark.parametrize(
    ("restrictions", "allowed"),
    [
        pytest.param([], UNRESTRICTED, id="no-restrictions"),
        pytest.param([(), ()], UNRESTRICTED, id="empty-lists"),
        pytest.param([("north",), ()], {"north"}, id="route-only"),
        pytest.param([(), ("south", "north")], {"north", "south"}, id="tenant-only"),
        pytest.param([("north", "south"), ("south", "west")], {"south"}, id="route-and-tenant"),
        pytest.param([("a", "b"), ("b", "c"), ("a", "b")], {"b"}, id="three-restrictions"),
    ],
)
def test_allowed_regions_are_the_intersection(
    restrictions: list[tuple[str, ...]], allowed: set[str]
) -> None:
    assert common_regions(*restrictions) == Ok(frozenset(allowed))


def test_disjoint_restrictions_are_an_error() -> None:
    common = common_regions(("north", "west"), ("south",))
    assert common == Err(
        NoCommonRegionError(detail="no region is common to [north, west] and [south]")
    )


@pytest.mark.parametrize(
    ("regions", "zone_map", "expected"),
    [
        pytest.param(set(), ZONE_MAP, ["n-1", "s-1", "elsewhere", ""], id="unrestricted"),
        pytest.param({"north"}, ZONE_MAP, ["n-1"], id="one-region"),
        pytest.param({"north", "south"}, ZONE_MAP, ["n-1", "s-1"], id="unknown-zones-excluded"),
        pytest.param({"west"}, ZONE_MAP, [], id="region-without-zones"),
        pytest.param({"north"}, ZoneMap(), [], id="no-zones-configured"),
    ],
)
def test_only_backends_in_allowed_regions_are_selected(
    regions: set[str], zone_map: ZoneMap, expected: list[str]
) -> None:
    backends = tuple(
        Backend(backend_id=BackendId(zone), service="s", address=f"{zone}:1", zone=zone)
        for zone in ("n-1", "s-1", "elsewhere", "")
    )
    allowed = backends_in_regions(backends, frozenset(regions), zone_map)
    assert [backend.zone for backend in allowed] == expected


@pytest.mark.parametrize(
    ("zones", "regions", "node_outside"),
    [
        pytest.param(["n-1", "n-2"], {"north"}, "", id="all-in-allowed-regions"),
        pytest.param(["n-1", "s-1"], {"north"}, "s-1", id="one-outside"),
        pytest.param(["n-1", "new"], {"north"}, "new", id="unknown-zone"),
        pytest.param(["n-1", "s-1"], set(), "", id="unrestricted"),
    ],
)
def test_storage_node_outside_allowed_regions_is_found(
    zones: list[str], regions: set[str], node_outside: str
) -> None:
    nodes = [StorageNode(zone, zone) for zone in zones]
    found = find_node_outside(nodes, frozenset(regions), ZONE_MAP)
    assert (found.name if found else "") == node_outside


def document(
    route_regions: tuple[str, ...], tenant_regions: tuple[str, ...] = ()
) -> RoutesDocument:
    route = make_route(RouteKind.REPEATABLE, "s", "/l/", name="r1", allowed_regions=route_regions)
    tenant = Tenant(name="alpha", allowed_regions=tenant_regions)
    services = (Service(name="s"),)
    return RoutesDocument(version=3, routes=(route,), services=services, tenants=(tenant,))


@pytest.mark.parametrize(
    ("checked", "error"),
    [
        pytest.param(document(("north",), ("south",)), "", id="no-common-region-is-valid"),
        pytest.param(document(("atlantis",)), "", id="region-without-zones-is-valid"),
        pytest.param(document(("north", "")), "route 'r1': empty region name", id="route"),
        pytest.param(document((), ("",)), "tenant 'alpha': empty region name", id="tenant"),
    ],
)
def test_empty_region_names_are_rejected(checked: RoutesDocument, error: str) -> None:
    assert find_document_error(checked) == error


@pytest.mark.parametrize(
    ("regions", "allowed"),
    [
        pytest.param({}, (), id="missing"),
        pytest.param({"AllowedRegions": []}, (), id="empty"),
        pytest.param({"AllowedRegions": ["dar"]}, ("dar",), id="one-region"),
    ],
)
def test_allowed_regions_are_read_from_the_configuration(
    regions: dict[str, list[str]], allowed: tuple[str, ...]
) -> None:
    route = {"Name": "r", "Host": "h", "PathPrefix": "/l/", "Type": "idempotent", "Service": "s"}
    tenant = {"Name": "alpha", "ApiKeys": ["k"]}
    body = {
        "Version": 1,
        "Routes": [{**route, **regions}],
        "Services": [{"Name": "s"}],
        "Tenants": [{**tenant, **regions}],
    }
    read = read_document(msgspec.json.encode(body)).unwrap()
    assert read.routes[0].allowed_regions == allowed
    assert read.tenants[0].allowed_regions == allowed


def test_allowed_regions_of_wrong_type_are_rejected_with_their_path() -> None:
    body = b'{"Version":1,"Routes":[],"Services":[],"Tenants":[{"Name":"a","AllowedRegions":"x"}]}'
    read = read_document(body)
    assert isinstance(read, Err)
    assert isinstance(read.err_value, InvalidInputError)
    assert "$.Tenants[0].AllowedRegions" in read.err_value.detail


@pytest.mark.parametrize(
    ("checked", "places"),
    [
        pytest.param(document(("north", "atlantis")), ["route 'r1'"], id="route"),
        pytest.param(document((), ("atlantis",)), ["tenant 'alpha'"], id="tenant"),
        pytest.param(document(("north",), ("south",)), [], id="configured-regions"),
        pytest.param(
            document(("x",) * 30), ["route 'r1'"] * MAXIMUM_WARNINGS, id="warnings-are-limited"
        ),
    ],
)
def test_unknown_regions_cause_warnings(checked: RoutesDocument, places: list[str]) -> None:
    warnings = [e for e in region_warnings(checked, ZONE_MAP) if isinstance(e, LogEvent)]
    assert [warning.fields["named_by"] for warning in warnings] == places


def test_control_daemon_accepts_a_document_with_an_unknown_region() -> None:
    control = LoneControl()
    route = {"Name": "r", "Host": "h", "PathPrefix": "/l/", "Type": "idempotent", "Service": "s"}
    body = {
        "Version": 1,
        "Routes": [{**route, "AllowedRegions": ["atlantis"]}],
        "Services": [{"Name": "s"}],
    }
    request_id = control.request(2.1, "PUT", "/config", body)
    control.run_until(3.0)
    assert control.responses[request_id][0] == 200
