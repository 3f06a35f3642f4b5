"""`merlinstand-lab run`: run a whole fleet on this machine and verify its records."""

import sys
from pathlib import Path

import click
from result import Err

from merlinstand_lab.checkers.verify import verify_records
from merlinstand_lab.cli.verify import show_report
from merlinstand_lab.fleet.launcher import Launcher, RunOutcome
from merlinstand_lab.fleet.plan import make_plan
from merlinstand_lab.fleet.summary import render_summary, summarize
from merlinstand_lab.records.record_set import RecordSet

_EXIT_FAILED = 1
"""Exit code of a run that failed."""
_EXIT_INVALID = 3
"""Exit code of invalid settings, as the product's command line has it."""


@click.command()
@click.option(
    "--settings",
    "settings_folder",
    default="examples/vitrina",
    show_default=True,
    type=click.Path(path_type=Path),
    help="Folder with merlinstand.toml, configuration.toml and lab.toml.",
)
@click.option(
    "--out", "output", default="out/run", show_default=True, type=click.Path(path_type=Path)
)
@click.option(
    "--faults", default="none", show_default=True, type=click.Choice(["none", "kill", "all"])
)
@click.option(
    "--move",
    "moves",
    is_flag=True,
    help="Begin with the team's old scripts; move the job to merlinstand, back, and again.",
)
@click.option(
    "--rounds",
    default=1,
    show_default=True,
    type=click.IntRange(min=1),
    help="Go through the steps and incidents of a run so often.",
)
def command(settings_folder: Path, output: Path, faults: str, moves: bool, rounds: int) -> None:
    """Run a fleet until its trainers made their steps, then verify the records.

    Example: merlinstand-lab run --settings examples/tatrasoft --faults kill
    """
    plan = make_plan(settings_folder, output, with_scripts=moves)
    if isinstance(plan, Err):
        click.echo(plan.err_value.describe(), err=True)
        sys.exit(_EXIT_INVALID)
    launcher = Launcher(plan.ok_value, faults, click.echo, moves=moves, rounds=rounds)
    outcome = launcher.run()
    records = RecordSet.load(output)
    _show_outcome(outcome, records)
    if outcome.failure is not None or outcome.bad_exits:
        sys.exit(_EXIT_FAILED)
    sys.exit(show_report(verify_records(records), "table"))


def _show_outcome(outcome: RunOutcome, records: RecordSet) -> None:
    """Print the summary of a run."""
    click.echo(f"\ntime      {outcome.elapsed_seconds:.0f} s")
    for line in render_summary(summarize(records)):
        click.echo(line)
    for name, code in outcome.bad_exits.items():
        said = "had to be killed" if code is None else f"exit code {code}"
        click.echo(f"stop      {name}: {said}", err=True)
    if outcome.failure is not None:
        click.echo(f"FAILED    {outcome.failure.detail}", err=True)
