"""Draws each series with its fitted line, the target size and the bound."""

from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

from merlinstand_lab.capacity.marks import Mark, mark_of
from merlinstand_lab.capacity.results import Series, group_series, read_measured

FIGURE_INCHES = (5.2, 3.6)
FIGURE_DOTS_PER_INCH = 90


def draw_all(folder: Path) -> list[Path]:
    """Redraw a PNG for every series of a folder's CSV files that has a fitted line.

    Returns:
        The files written.
    """
    for old in folder.glob("*.png"):
        old.unlink()
    drawn = []
    for series in group_series(read_measured(folder)):
        if series.slope() is not None:
            drawn.append(draw_series(folder, series))
    return drawn


def draw_series(folder: Path, series: Series) -> Path:
    """Draw one series and return the file's path."""
    slope = series.slope()
    assert slope is not None
    mark = mark_of(series)
    figure, axes = pyplot.subplots(figsize=FIGURE_INCHES, layout="constrained")
    axes.plot(series.sizes, series.values, "o", label="measured", zorder=3)
    end = max(slope.largest_size, mark.target_size or 0.0)
    axes.plot(
        [0.0, end],
        [slope.at(0.0), slope.at(end)],
        label=f"fit: {slope.intercept:.3g} + {slope.slope:.3g}·x",
    )
    _draw_mark(axes, mark)
    axes.set_xlabel(series.size_name.replace("_", " "))
    axes.set_ylabel(series.metric.replace("_", " "))
    axes.set_title(f"{series.role} ({series.measurement})", fontsize=10)
    axes.set_ylim(bottom=min(0.0, *series.values))
    axes.grid(alpha=0.3)
    axes.legend(fontsize=8)
    path = folder / f"{series.name}.png"
    figure.savefig(path, dpi=FIGURE_DOTS_PER_INCH)
    pyplot.close(figure)
    return path


def _draw_mark(axes: "pyplot.Axes", mark: Mark) -> None:
    if mark.target_size is not None:
        axes.axvline(
            mark.target_size,
            color="tab:green",
            linestyle="--",
            label=f"target {mark.target_size:g}",
        )
    if mark.bound is not None:
        axes.axhline(mark.bound, color="tab:red", linestyle=":", label=f"bound {mark.bound:g}")
