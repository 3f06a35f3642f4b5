"""`merlinstand-lab report`."""

from pathlib import Path

import click

from merlinstand_lab.experiments.results import load_result
from merlinstand_lab.report.page import write_report


@click.command("report", short_help="Write an HTML page with plots of experiments.")
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
@click.option(
    "--out",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("out/report"),
    show_default=True,
    help="Folder of the page and its plots.",
)
def command(files: tuple[Path, ...], out: Path) -> None:
    """Write a report of the results that `merlinstand-lab experiment` saved.

    Example: merlinstand-lab report out/experiments/vitrina-calm.json
    """
    page = write_report([load_result(path) for path in files], out)
    click.echo(f"wrote {page}")
