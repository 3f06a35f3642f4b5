"""Draws a backend by the shares that the control leader published for a busy service.

The choice is random because processes with the same information would otherwise all choose the same
backend.
"""

from collections.abc import Sequence

from merlinstand.cluster.backends import Backend
from merlinstand.common.median import median
from merlinstand.server_load.reports import ServerShare


def draw_by_share(
    backends: Sequence[Backend], server_shares: Sequence[ServerShare], random_value: float
) -> Backend:
    """Draw a backend.

    Args:
        backends: Candidates, at least one.
        server_shares: Published shares; a candidate without one gets the median share.
        random_value: Evenly distributed from 0 to 1.
    """
    weights = _weights(backends, server_shares)
    remaining = random_value * sum(weights)
    for backend, weight in zip(backends, weights, strict=True):
        remaining -= weight
        if remaining < 0.0:
            return backend
    # Reached only through rounding errors; avoids candidates with a share of 0.
    return max(zip(weights, backends, strict=True), key=lambda pair: pair[0])[1]


def _weights(backends: Sequence[Backend], server_shares: Sequence[ServerShare]) -> list[float]:
    """Return each candidate's share, or equal weights if the shares sum to zero."""
    shares = {server.backend_id: server.share for server in server_shares}
    median_share = median(shares.values()) if shares else 1.0
    weights = [shares.get(backend.backend_id, median_share) for backend in backends]
    return weights if sum(weights) > 0.0 else [1.0] * len(weights)
