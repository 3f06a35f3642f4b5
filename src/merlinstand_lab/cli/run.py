"""`merlinstand-lab run`: run a whole fleet on this machine and verify its records."""

import sys
from pathlib import Path

import click
from result import Err

from merlinstand_lab.fleet.launcher import Launcher, RunOutcome
from merlinstand_lab.fleet.plan import make_plan

_EXIT_FAILED = 1
_EXIT_INVALID = 3


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
def command(settings_folder: Path, output: Path, faults: str) -> None:
    """Run a fleet until its trainers made their steps, then verify the records.

    Example: merlinstand-lab run --settings examples/tatrasoft --faults kill
    """
    plan = make_plan(settings_folder, output)
    if isinstance(plan, Err):
        click.echo(plan.err_value.describe(), err=True)
        sys.exit(_EXIT_INVALID)
    outcome = Launcher(plan.ok_value, faults, click.echo).run()
    _show_outcome(outcome)
    if outcome.failure is not None or outcome.bad_exits:
        sys.exit(_EXIT_FAILED)
    from merlinstand_lab.cli.verify import verify_folder

    sys.exit(verify_folder(output, "table"))


def _show_outcome(outcome: RunOutcome) -> None:
    """Print the summary of a run."""
    click.echo("")
    click.echo(f"time      {outcome.elapsed_seconds:.0f} s")
    for consumer, steps in outcome.steps.items():
        click.echo(f"{consumer}  {steps} steps, weights up to version {outcome.versions[consumer]}")
    click.echo(f"samples   {outcome.samples}")
    counts = ", ".join(f"{count} {name}" for name, count in outcome.caller_outcomes.items())
    click.echo(f"callers   {counts}")
    for name, code in outcome.bad_exits.items():
        said = "had to be killed" if code is None else f"exit code {code}"
        click.echo(f"stop      {name}: {said}", err=True)
    if outcome.failure is not None:
        click.echo(f"FAILED    {outcome.failure.detail}", err=True)
