"""`merlinstand-lab capacity`: cost against size, slope by slope."""

from pathlib import Path

import click

from merlinstand_lab.capacity.results import read_measured
from merlinstand_lab.capacity.run import (
    DEFAULT_OUTPUT,
    INTEGERS,
    OutputOptions,
    print_slopes,
    run_measurement,
)
from merlinstand_lab.capacity.slope_table import write_slope_table


@click.group(name="capacity")
@click.option(
    "--output",
    type=click.Path(path_type=Path, file_okay=False),
    default=DEFAULT_OUTPUT,
    show_default=True,
    help="Folder of the CSV files and of the table of slopes.",
)
@click.option("--add", is_flag=True, help="Keep earlier rows of sizes not measured now.")
@click.pass_context
def command(context: click.Context, output: Path, add: bool) -> None:
    """Measure what control costs against the size of the deployment.

    Example: merlinstand-lab capacity daemons --sizes 70,160,320,630
    """
    context.obj = OutputOptions(output, add)


@command.command()
@click.option("--replicas", type=INTEGERS, default="7", show_default=True)
@click.option("--sizes", type=INTEGERS, default="70,160,320,630", show_default=True)
@click.option("--seconds", default=20.0, show_default=True, help="Length of each window.")
@click.pass_obj
def daemons(
    options: OutputOptions, replicas: tuple[int, ...], sizes: tuple[int, ...], seconds: float
) -> None:
    """Steady cost of control against the number of daemons.

    Example: merlinstand-lab capacity daemons --replicas 7 --sizes 70,160,320,630
    """
    from merlinstand_lab.capacity.daemons import measure_daemons

    run_measurement(options, lambda folder: measure_daemons(folder, replicas, sizes, seconds))


@command.command()
@click.pass_obj
def slopes(options: OutputOptions) -> None:
    """Print every fitted slope of the CSV files and write the table of slopes.

    Example: merlinstand-lab capacity slopes
    """
    rows = read_measured(options.folder)
    print_slopes(rows)
    click.echo(str(write_slope_table(options.folder, rows)))
