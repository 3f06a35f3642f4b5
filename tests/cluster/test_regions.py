"""Regions that routes and tenants allow: their intersection, and documents that name them."""

import msgspec
import pytest
from result import Err, Ok

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.places import ZoneMap
from merlinstand.cluster.regions import (
    UNRESTRICTED,
    NoCommonRegionError,
    StorageNode,
    common_regions,
    find_node_outside,
    servers_in_regions,
)
from merlinstand.cluster.routes import RouteKind, RoutesDocument, Service, find_document_error
from merlinstand.cluster.tenants import Tenant
from merlinstand.common.errors import InvalidInputError
from merlinstand.common.ids import BackendId
from merlinstand.directory.region_warnings import MOST_WARNINGS, region_warnings
from merlinstand.kernel.effects import LogEvent
from merlinstand_platform.document import read_document
from tests.directory.lone_control import LoneControl
from tests.routes import make_route

PLACES = ZoneMap({"n-1": "north", "n-2": "north", "s-1": "south"})


@pytest.mark.parametrize(
    ("bounds", "allowed"),
    [
        pytest.param([], UNRESTRICTED, id="nothing-binds"),
        pytest.param([(), ()], UNRESTRICTED, id="empty-lists-bind-nothing"),
        pytest.param([("north",), ()], {"north"}, id="route-alone"),
        pytest.param([(), ("south", "north")], {"north", "south"}, id="tenant-alone"),
        pytest.param([("north", "south"), ("south", "west")], {"south"}, id="both"),
        pytest.param([("a", "b"), ("b", "c"), ("a", "b")], {"b"}, id="three"),
    ],
)
def test_what_is_allowed(bounds: list[tuple[str, ...]], allowed: set[str]) -> None:
    assert common_regions(*bounds) == Ok(frozenset(allowed))


def test_bounds_without_a_common_region_are_told() -> None:
    common = common_regions(("north", "west"), ("south",))
    assert common == Err(
        NoCommonRegionError(detail="no region is common to [north, west] and [south]")
    )


@pytest.mark.parametrize(
    ("regions", "places", "expected"),
    [
        pytest.param(set(), PLACES, ["n-1", "s-1", "elsewhere", ""], id="anywhere"),
        pytest.param({"north"}, PLACES, ["n-1"], id="one-region"),
        pytest.param({"north", "south"}, PLACES, ["n-1", "s-1"], id="unknown-zones-left-out"),
        pytest.param({"west"}, PLACES, [], id="region-without-zones"),
        pytest.param({"north"}, ZoneMap(), [], id="no-zones-known"),
    ],
)
def test_servers_that_may_be_asked(regions: set[str], places: ZoneMap, expected: list[str]) -> None:
    servers = tuple(
        Backend(backend_id=BackendId(zone), service="s", address=f"{zone}:1", zone=zone)
        for zone in ("n-1", "s-1", "elsewhere", "")
    )
    allowed = servers_in_regions(servers, frozenset(regions), places)
    assert [server.zone for server in allowed] == expected


@pytest.mark.parametrize(
    ("zones", "regions", "outsider"),
    [
        pytest.param(["n-1", "n-2"], {"north"}, "", id="all-inside"),
        pytest.param(["n-1", "s-1"], {"north"}, "s-1", id="one-outside"),
        pytest.param(["n-1", "new"], {"north"}, "new", id="zone-unknown"),
        pytest.param(["n-1", "s-1"], set(), "", id="anywhere"),
    ],
)
def test_machines_that_may_keep(zones: list[str], regions: set[str], outsider: str) -> None:
    machines = [StorageNode(zone, zone) for zone in zones]
    found = find_node_outside(machines, frozenset(regions), PLACES)
    assert (found.name if found else "") == outsider


def document(of_route: tuple[str, ...], of_tenant: tuple[str, ...] = ()) -> RoutesDocument:
    route = make_route(RouteKind.REPEATABLE, "s", "/l/", name="r1", allowed_regions=of_route)
    tenant = Tenant(name="alpha", allowed_regions=of_tenant)
    services = (Service(name="s"),)
    return RoutesDocument(version=3, routes=(route,), services=services, tenants=(tenant,))


@pytest.mark.parametrize(
    ("made", "fault"),
    [
        pytest.param(document(("north",), ("south",)), "", id="a-pair-without-common-region"),
        pytest.param(document(("atlantis",)), "", id="a-region-without-zones"),
        pytest.param(document(("north", "")), "route 'r1': a region without a name", id="route"),
        pytest.param(document((), ("",)), "tenant 'alpha': a region without a name", id="tenant"),
    ],
)
def test_which_documents_are_valid(made: RoutesDocument, fault: str) -> None:
    assert find_document_error(made) == fault


@pytest.mark.parametrize(
    ("regions", "allowed"),
    [
        pytest.param({}, (), id="not-given"),
        pytest.param({"AllowedRegions": []}, (), id="empty"),
        pytest.param({"AllowedRegions": ["dar"]}, ("dar",), id="given"),
    ],
)
def test_regions_in_an_operators_configuration(
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


def test_a_list_that_is_none_is_refused_with_its_place() -> None:
    body = b'{"Version":1,"Routes":[],"Services":[],"Tenants":[{"Name":"a","AllowedRegions":"x"}]}'
    read = read_document(body)
    assert isinstance(read, Err)
    assert isinstance(read.err_value, InvalidInputError)
    assert "$.Tenants[0].AllowedRegions" in read.err_value.detail


@pytest.mark.parametrize(
    ("made", "places"),
    [
        pytest.param(document(("north", "atlantis")), ["route 'r1'"], id="route"),
        pytest.param(document((), ("atlantis",)), ["tenant 'alpha'"], id="tenant"),
        pytest.param(document(("north",), ("south",)), [], id="known"),
        pytest.param(document(("x",) * 30), ["route 'r1'"] * MOST_WARNINGS, id="many"),
    ],
)
def test_operators_are_warned_of_regions_that_are_not_there(
    made: RoutesDocument, places: list[str]
) -> None:
    warnings = [e for e in region_warnings(made, PLACES) if isinstance(e, LogEvent)]
    assert [warning.fields["place"] for warning in warnings] == places


def test_a_control_daemon_takes_a_document_with_an_unknown_region() -> None:
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
