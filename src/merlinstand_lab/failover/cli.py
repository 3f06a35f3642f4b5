"""`merlinstand-lab failover`."""

import os
import sys
import tempfile
from pathlib import Path

import click
import msgspec

from merlinstand_lab.failover.group import GroupNotReadyError
from merlinstand_lab.failover.summary import KindSummary, passed, render, summarize
from merlinstand_lab.failover.trial import FaultKind, Trial, TrialPlan, TrialResult


class FailoverReport(msgspec.Struct, frozen=True, kw_only=True):
    """The JSON form of a run."""

    passed: bool
    load_average: float
    """The machine's one-minute load average at the end."""
    summary: tuple[KindSummary, ...]
    result: TrialResult


@click.command("failover", short_help="Kill and freeze control leaders under steady writes.")
@click.option("--failovers", default=20, show_default=True, help="Of each kind.")
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    type=click.Choice([kind.value for kind in FaultKind]),
    help="Only this kind; all by default.",
)
@click.option("--replicas", default=3, show_default=True)
@click.option("--writers", default=3, show_default=True)
@click.option("--bound-seconds", default=3.0, show_default=True)
@click.option("--seed", default=1, show_default=True, help="Of the moments of the faults.")
@click.option("--output", type=click.Path(path_type=Path, dir_okay=False), help="JSON file.")
def command(
    failovers: int,
    kinds: tuple[str, ...],
    replicas: int,
    writers: int,
    bound_seconds: float,
    seed: int,
    output: Path | None,
) -> None:
    """Measure failover of a real control group on loopback.

    Leaders are killed (SIGKILL) and frozen (SIGSTOP) in turn while writes go on. Exits with 1
    if a failover took longer than the bound, or an accepted write was lost or applied twice.

    Example: merlinstand-lab failover --failovers 20 --output failover.json
    """
    plan = TrialPlan(
        failovers=failovers,
        kinds=tuple(map(FaultKind, kinds)) or tuple(FaultKind),
        replicas=replicas,
        writers=writers,
        bound_seconds=bound_seconds,
        seed=seed,
    )
    with tempfile.TemporaryDirectory(prefix="merlinstand-failover-") as folder:
        try:
            result = Trial(plan, Path(folder), click.echo).run()
        except GroupNotReadyError as error:
            click.echo(f"FAILED: {error}", err=True)
            sys.exit(1)
    for line in render(result):
        click.echo(line)
    if output is not None:
        _write(output, result)
    sys.exit(0 if passed(result) else 1)


def _write(path: Path, result: TrialResult) -> None:
    report = FailoverReport(
        passed=passed(result),
        load_average=os.getloadavg()[0],
        summary=summarize(result),
        result=result,
    )
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1))
