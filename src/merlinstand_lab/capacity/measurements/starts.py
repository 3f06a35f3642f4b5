"""Blank daemons that all start at once, as after a loss of power."""

from collections.abc import Iterator, Sequence
from pathlib import Path

from merlinstand_lab.capacity.deployment import Deployment, DeploymentSize
from merlinstand_lab.capacity.measurements.daemons import SERVERS_PER_DAEMON
from merlinstand_lab.capacity.results import Measured
from merlinstand_lab.capacity.window import ROLE_DAEMON, ROLE_LEADER, Subject

DAEMONS = (70, 160, 320, 630)


def measure_starts(
    folder: Path, daemons: Sequence[int] = DAEMONS, replicas: int = 7
) -> Iterator[Measured]:
    """Measure what joining costs until every daemon is registered and all know of it."""
    for count in daemons:
        size = DeploymentSize(
            replicas=replicas,
            daemons=count,
            servers=round(count * SERVERS_PER_DAEMON),
            rolling_start=False,
        )
        with Deployment(size, folder / f"starts-{count}") as deployment:
            yield from _rows(Subject("starts", "daemons", count), deployment)


def _rows(subject: Subject, deployment: Deployment) -> Iterator[Measured]:
    elapsed = deployment.join_seconds
    traffic = [entry for report in deployment.fleet.reports() for entry in report.traffic]
    received = sum(entry.bytes_received for entry in traffic) / len(traffic)
    messages = sum(entry.messages_received for entry in traffic) / len(traffic)
    cpu_seconds = sum(worker.use().cpu_seconds for worker in deployment.fleet.workers)
    leader = deployment.control.workers[deployment.control.leader_id()]
    yield subject.row(ROLE_DAEMON, "all_joined_seconds", elapsed, elapsed)
    yield subject.row(ROLE_DAEMON, "bytes_received_until_quiet", received, elapsed)
    yield subject.row(ROLE_DAEMON, "messages_received_until_quiet", messages, elapsed)
    # The start of the interpreter is shared by the daemons of a process.
    yield subject.row(ROLE_DAEMON, "cpu_seconds_until_quiet", cpu_seconds / len(traffic), elapsed)
    yield subject.row(ROLE_LEADER, "cpu_seconds_until_quiet", leader.use().cpu_seconds, elapsed)
