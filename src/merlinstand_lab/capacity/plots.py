"""Draws each series with its fitted line, the target size and the bound."""

import math
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from merlinstand_lab.capacity.marks import mark_of
from merlinstand_lab.capacity.results import Series, group_series, read_measured

PANEL_WIDTH_INCHES = 4.6
PANEL_HEIGHT_INCHES = 3.2
PANELS_PER_ROW = 3
DOTS_PER_INCH = 80
HEADROOM = 1.15


def draw_all(folder: Path) -> list[Path]:
    """Redraw one PNG for each CSV file of a folder, with a panel for each fitted series.

    Returns:
        The files written.
    """
    by_measurement: dict[str, list[Series]] = {}
    for series in group_series(read_measured(folder)):
        if series.slope() is not None:
            by_measurement.setdefault(series.measurement, []).append(series)
    return [draw_measurement(folder, name, found) for name, found in by_measurement.items()]


def draw_measurement(folder: Path, name: str, found: list[Series]) -> Path:
    """Draw the panels of one measurement and return the file's path."""
    columns = min(PANELS_PER_ROW, len(found))
    rows = math.ceil(len(found) / columns)
    figure, grid = pyplot.subplots(
        rows,
        columns,
        figsize=(columns * PANEL_WIDTH_INCHES, rows * PANEL_HEIGHT_INCHES),
        layout="constrained",
        squeeze=False,
    )
    panels = list(grid.flat)
    for axes, series in zip(panels, found, strict=False):
        _draw_panel(axes, series)
    for axes in panels[len(found) :]:
        axes.set_axis_off()
    figure.suptitle(f"merlinstand-lab capacity {name}")
    path = folder / f"{name}.png"
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)
    return path


def _draw_panel(axes: Any, series: Series) -> None:
    slope = series.slope()
    assert slope is not None
    mark = mark_of(series)
    end = max(slope.largest_size, mark.target_size or 0.0)
    axes.plot(series.sizes, series.values, "o", label="measured", zorder=3)
    axes.plot(
        [0.0, end],
        [slope.at(0.0), slope.at(end)],
        label=f"{slope.intercept:.3g} + {slope.slope:.3g} x",
    )
    if mark.target_size is not None:
        axes.axvline(
            mark.target_size, color="tab:green", ls="--", label=f"target {mark.target_size:g}"
        )
    if mark.bound is not None:
        axes.axhline(mark.bound, color="tab:red", ls=":", label=f"bound {mark.bound:g}")
    axes.set_xlabel(series.size_name.replace("_", " "))
    axes.set_title(f"{series.role}: {series.metric.replace('_', ' ')}", fontsize=9)
    top = max(*series.values, slope.at(end), mark.bound or 0.0)
    axes.set_ylim(min(0.0, *series.values), top * HEADROOM if top > 0 else None)
    axes.grid(alpha=0.3)
    axes.legend(fontsize=7)
