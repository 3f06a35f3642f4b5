"""Chooses the engines that start to load new weights, and how they load (pure functions).

No run starts on an engine while it loads weights. So only a share of a service's engines loads at
the same time, beginning with the engines that have the fewest runs.
"""

from collections.abc import Callable, Sequence

from merlinstand.batch_jobs.engine_interface import LoadMode
from merlinstand.batch_jobs.engines import EngineState
from merlinstand.cluster.routes import RouteKind, RouteTable

PARALLEL_LOAD_SHARE = 0.4
"""Share of a service's engines, not counting draining ones, that may load at once. The platform's
limit on parallel loads is unknown (docs/PLATFORM-QUESTIONS.md)."""


def engines_to_load(
    engines: Sequence[EngineState],
    loading_count: int,
    is_behind: Callable[[EngineState], bool],
    parallel_share: float,
) -> list[EngineState]:
    """Choose the engines of one service that start to load a version now.

    Args:
        engines: All engines of the service.
        loading_count: Number of them that are loading weights of any model.
        is_behind: Whether an engine needs the version and may start to load it now.
        parallel_share: Share that may load at once, rounded, but at least one engine.
    """
    staying_count = sum(1 for state in engines if not state.backend.is_draining)
    limit = max(1, round(staying_count * parallel_share))
    behind = [state for state in engines if is_behind(state)]
    behind.sort(key=lambda state: state.running)
    return behind[: max(0, limit - loading_count)]


def load_mode(model: str, routes: RouteTable) -> LoadMode:
    """Return the load mode of a model.

    Runs continue under the new weights, unless a batch route requires a single version per text.
    """
    services = {service.name for service in routes.services.values() if model in service.models}
    for route in routes.document.routes:
        requires_single_version = route.kind is RouteKind.BATCH and route.single_version
        if requires_single_version and any(target.service in services for target in route.targets):
            return LoadMode.DRAIN
    return LoadMode.CONTINUE
