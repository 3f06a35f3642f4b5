"""Writes every fitted slope, with its value at the target size, as a Markdown table."""

from collections.abc import Sequence
from pathlib import Path

from merlinstand_lab.capacity.marks import Mark, mark_of
from merlinstand_lab.capacity.results import Measured, Series, group_series
from merlinstand_lab.capacity.slopes import Slope

FILE_NAME = "SLOPES.md"
_HEADING = """# Slopes

Written by `merlinstand-lab capacity slopes` from the CSV files beside it; not edited by hand.
`daemons` can be measured again; the other files are records of earlier measurements. A
line is `value = intercept + slope x size`; `+-` is half of the slope's 95% confidence interval;
the residual is the largest one as a share of the largest value; `beyond` says how many times past
the largest measured size the target lies.
"""
_COLUMNS = (
    "role", "metric", "sizes", "values", "intercept", "slope", "+-", "residual", "at target",
    "beyond", "bound",
)  # fmt: skip


def write_slope_table(folder: Path, rows: Sequence[Measured]) -> Path:
    """Write the table of all series and return its path."""
    lines = [_HEADING]
    measurement = ""
    for series in group_series(rows):
        if series.measurement != measurement:
            measurement = series.measurement
            lines.append(f"\n## {measurement}\n\n")
            lines.append(_line(_COLUMNS) + _line(["---"] * len(_COLUMNS)))
        lines.append(_line(_cells(series)))
    path = folder / FILE_NAME
    path.write_text("".join(lines), encoding="utf-8")
    return path


def _cells(series: Series) -> list[str]:
    mark = mark_of(series)
    sizes = ", ".join(f"{size:g}" for size in series.sizes)
    values = ", ".join(f"{value:.3g}" for value in series.values)
    bound = "" if mark.bound is None else f"{mark.bound:g}"
    names = [series.role, series.metric, f"{series.size_name}: {sizes}", values]
    slope = series.slope()
    if slope is None:
        return [*names, *[""] * 5, bound]
    return [*names, *_slope_cells(slope, mark), bound]


def _slope_cells(slope: Slope, mark: Mark) -> list[str]:
    cells = [
        f"{slope.intercept:.3g}",
        f"{slope.slope:.3g}",
        f"{slope.slope_half_width:.2g}",
        f"{slope.relative_residual:.0%}",
    ]
    if mark.target_size is None:
        return [*cells, "", ""]
    beyond = slope.extrapolation(mark.target_size)
    return [*cells, f"{slope.at(mark.target_size):.3g}", f"{beyond:.2g}"]


def _line(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |\n"
