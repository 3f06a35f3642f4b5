"""Fits of cost against size."""

import pytest

from merlinstand_lab.capacity.slopes import fit_slope


def test_an_exact_line_is_found_without_residual() -> None:
    slope = fit_slope([1, 2, 4, 8], [5, 7, 11, 19])
    assert slope.slope == pytest.approx(2.0)
    assert slope.intercept == pytest.approx(3.0)
    assert slope.relative_residual == pytest.approx(0.0, abs=1e-12)
    assert slope.at(630) == pytest.approx(1263.0)
    assert slope.extrapolation(16) == 2.0
    assert not slope.is_flat


def test_noise_around_a_constant_is_flat() -> None:
    slope = fit_slope([70, 160, 320, 630], [1.0, 1.1, 0.95, 1.02])
    assert slope.is_flat
    assert slope.relative_residual < 0.1


def test_confidence_matches_the_closed_form() -> None:
    # Residuals of 0.1, -0.2, 0.1 at x = 1, 2, 3: s^2 = 0.06, spread = 2, t(1) = 12.706.
    slope = fit_slope([1, 2, 3], [1.1, 1.8, 3.1])
    assert slope.slope == pytest.approx(1.0)
    assert slope.slope_half_width == pytest.approx(12.706 * (0.06 / 2) ** 0.5)


@pytest.mark.parametrize(("sizes", "values"), [([1, 2], [1, 2]), ([5, 5, 5], [1, 2, 3])])
def test_too_few_points_are_refused(sizes: list[float], values: list[float]) -> None:
    with pytest.raises(ValueError, match="slope needs"):
        fit_slope(sizes, values)
