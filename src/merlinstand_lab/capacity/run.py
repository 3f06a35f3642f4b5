"""Runs one measurement from the command line: its folder, its CSV file, its printed slopes."""

import shutil
import tempfile
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

import click
import msgspec

from merlinstand_lab.capacity.results import Measured, add_measured, group_series

DEFAULT_OUTPUT = Path("docs/capacity")


class OutputOptions(msgspec.Struct, frozen=True):
    """Options of the command group, for every measurement."""

    folder: Path = DEFAULT_OUTPUT
    add: bool = False
    """Keep earlier rows of sizes that are not measured now."""


class IntegerList(click.ParamType):
    """Comma-separated integers."""

    name = "N,N,…"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[int, ...]:
        """Read the list."""
        if isinstance(value, tuple):
            return value
        try:
            return tuple(int(part) for part in str(value).split(","))
        except ValueError:
            self.fail(f"{value!r} is no list of integers", param, ctx)


INTEGERS = IntegerList()


def run_measurement(options: OutputOptions, measure: Callable[[Path], Iterable[Measured]]) -> None:
    """Measure, write the CSV file and print the slopes.

    A measurement that fails at one size keeps the rows of the sizes before it.
    """
    rows: list[Measured] = []
    try:
        with _run_folder() as folder:
            rows.extend(measure(folder))
    finally:
        _finish(options, rows)


def print_slopes(rows: Sequence[Measured]) -> None:
    """Print one line a series: fitted line, confidence and residual."""
    for series in group_series(rows):
        slope = series.slope()
        if slope is None:
            values = ", ".join(f"{value:.4g}" for value in series.values)
            click.echo(f"{series.name}: {values}")
            continue
        click.echo(
            f"{series.name}: {slope.intercept:.4g} + {slope.slope:.4g} x"
            f" (slope +-{slope.slope_half_width:.2g}, worst residual"
            f" {slope.relative_residual:.1%}, {slope.points} points)"
        )


def _finish(options: OutputOptions, rows: Sequence[Measured]) -> None:
    for name in dict.fromkeys(row.measurement for row in rows):
        path = add_measured(
            options.folder,
            name,
            [row for row in rows if row.measurement == name],
            keep_other_sizes=options.add,
        )
        click.echo(f"rows in {path}")
    print_slopes(rows)


@contextmanager
def _run_folder() -> Iterator[Path]:
    """Give a folder for the files of one measurement's processes; kept if it fails."""
    path = Path(tempfile.mkdtemp(prefix="merlinstand-capacity-"))
    try:
        yield path
    except BaseException:
        click.echo(f"files of the failed run are kept in {path}", err=True)
        raise
    shutil.rmtree(path, ignore_errors=True)
