"""A real control group before a hollow fleet, as most measurements need it."""

import time
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType

import msgspec

from merlinstand.control.settings import ControlTimings
from merlinstand.session.settings import SessionTimings
from merlinstand_lab.capacity.control_group import ControlGroup
from merlinstand_lab.capacity.fleet import NODES_PER_PROCESS, HollowFleet
from merlinstand_lab.capacity.measurements.codecs import SERVERS_PER_POOL, make_pool
from merlinstand_lab.capacity.topology import session_specs
from merlinstand_lab.capacity.worker_spec import HostedSpec

DAEMONS_PER_COORDINATOR = 21
"""30 coordinators among 630 daemons: an assumption of the page."""

JOIN_TIMEOUT_SECONDS = 180.0
QUIET_SECONDS = 3.0
"""Daemons register when they join; the registrations must have spread before a window."""


class DeploymentSize(msgspec.Struct, frozen=True, kw_only=True):
    """How large a deployment is."""

    replicas: int = 3
    daemons: int = 0
    servers: int = 0
    nodes_per_process: int = NODES_PER_PROCESS
    lease_every: int = DAEMONS_PER_COORDINATOR
    """Every so many daemons one keeps leases; 0 for none."""
    rolling_start: bool = True
    """Start one process of daemons after the other; False for all daemons at once."""


class Deployment:
    """A context manager that starts a deployment and ends all its processes."""

    def __init__(
        self,
        size: DeploymentSize,
        folder: Path,
        control_timings: ControlTimings | None = None,
        session_timings: SessionTimings | None = None,
    ) -> None:
        """Start control, put the pools, start the daemons and wait until all have joined."""
        self.size = size
        self.folder = folder
        self.control = ControlGroup(size.replicas, folder, control_timings)
        self.fleet = HollowFleet([], folder)
        self.join_seconds = 0.0
        """How long the last daemons that were started together took to join."""
        try:
            self._fill(session_timings or SessionTimings())
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

    def _fill(self, timings: SessionTimings) -> None:
        self.control.wait_ready()
        revision = self._put_pools()
        specs = session_specs(
            self.size.daemons, self.control.members, self.folder, timings, self.size.lease_every
        )
        step = self.size.nodes_per_process if self.size.rolling_start else len(specs)
        for first in range(0, len(specs), step):
            self._join(specs[first : first + step], f"fleet-{first}", revision)
        if not self.fleet.wait_quiet(QUIET_SECONDS, JOIN_TIMEOUT_SECONDS):
            raise TimeoutError("the configuration does not come to rest")

    def _join(self, specs: Sequence[HostedSpec], name: str, revision: int) -> None:
        """Start more daemons and wait until all have joined."""
        begun = time.monotonic()
        part = HollowFleet(specs, self.folder, name, self.size.nodes_per_process)
        self.fleet.workers.extend(part.workers)
        part.wait_started()
        if not self.fleet.wait_joined(revision, JOIN_TIMEOUT_SECONDS):
            raise TimeoutError(f"not all of {len(self.fleet.node_ids)} daemons joined")
        self.join_seconds = time.monotonic() - begun

    def _put_pools(self) -> int:
        revision = 1
        for number, first in enumerate(range(0, self.size.servers, SERVERS_PER_POOL)):
            count = min(SERVERS_PER_POOL, self.size.servers - first)
            pool = make_pool(f"pool-{number}", count, first)
            revision = self.control.operator.put(f"pool/{pool.name}", pool).revision
        return revision
