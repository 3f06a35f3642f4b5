"""`merlinstand-lab verify`: check every promise on the records of a run."""

import sys
from pathlib import Path

import click
import msgspec

from merlinstand_lab.checkers.named_fields import verify_named_fields
from merlinstand_lab.checkers.report import PromiseResult, Report
from merlinstand_lab.checkers.verify import verify_records
from merlinstand_lab.records.named_fields import NamedRecords
from merlinstand_lab.records.record_set import RecordSet

_EXIT_VIOLATION = 1
"""Exit code of a broken promise."""
_SHOWN_VIOLATIONS = 5
"""Violations of each promise; chosen, not measured."""


@click.command()
@click.argument("folder", default="out/run", type=click.Path(exists=True, path_type=Path))
@click.option("--output", "output_format", default="table", type=click.Choice(["table", "json"]))
@click.option(
    "--named-fields-only",
    is_flag=True,
    help="Read only the files and fields that users' own checks read.",
)
def command(folder: Path, output_format: str, named_fields_only: bool) -> None:
    """Check the records in FOLDER; exit 1 on a violation or on a promise not tested.

    Example: merlinstand-lab verify out/run --output json
    """
    if named_fields_only:
        sys.exit(show_report(verify_named_fields(NamedRecords(folder)), output_format))
    sys.exit(show_report(verify_records(RecordSet.load(folder)), output_format))


def show_report(report: Report, output_format: str) -> int:
    """Print a report, return the exit code."""
    if output_format == "json":
        click.echo(msgspec.json.format(msgspec.json.encode(report), indent=2).decode())
    else:
        _print_table(report)
    return 0 if report.passed else _EXIT_VIOLATION


def _print_table(report: Report) -> None:
    """Print one line for each promise, then the violations."""
    width = max(len(result.name) for result in report.promises)
    for result in report.promises:
        counted = f"{result.checked} {result.unit}"
        click.echo(
            f"{_verdict(result):<10} {result.name:<{width}}  {counted:<28} "
            f"{len(result.violations):>3} violations  {result.promise}"
        )
    for result in report.promises:
        for violation in result.violations[:_SHOWN_VIOLATIONS]:
            click.echo(f"  {result.name}: {violation}", err=True)
        hidden = len(result.violations) - _SHOWN_VIOLATIONS
        if hidden > 0:
            click.echo(f"  {result.name}: and {hidden} more", err=True)
    click.echo("all promises kept" if report.passed else "NOT ALL PROMISES KEPT")


def _verdict(result: PromiseResult) -> str:
    """One word for a result."""
    if result.violations:
        return "VIOLATED"
    if result.checked == 0:
        return "UNTESTED" if result.required else "no case"
    return "kept"
