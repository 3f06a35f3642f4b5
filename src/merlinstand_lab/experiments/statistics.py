"""Paired comparison over seeds with bootstrap confidence intervals."""

import math
import random

import msgspec

RESAMPLES = 2000
CONFIDENCE = 0.95
BOOTSTRAP_SEED = 20_240_607


class Interval(msgspec.Struct, frozen=True):
    """A mean with its confidence interval."""

    mean: float
    low: float
    high: float

    @property
    def excludes_zero(self) -> bool:
        """Whether the whole interval lies on one side of zero."""
        return self.low > 0.0 or self.high < 0.0


def mean_interval(values: list[float]) -> Interval:
    """Return the mean and its percentile-bootstrap interval (Efron 1979).

    Args:
        values: One value for each seed; values that are not numbers are left out.
    """
    kept = [value for value in values if not math.isnan(value)]
    if not kept:
        return Interval(math.nan, math.nan, math.nan)
    source = random.Random(BOOTSTRAP_SEED)
    count = len(kept)
    means = sorted(sum(source.choices(kept, k=count)) / count for _ in range(RESAMPLES))
    tail = (1.0 - CONFIDENCE) / 2.0
    return Interval(
        mean=sum(kept) / count,
        low=means[int(tail * RESAMPLES)],
        high=means[int((1.0 - tail) * RESAMPLES) - 1],
    )


def paired_difference(values: list[float], others: list[float]) -> Interval:
    """Return the interval of `values - others`, seed by seed."""
    return mean_interval([a - b for a, b in zip(values, others, strict=True)])
