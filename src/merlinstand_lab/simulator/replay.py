"""Replays one seed with a readable trace of the shortest failing schedule."""

import re

import click

from merlinstand_lab.simulator.plan import Plan, Scenario
from merlinstand_lab.simulator.runner import RunResult, run_plan
from merlinstand_lab.simulator.shrink import shrink
from merlinstand_lab.simulator.trace import TraceLevel

LONGEST_LINE = 400
"""Characters of a shown line; chosen, not measured."""
CONTEXT_LINES = 400
"""Lines shown without `--full`; chosen, not measured."""

_PLAIN_LINE = re.compile(
    r" (fault|start|undeliverable) "
    r"| effect (LogEvent|StartCall|StopProcess|AppendRecords|SaveSnapshot)"
    r"| event (CallFailed|RequestAborted|StopRequested)"
)
"""What a reader wants to see first; `--full` shows the rest too."""


def _show_plan(plan: Plan, title: str) -> None:
    fleet = plan.fleet
    click.echo(
        f"{title}: {fleet.sizes.name}, {fleet.parts.value}, "
        f"{plan.duration_seconds():.1f} s, healed at {plan.healed_at():.1f} s"
    )
    for fault in plan.faults:
        click.echo(f"  {fault!r}")


def _show_violations(result: RunResult) -> None:
    for violation in result.violations:
        click.echo(f"VIOLATION {violation.checker} at {violation.time:.6f}: {violation.detail}")


def _show_trace(result: RunResult, full: bool) -> None:
    lines = result.lines if full else [line for line in result.lines if _PLAIN_LINE.search(line)]
    hidden = 0 if full else max(0, len(lines) - CONTEXT_LINES)
    if hidden:
        click.echo(f"... {hidden} earlier lines; --full shows every event and effect")
    for line in lines[hidden:]:
        click.echo(line if full or len(line) <= LONGEST_LINE else line[:LONGEST_LINE] + " ...")


def print_replay(scenario: Scenario, seed: int, full: bool, may_shrink: bool) -> int:
    """Run a seed, shrink its schedule if it fails, and print the trace.

    Returns:
        1 if a promise was broken, else 0.
    """
    plan = scenario.plan(seed)
    _show_plan(plan, f"{scenario.name} seed {seed}")
    result = run_plan(plan, seed)
    if result.violations and may_shrink and plan.faults:
        shrunk = shrink(plan, seed, result)
        plan = shrunk.plan
        _show_plan(plan, f"shortest failing schedule after {shrunk.runs} runs")
    result = run_plan(plan, seed, TraceLevel.TEXT)
    _show_trace(result, full)
    _show_violations(result)
    click.echo(f"trace {result.digest}")
    return 1 if result.violations else 0
