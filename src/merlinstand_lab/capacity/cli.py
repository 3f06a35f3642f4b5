"""`merlinstand-lab capacity`: cost against size, slope by slope."""

from pathlib import Path

import click

from merlinstand_lab.capacity.results import Measured, group_series, read_measured, write_measured

DEFAULT_OUTPUT = Path("docs/capacity")


@click.group(name="capacity")
@click.option(
    "--output",
    type=click.Path(path_type=Path, file_okay=False),
    default=DEFAULT_OUTPUT,
    show_default=True,
    help="Folder of the CSV files and plots.",
)
@click.pass_context
def command(context: click.Context, output: Path) -> None:
    """Measure what each role costs against the size of the deployment.

    Example: merlinstand-lab capacity daemons --sizes 70,160,320,630
    """
    context.obj = output


def finish(output: Path, name: str, rows: list[Measured]) -> None:
    """Write a measurement's CSV file and print its slopes."""
    path = write_measured(output, name, rows)
    click.echo(f"{len(rows)} rows in {path}")
    print_slopes(rows)


def print_slopes(rows: list[Measured]) -> None:
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


@command.command()
@click.pass_obj
def codecs(output: Path) -> None:
    """Size and processor time of the large messages.

    Example: merlinstand-lab capacity codecs
    """
    from merlinstand_lab.capacity.measurements.codecs import measure_codecs

    finish(output, "codecs", measure_codecs())


@command.command()
@click.pass_obj
def plot(output: Path) -> None:
    """Redraw every plot from the CSV files.

    Example: merlinstand-lab capacity plot
    """
    from merlinstand_lab.capacity.plots import draw_all

    for path in draw_all(output):
        click.echo(str(path))


@command.command()
@click.pass_obj
def slopes(output: Path) -> None:
    """Print every fitted slope of the CSV files.

    Example: merlinstand-lab capacity slopes
    """
    print_slopes(read_measured(output))
