"""Creates routes for tests, with default values for all fields that a test does not set."""

from typing import Any

from merlinstand.cluster.routes import Route, RouteKind, RouteTarget


def make_route(kind: RouteKind, service: str, path_prefix: str, **fields: Any) -> Route:
    """Create a route of host `h` to one service.

    Args:
        kind: How its requests may be executed.
        service: Target of all its requests.
        path_prefix: Must begin and end with a slash.
        **fields: Further fields of `Route`, which override the defaults.
    """
    defaults: dict[str, Any] = {"name": "r", "host": "h", "timeout_seconds": 1.5}
    targets = (RouteTarget(service, 1.0),)
    return Route(kind=kind, path_prefix=path_prefix, targets=targets, **(defaults | fields))
