"""The median, without `statistics` and the fractions and decimals behind it: 0.2 MB."""

from collections.abc import Iterable


def median(values: Iterable[float]) -> float:
    """Give the middle value, or the mean of the middle two.

    Args:
        values: At least one.
    """
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2
