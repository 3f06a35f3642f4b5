"""A real control group before a hollow fleet."""

from collections.abc import Sequence
from pathlib import Path
from types import TracebackType

import msgspec

from merlinstand.configuration.objects import Backend, Pool, PoolKind
from merlinstand_lab.capacity.control_group import ControlGroup
from merlinstand_lab.capacity.fleet import NODES_PER_PROCESS, HollowFleet
from merlinstand_lab.capacity.topology import session_specs, zone_name
from merlinstand_lab.capacity.worker_spec import HostedSpec

SERVERS_PER_POOL = 100
"""Count; an assumption of docs/CAPACITY.md."""
JOIN_TIMEOUT_SECONDS = 180.0
"""Seconds; chosen, not measured."""
QUIET_SECONDS = 3.0
"""Daemons register when they join; the registrations must have spread before a window."""


class DeploymentSize(msgspec.Struct, frozen=True, kw_only=True):
    """How large a deployment is."""

    replicas: int
    daemons: int
    servers: int


class Deployment:
    """A context manager that starts a deployment and ends all its processes."""

    def __init__(self, size: DeploymentSize, folder: Path) -> None:
        """Start control, put the pools, start the daemons and wait until all have joined."""
        self.size = size
        self.folder = folder
        self.control = ControlGroup(size.replicas, folder)
        self.fleet = HollowFleet()
        try:
            self._fill()
        except BaseException:
            self.stop()
            raise

    def __enter__(self) -> "Deployment":
        """Return the deployment."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End every process."""
        self.stop()

    def stop(self) -> None:
        """End every process."""
        self.fleet.stop()
        self.control.stop()

    def _fill(self) -> None:
        """Start one process of daemons after the other, each when the last one has joined."""
        self.control.wait_ready()
        revision = self._put_pools()
        specs = session_specs(self.size.daemons, self.control.members, self.folder)
        for first in range(0, len(specs), NODES_PER_PROCESS):
            self._join(specs[first : first + NODES_PER_PROCESS], f"fleet-{first}", revision)
        if not self.fleet.wait_quiet(QUIET_SECONDS, JOIN_TIMEOUT_SECONDS):
            raise TimeoutError("the configuration does not come to rest")

    def _join(self, specs: Sequence[HostedSpec], name: str, revision: int) -> None:
        """Start more daemons and wait until all have joined."""
        self.fleet.add(specs, self.folder, name)
        if not self.fleet.wait_joined(revision, JOIN_TIMEOUT_SECONDS):
            raise TimeoutError("not all daemons joined")

    def _put_pools(self) -> int:
        revision = 1
        for number, first in enumerate(range(0, self.size.servers, SERVERS_PER_POOL)):
            count = min(SERVERS_PER_POOL, self.size.servers - first)
            pool = make_pool(f"pool-{number}", count, first)
            revision = self.control.put(f"pool/{pool.name}", pool)
        return revision


def make_pool(name: str, servers: int, first: int) -> Pool:
    """Return an engine pool of servers that nobody runs, spread over the zones."""
    backends = tuple(
        Backend(f"{name}-{number}", f"10.20.{number // 250}.{number % 250}:8000", zone_name(number))
        for number in range(first, first + servers)
    )
    return Pool(name=name, kind=PoolKind.ENGINE, model=name, backends=backends)
