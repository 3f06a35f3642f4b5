"""Steady cost of control against the number of daemons, at several group sizes."""

from collections.abc import Iterator, Sequence
from pathlib import Path

from merlinstand_lab.capacity.deployment import Deployment, DeploymentSize
from merlinstand_lab.capacity.results import Measured
from merlinstand_lab.capacity.targets import TARGET
from merlinstand_lab.capacity.window import Subject, measure_roles


def measure_daemons(
    folder: Path, replicas: Sequence[int], daemons: Sequence[int], window_seconds: float
) -> Iterator[Measured]:
    """Measure leader, followers and daemons while nothing changes but leases.

    Servers grow with the daemons, as they do towards the target size.
    """
    for group in replicas:
        for count in daemons:
            servers = round(count * TARGET.servers / TARGET.daemons)
            size = DeploymentSize(replicas=group, daemons=count, servers=servers)
            name = f"daemons-{group}-replicas"
            with Deployment(size, folder / f"{name}-{count}") as deployment:
                subject = Subject(name, "daemons", count)
                yield from measure_roles(
                    subject, deployment.control, deployment.fleet, window_seconds
                )
