"""A real control group before a hollow fleet, as most measurements need it."""

from pathlib import Path
from types import TracebackType

import msgspec

from merlinstand.control.settings import ControlTimings
from merlinstand.session.settings import SessionTimings
from merlinstand_lab.capacity.control_group import ControlGroup
from merlinstand_lab.capacity.fleet import NODES_PER_PROCESS, HollowFleet
from merlinstand_lab.capacity.measurements.codecs import SERVERS_PER_POOL, make_pool
from merlinstand_lab.capacity.topology import session_specs

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
        # One process after the other, as an operator's rolling start: what a window measures
        # is the steady state, and not a start of all at once.
        per_process = self.size.nodes_per_process
        for first in range(0, len(specs), per_process):
            part = HollowFleet(
                specs[first : first + per_process], self.folder, f"fleet-{first}", per_process
            )
            self.fleet.workers.extend(part.workers)
            part.wait_started()
            if not self.fleet.wait_joined(revision, JOIN_TIMEOUT_SECONDS):
                raise TimeoutError(f"not all of the first {first + per_process} daemons joined")
        if not self.fleet.wait_quiet(QUIET_SECONDS, JOIN_TIMEOUT_SECONDS):
            raise TimeoutError("the configuration does not come to rest")

    def _put_pools(self) -> int:
        revision = 1
        for number, first in enumerate(range(0, self.size.servers, SERVERS_PER_POOL)):
            count = min(SERVERS_PER_POOL, self.size.servers - first)
            pool = make_pool(f"pool-{number}", count, first)
            revision = self.control.operator.put(f"pool/{pool.name}", pool).revision
        return revision
