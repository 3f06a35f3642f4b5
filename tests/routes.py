"""Routes for tests: what a test does not name has a usual value."""

from typing import Any

from merlinstand.cluster.routes import Route, RouteKind, RouteTarget


def make_route(kind: RouteKind, service: str, path_prefix: str, **fields: Any) -> Route:
    """Make a route of host `h` with one service.

    Args:
        kind: What its requests allow.
        service: Where all of its requests go.
        path_prefix: Begins and ends with a slash.
        **fields: Fields of `Route` that the test is about.
    """
    usual: dict[str, Any] = {"name": "r", "host": "h", "timeout_seconds": 1.5}
    targets = (RouteTarget(service, 1.0),)
    return Route(kind=kind, path_prefix=path_prefix, targets=targets, **(usual | fields))
