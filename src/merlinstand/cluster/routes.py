"""The routes document: which requests go to which service, and within which bounds."""

import enum

import msgspec

from merlinstand.cluster.regions import find_region_error
from merlinstand.cluster.tenants import Tenant, TenantTable, find_tenant_error


class RouteKind(enum.Enum):
    """What the requests of a route allow."""

    REPEATABLE = "repeatable"
    """May run more than once."""
    ONCE = "once"
    """Runs at most once for each caller's try."""
    STREAM = "stream"
    """Answered by a stream of events."""
    BATCH = "batch"
    """Batch jobs: accepted first, run later."""


class RouteTarget(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A part of a route's traffic."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one host below one path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_seconds: float
    """Longest time that a request may be held."""
    target_latency_seconds: float = 1.0
    """Time within which an answer is fully useful."""
    priority: int = 5
    """0 is the most urgent."""
    targets: tuple[RouteTarget, ...]
    maximum_attempts: int = 1
    """Most servers that one request may be sent to."""
    is_resumable: bool = False
    """A broken stream may go on at another server."""
    result_deadline_seconds: float = 60.0
    """Batch jobs: how long after it was sent all results are due."""
    maximum_queue_seconds: float = 600.0
    """Batch jobs: how long after it was sent an item may be given up."""
    single_version: bool = False
    """Batch jobs: one weight version makes the whole text of an item."""
    is_public: bool = False
    """Requests need no key where there are tenants."""
    allowed_regions: tuple[str, ...] = ()
    """Regions in which its requests may be served and kept; without any, all of them."""


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """Back ends that serve the same requests."""

    name: str
    health_path: str = ""
    maximum_connections: int = 0
    """Connections that one back end takes from all callers; 0 if unknown."""
    slots: int = 0
    """Requests that one engine works on at once; 0 if it is no engine."""
    models: tuple[str, ...] = ()
    """Models that the service's engines hold."""
    cold_start_seconds: float = 0.0
    """A server stays cold this long after its start; 0 if it bears everything at once."""
    cold_requests_per_second: float = 0.0
    """Requests a second that a cold server bears from all callers together; 0 for any number."""


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on what callers may send."""

    maximum_head_bytes: int = 64 * 1024
    maximum_body_bytes: int = 8 * 1024 * 1024
    head_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 60.0


class RoutesDocument(msgspec.Struct, frozen=True, kw_only=True):
    """One whole configuration under the operator's own version number."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: RequestLimits = RequestLimits()
    tenants: tuple[Tenant, ...] = ()
    """Without any, requests need no key."""


def find_document_error(document: RoutesDocument) -> str:
    """Give what makes a document invalid.

    Returns:
        The place and the reason; empty if the document is valid.
    """
    services = {service.name for service in document.services}
    places: dict[tuple[str, str], str] = {}
    for route in document.routes:
        fault = _route_fault(route, services)
        if fault:
            return f"route {route.name!r}: {fault}"
        place = (route.host.lower(), route.path_prefix)
        if place in places:
            return f"route {route.name!r}: same host and prefix as {places[place]!r}"
        places[place] = route.name
    return find_tenant_error(document.tenants)


def _route_fault(route: Route, services: set[str]) -> str:
    if route.timeout_seconds <= 0.0:
        return "time-out is not above 0"
    if not route.targets:
        return "no service"
    for target in route.targets:
        if target.service not in services:
            return f"unknown service {target.service!r}"
        if target.weight < 0:
            return "negative weight"
    if sum(target.weight for target in route.targets) <= 0:
        return "weights add up to 0"
    return find_region_error(route.allowed_regions)


def live_services(document: RoutesDocument | None) -> frozenset[str]:
    """Services that gateways themselves send requests to: not those of batch items alone."""
    routes = document.routes if document is not None else ()
    return frozenset(
        target.service
        for route in routes
        if route.kind is not RouteKind.BATCH
        for target in route.targets
    )


class RouteTable:
    """Looks routes up by host and longest path prefix."""

    def __init__(self, document: RoutesDocument) -> None:
        """Index a document."""
        self.document = document
        self.services = {service.name: service for service in document.services}
        self.tenants = TenantTable(document.tenants)
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in document.routes:
            self._by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Give the route of a request.

        Args:
            host: `Host` header, with or without port.
            path: Path without query.
        """
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        # Prefixes end with a slash: only the path's own slashes can end one.
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
