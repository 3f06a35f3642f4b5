"""Draw a back end by the shares that the control leader published of a busy service.

Pure. Drawn at random, since processes that know the same would otherwise all choose the same one.
"""

from collections.abc import Sequence

from merlinstand.cluster.backends import Backend
from merlinstand.common.median import median
from merlinstand.server_load.reports import ServerShare


def draw_by_share(
    backends: Sequence[Backend], servers: Sequence[ServerShare], random_value: float
) -> Backend:
    """Draw a back end.

    Args:
        backends: Candidates, at least one.
        servers: What is published; a candidate that is not among them gets the median share.
        chance: 0 to 1, evenly distributed.
    """
    weights = _weights(backends, servers)
    remaining = random_value * sum(weights)
    for backend, weight in zip(backends, weights, strict=True):
        remaining -= weight
        if remaining < 0.0:
            return backend
    # Rounding may leave a rest; one without a share is the last choice.
    return max(zip(weights, backends, strict=True), key=lambda pair: pair[0])[1]


def _weights(backends: Sequence[Backend], servers: Sequence[ServerShare]) -> list[float]:
    """Give each candidate's share; even ones if none of them has any."""
    shares = {server.backend_id: server.share for server in servers}
    median_share = median(shares.values()) if shares else 1.0
    weights = [shares.get(backend.backend_id, median_share) for backend in backends]
    return weights if sum(weights) > 0.0 else [1.0] * len(weights)
