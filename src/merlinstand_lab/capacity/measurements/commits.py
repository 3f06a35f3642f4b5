"""Commands that a control group commits a second, and what one costs its leader."""

import time
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

import msgspec

from merlinstand.session.settings import SessionSettings
from merlinstand_lab.capacity.command_load import CommandLoadSettings, LoadKind
from merlinstand_lab.capacity.control_group import ControlGroup
from merlinstand_lab.capacity.fleet import HollowFleet
from merlinstand_lab.capacity.operator_client import OperatorClient
from merlinstand_lab.capacity.results import Measured
from merlinstand_lab.capacity.session_daemon import LoadCounts, SessionDaemonSettings
from merlinstand_lab.capacity.slopes import percentile
from merlinstand_lab.capacity.topology import (
    free_addresses,
    hosted_spec,
    session_host,
    zone_name,
)
from merlinstand_lab.capacity.window import ROLE_LEADER, Subject, between, mark
from merlinstand_lab.capacity.worker_spec import HostedKind, HostedSpec

REPLICAS = (1, 3, 5, 7)
WINDOWS = (1, 4, 16, 64)
"""Commands under way from each of the submitters."""
SUBMITTERS = 4
SETTLE_SECONDS = 3.0
WINDOW_SECONDS = 8.0


class CommitPlan(msgspec.Struct, frozen=True, kw_only=True):
    """How commits are measured."""

    replicas: Sequence[int] = REPLICAS
    windows: Sequence[int] = WINDOWS
    window_seconds: float = WINDOW_SECONDS


def measure_commits(folder: Path, plan: CommitPlan) -> Iterator[Measured]:
    """Measure each group size at each number of commands under way."""
    for replicas in plan.replicas:
        for window in plan.windows:
            subject = Subject(f"commits-{replicas}-replicas", "commands_under_way", window)
            load = CommandLoadSettings(kind=LoadKind.CLAIM, window=window)
            run = folder / f"commits-{replicas}-{window}"
            yield from measure_load(
                subject, replicas, [load] * SUBMITTERS, run, plan.window_seconds
            )


def measure_load(
    subject: Subject,
    replicas: int,
    loads: Sequence[CommandLoadSettings],
    folder: Path,
    window_seconds: float,
    prepare: Callable[[OperatorClient], None] | None = None,
) -> list[Measured]:
    """Run one hollow submitter for each load and measure the leader.

    Args:
        subject: What is varied.
        replicas: Size of the control group.
        loads: What each submitter submits.
        folder: Where the processes keep their files.
        window_seconds: How long to measure.
        prepare: What an operator does before the submitters start.
    """
    control = ControlGroup(replicas, folder)
    fleet = HollowFleet([], folder)
    try:
        control.wait_ready()
        if prepare is not None:
            prepare(control.operator)
        fleet = HollowFleet(_submitters(loads, control, folder), folder, "submitters", 1)
        fleet.wait_started()
        time.sleep(SETTLE_SECONDS)
        return _measure_window(subject, control, fleet, window_seconds)
    finally:
        fleet.stop()
        control.stop()


def _measure_window(
    subject: Subject, control: ControlGroup, fleet: HollowFleet, seconds: float
) -> list[Measured]:
    leader = control.workers[control.leader_id()]
    before = _loads(fleet)
    leader_before = mark(leader)
    time.sleep(seconds)
    after = _loads(fleet)
    window = between(leader_before, mark(leader))
    applied = sum(load.applied for load in after) - sum(load.applied for load in before)
    failed = sum(load.refused + load.unresolved for load in after)
    latencies = [latency for load in after for latency in load.latencies_seconds]
    elapsed = window.cost.elapsed_seconds
    rows = [
        subject.row(ROLE_LEADER, "commands_per_second", applied / elapsed, elapsed),
        subject.row(ROLE_LEADER, "core_share", window.cost.core_share, elapsed),
        subject.row(ROLE_LEADER, "commands_refused", float(failed), elapsed),
        subject.row(
            ROLE_LEADER,
            "bytes_per_second",
            (window.bytes_sent + window.bytes_received) / elapsed,
            elapsed,
        ),
        subject.row(ROLE_LEADER, "resident_bytes", window.cost.resident_bytes, elapsed),
    ]
    if applied:
        rows.append(
            subject.row(
                ROLE_LEADER, "cpu_seconds_per_command", window.cost.cpu_seconds / applied, elapsed
            )
        )
    for share in (0.5, 0.99):
        if latencies:
            metric = f"latency_p{share * 100:g}_seconds"
            rows.append(subject.row("submitter", metric, percentile(latencies, share), elapsed))
    return rows


def _loads(fleet: HollowFleet) -> list[LoadCounts]:
    return [load for report in fleet.reports() for load in report.loads.values()]


def _submitters(
    loads: Sequence[CommandLoadSettings], control: ControlGroup, folder: Path
) -> list[HostedSpec]:
    specs = []
    for number, address in enumerate(free_addresses(len(loads))):
        node_id = f"submitter-{number}"
        load = loads[number]
        settings = SessionDaemonSettings(
            session=SessionSettings(
                node_id=node_id,
                role="coordinator",
                zone=zone_name(number),
                address=address,
                http_address=address,
                members=control.members,
            ),
            leases=(f"job/{load.job}",) if load.kind is LoadKind.BATCH else (),
            load=load,
        )
        host = session_host(node_id, address, control.members, folder)
        specs.append(hosted_spec(HostedKind.SESSION, host, settings))
    return specs
