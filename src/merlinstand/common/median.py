"""The median without `statistics`, which loads `fractions` and `decimal` (0.2 MB per process)."""

from collections.abc import Iterable


def median(values: Iterable[float]) -> float:
    """Return the middle value, or the mean of the two middle values.

    Args:
        values: Must not be empty.
    """
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2
