"""`merlinstand-lab simulate`."""

import sys

import click

from merlinstand_lab.simulator.batch import SeedResult, run_batch
from merlinstand_lab.simulator.replay import print_replay
from merlinstand_lab.simulator.scenario import all_scenarios

SHOWN_VIOLATIONS = 3
"""Violations of each failed seed; chosen, not measured."""


def parse_seeds(text: str) -> range:
    """Parse `A..B` (both included) or a single seed."""
    first, separator, last = text.partition("..")
    try:
        start = int(first)
        stop = int(last) if separator else start
    except ValueError:
        raise click.BadParameter(f"{text!r} is not a range like 1..100") from None
    return range(start, stop + 1)


class Totals:
    """Sums over one scenario."""

    def __init__(self) -> None:
        self.passed = 0
        self.failed = 0
        self.virtual_seconds = 0.0
        self.real_seconds = 0.0

    def add(self, result: SeedResult) -> None:
        """Count one seed."""
        if result.violations:
            self.failed += 1
        else:
            self.passed += 1
        self.virtual_seconds += result.virtual_seconds
        self.real_seconds += result.real_seconds

    def line(self, name: str) -> str:
        """Return one line of the summary."""
        speed = self.virtual_seconds / self.real_seconds if self.real_seconds else 0.0
        return f"{name}: {self.passed} passed, {self.failed} failed, {speed:.0f} x real time"


def _show_failure(result: SeedResult) -> None:
    click.echo(f"FAILED {result.scenario} seed {result.seed}")
    for violation in result.violations[:SHOWN_VIOLATIONS]:
        click.echo(f"  {violation.checker} at {violation.time:.3f}: {violation.detail}")
    hidden = len(result.violations) - SHOWN_VIOLATIONS
    if hidden > 0:
        click.echo(f"  and {hidden} more")
    click.echo(f"  replay: merlinstand-lab simulate --replay {result.scenario} {result.seed}")


def _list_scenarios() -> None:
    for name, found in all_scenarios().items():
        click.echo(f"{name:32} {found.description}")


def _run(names: list[str], seeds: range, jobs: int) -> int:
    totals: dict[str, Totals] = {name: Totals() for name in names}
    for result in run_batch(names, seeds, jobs):
        totals[result.scenario].add(result)
        if result.violations:
            _show_failure(result)
        if result.seed == seeds[-1]:
            click.echo(totals[result.scenario].line(result.scenario))
    passed = sum(total.passed for total in totals.values())
    failed = sum(total.failed for total in totals.values())
    click.echo(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


@click.command("simulate", short_help="Run the deployment's reducers on a virtual clock.")
@click.option("--scenario", "scenarios", multiple=True, help="A scenario's name, or all.")
@click.option("--seeds", default="1..20", show_default=True, help="Seeds A..B, both included.")
@click.option("--jobs", default=1, show_default=True, help="Processes to run in.")
@click.option("--list", "list_only", is_flag=True, help="List the scenarios.")
@click.option("--replay", nargs=2, type=(str, int), help="NAME SEED: trace one run.")
@click.option("--full", is_flag=True, help="With --replay: every event and effect.")
@click.option("--no-shrink", is_flag=True, help="With --replay: keep every fault.")
def command(
    scenarios: tuple[str, ...],
    seeds: str,
    jobs: int,
    list_only: bool,
    replay: tuple[str, int] | None,
    full: bool,
    no_shrink: bool,
) -> None:
    """Simulate scenarios of faults and check every promise.

    Example: merlinstand-lab simulate --scenario all --seeds 1..100 --jobs 4
    """
    known = all_scenarios()
    if list_only:
        _list_scenarios()
        return
    if replay is not None:
        if replay[0] not in known:
            raise click.BadParameter(f"unknown scenario {replay[0]!r}; see --list")
        sys.exit(print_replay(known[replay[0]], replay[1], full, not no_shrink))
    names = list(known) if "all" in scenarios or not scenarios else list(scenarios)
    for name in names:
        if name not in known:
            raise click.BadParameter(f"unknown scenario {name!r}; see --list")
    sys.exit(_run(names, parse_seeds(seeds), jobs))
