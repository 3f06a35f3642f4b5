"""`merlinstand-lab account`: where the steps' time and the bytes between zones went."""

from collections.abc import Sequence
from typing import TextIO

import click

from merlinstand_lab.accounts import steps, traffic
from merlinstand_lab.accounts.log_lines import read_log

_MEGABYTE = 1e6
"""Bytes."""


@click.command()
@click.argument("log", type=click.File("r", errors="replace"))
def command(log: TextIO) -> None:
    """Read the log lines of a run's processes in LOG ("-": standard input), print two tables.

    Example: merlinstand-lab account out/run/all.log
    """
    lines = list(read_log(log, steps.EVENTS | traffic.EVENTS))
    print_steps(steps.step_rows(lines))
    click.echo("")
    print_traffic(traffic.traffic_rows(lines, traffic.zones_of(lines)))


def print_steps(rows: Sequence[steps.StepRow]) -> None:
    """Print a line for each batch job, then the median ratio."""
    click.echo("asked s  step  items  done  whole s  ended s  bound s  ratio  critical item")
    first = rows[0].submitted_at if rows else 0.0
    for row in rows:
        click.echo(
            f"{row.submitted_at - first:7.2f}  {row.step:4d}  {row.items:5d}  {row.done:4d}  "
            f"{_seconds(row.whole_at)}  {_seconds(row.ended_at)}  {row.bound:7.2f}  "
            f"{'' if row.ratio is None else f'{row.ratio:5.2f}':5}  {_critical(row.critical)}"
        )
    ratios = sorted(row.ratio for row in rows if row.ratio is not None)
    if ratios:
        click.echo(f"median ratio {ratios[len(ratios) // 2]:.2f} of {len(ratios)} whole steps")


def print_traffic(rows: Sequence[traffic.TrafficRow]) -> None:
    """Print a line for each kind and direction, then the sum."""
    click.echo(
        f"{'kind':28} {'direction':9} {'crossing MB':>11} {'total MB':>9} {'unknown MB':>10}"
    )
    for row in rows:
        click.echo(
            f"{row.kind:28} {row.direction:9} {row.crossing_bytes / _MEGABYTE:11.3f} "
            f"{row.total_bytes / _MEGABYTE:9.3f} {row.unknown_bytes / _MEGABYTE:10.3f}"
        )
    total = sum(row.crossing_bytes for row in rows)
    click.echo(f"{'sum':38} {total / _MEGABYTE:11.3f}")


def _seconds(value: float | None) -> str:
    return f"{'-' if value is None else f'{value:.2f}':>7}"


def _critical(item: steps.ItemTime | None) -> str:
    if item is None:
        return ""
    return (
        f"events {item.events}, runs {item.runs}, waited {item.waited:.2f}, "
        f"generated {item.generated:.2f}, scored {item.scored:.2f}"
    )
