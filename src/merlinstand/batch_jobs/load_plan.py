"""Which engines begin to load new weights, and how (pure decisions).

Used by the leading keeper's weight loader at each tick. While an engine loads, no run begins there;
so only a share of a service's engines loads at once, those with the fewest runs first.
"""

from collections.abc import Callable, Sequence

from merlinstand.batch_jobs.engine_interface import LoadMode
from merlinstand.batch_jobs.engines import EngineState
from merlinstand.cluster.routes import RouteKind, RouteTable

PARALLEL_SHARE = 0.4
"""Share of a service's engines that may load at once; those that leave don't count. Chosen, not
measured: the limit of parallel loads isn't known (docs/PLATFORM-QUESTIONS.md)."""


def engines_to_load(
    engines: Sequence[EngineState],
    loading: int,
    is_behind: Callable[[EngineState], bool],
    parallel_share: float,
) -> list[EngineState]:
    """Choose the engines of one service that begin to load a version now.

    Args:
        engines: All of the service.
        loading: How many of them are loading anything.
        is_behind: Whether an engine is to load the version and may begin now.
        parallel_share: Share that may load at once, at least one; `PARALLEL_SHARE`.
    """
    staying = sum(1 for state in engines if not state.backend.is_draining)
    limit = max(1, round(staying * parallel_share))
    behind = [state for state in engines if is_behind(state)]
    behind.sort(key=lambda state: state.running)
    return behind[: max(0, limit - loading)]


def load_mode(model: str, routes: RouteTable) -> LoadMode:
    """Runs go on under new weights unless a route wants one version a text."""
    services = {service.name for service in routes.services.values() if model in service.models}
    for route in routes.document.routes:
        is_strict = route.kind is RouteKind.BATCH and route.single_version
        if is_strict and any(target.service in services for target in route.targets):
            return LoadMode.LET_END
    return LoadMode.GO_ON
