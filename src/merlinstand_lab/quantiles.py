"""Quantiles of measured values by nearest rank."""

from collections.abc import Sequence

_THOUSANDTHS = 1000


def nearest_rank(ordered: Sequence[float], share: float) -> float:
    """Return the smallest value that at least a share of all values do not exceed.

    Args:
        ordered: At least one value, in ascending order.
        share: Between 0 and 1, counted in whole thousandths: 0.9 of 20 must not become the
            19th of them by a rounding error.
    """
    rank = -(-len(ordered) * round(share * _THOUSANDTHS) // _THOUSANDTHS)
    return ordered[max(rank, 1) - 1]


def quantile(ordered: Sequence[float], share: float) -> float | None:
    """Return the nearest rank, or None without values."""
    return nearest_rank(ordered, share) if ordered else None
