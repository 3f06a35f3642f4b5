"""`merlinstand-lab capacity`: cost against size, slope by slope."""

from pathlib import Path

import click

from merlinstand_lab.capacity import cli_control, cli_traffic
from merlinstand_lab.capacity.results import read_measured
from merlinstand_lab.capacity.run import (
    DEFAULT_OUTPUT,
    OutputOptions,
    print_slopes,
    run_measurement,
)


@click.group(name="capacity")
@click.option(
    "--output",
    type=click.Path(path_type=Path, file_okay=False),
    default=DEFAULT_OUTPUT,
    show_default=True,
    help="Folder of the CSV files and plots.",
)
@click.option("--add", is_flag=True, help="Keep earlier rows of sizes not measured now.")
@click.pass_context
def command(context: click.Context, output: Path, add: bool) -> None:
    """Measure what each role costs against the size of the deployment.

    Example: merlinstand-lab capacity daemons --sizes 70,160,320,630
    """
    context.obj = OutputOptions(output, add)


@command.command()
@click.pass_obj
def codecs(options: OutputOptions) -> None:
    """Size and processor time of the large messages.

    Example: merlinstand-lab capacity codecs
    """
    from merlinstand_lab.capacity.measurements.codecs import measure_codecs

    run_measurement(options, lambda folder: measure_codecs())


@command.command()
@click.pass_obj
def plot(options: OutputOptions) -> None:
    """Redraw every plot and the table of slopes from the CSV files.

    Example: merlinstand-lab capacity plot
    """
    from merlinstand_lab.capacity.plots import draw_all
    from merlinstand_lab.capacity.slope_table import write_slope_table

    for path in draw_all(options.folder):
        click.echo(str(path))
    click.echo(str(write_slope_table(options.folder, read_measured(options.folder))))


@command.command()
@click.pass_obj
def slopes(options: OutputOptions) -> None:
    """Print every fitted slope of the CSV files.

    Example: merlinstand-lab capacity slopes
    """
    print_slopes(read_measured(options.folder))


for subcommand in (*cli_control.COMMANDS, *cli_traffic.COMMANDS):
    command.add_command(subcommand)
