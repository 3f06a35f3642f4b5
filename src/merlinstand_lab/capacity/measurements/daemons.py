"""Steady cost of control against the number of daemons, at several group sizes."""

from collections.abc import Iterator, Sequence
from pathlib import Path

from merlinstand_lab.capacity.deployment import (
    DAEMONS_PER_COORDINATOR,
    Deployment,
    DeploymentSize,
)
from merlinstand_lab.capacity.results import Measured
from merlinstand_lab.capacity.window import Subject, measure_roles

REPLICAS = (3, 7)
DAEMONS = (70, 160, 320, 630)
WINDOW_SECONDS = 20.0
SERVERS_PER_DAEMON = 3_400 / 630


def measure_daemons(
    folder: Path,
    replicas: Sequence[int] = REPLICAS,
    daemons: Sequence[int] = DAEMONS,
    window_seconds: float = WINDOW_SECONDS,
    lease_every: int = DAEMONS_PER_COORDINATOR,
) -> Iterator[Measured]:
    """Measure leader, followers and daemons while nothing changes but leases.

    Servers grow with the daemons, as they do towards the target size.
    """
    for group in replicas:
        for count in daemons:
            size = DeploymentSize(
                replicas=group,
                daemons=count,
                servers=round(count * SERVERS_PER_DAEMON),
                lease_every=lease_every,
            )
            name = f"daemons-{group}-replicas"
            if lease_every != DAEMONS_PER_COORDINATOR:
                name = f"daemons-{group}-replicas-lease-every-{lease_every}"
            with Deployment(size, folder / f"{name}-{count}") as deployment:
                subject = Subject(name, "daemons", count)
                yield from measure_roles(
                    subject, deployment.control, deployment.fleet, window_seconds
                )
