"""Straight-line fits of cost against size, with residuals and confidence."""

import math
from collections.abc import Sequence

import msgspec

MINIMUM_POINTS = 3
"""Count: two points leave no residual to judge the line by."""

_STUDENT_975 = (
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
    2.201, 2.179, 2.160, 2.145, 2.131, 2.120, 2.110, 2.101, 2.093, 2.086,
)  # fmt: skip
"""97.5% quantiles of Student's t for 1, 2, … degrees of freedom."""
_NORMAL_975 = 1.96
"""97.5% quantile of the standard normal distribution."""


class Slope(msgspec.Struct, frozen=True, kw_only=True):
    """A fitted line `value = intercept + slope * size`."""

    intercept: float
    slope: float
    slope_half_width: float
    """Half of the 95% confidence interval of the slope."""
    relative_residual: float
    """Largest absolute residual as a share of the largest measured value."""
    largest_size: float
    points: int

    def at(self, size: float) -> float:
        """Return the line's value at a size."""
        return self.intercept + self.slope * size

    def extrapolation(self, size: float) -> float:
        """Return how many times beyond the largest measured size a size lies."""
        return size / self.largest_size

    @property
    def is_flat(self) -> bool:
        """Whether a slope of zero lies within the confidence interval."""
        return abs(self.slope) <= self.slope_half_width


def fit_slope(sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """Fit a line by least squares.

    Args:
        sizes: At least `MINIMUM_POINTS` sizes, not all equal.
        values: The measured value at each size.

    Raises:
        ValueError: Too few points to fit a line and judge it.
    """
    if len(sizes) != len(values) or len(sizes) < MINIMUM_POINTS or len(set(sizes)) < 2:
        raise ValueError(f"a slope needs {MINIMUM_POINTS} points at two sizes or more")
    mean_size = sum(sizes) / len(sizes)
    mean_value = sum(values) / len(values)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    pairs = list(zip(sizes, values, strict=True))
    slope = sum((size - mean_size) * (value - mean_value) for size, value in pairs) / spread
    intercept = mean_value - slope * mean_size
    residuals = [value - (intercept + slope * size) for size, value in pairs]
    freedom = len(pairs) - 2
    error = math.sqrt(sum(residual**2 for residual in residuals) / freedom)
    scale = max(map(abs, values)) or 1.0
    return Slope(
        intercept=intercept,
        slope=slope,
        slope_half_width=student_quantile(freedom) * error / math.sqrt(spread),
        relative_residual=max(map(abs, residuals)) / scale,
        largest_size=max(sizes),
        points=len(pairs),
    )


def student_quantile(freedom: int) -> float:
    """Return the 97.5% quantile of Student's t (the normal's beyond the table)."""
    if freedom <= len(_STUDENT_975):
        return _STUDENT_975[freedom - 1]
    return _NORMAL_975
