"""A new weight version on all servers: orders, loads and swaps through the coordinators."""

import http.client
import math
import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from merlinstand.coordinator.settings import RolloutSettings
from merlinstand.runtime.host_settings import HostSettings
from merlinstand_lab.capacity.control_group import ControlGroup
from merlinstand_lab.capacity.fleet import HollowFleet
from merlinstand_lab.capacity.job_objects import MODEL, WEIGHT_BYTES, publish
from merlinstand_lab.capacity.measurements.coordinators import coordinator_specs
from merlinstand_lab.capacity.results import Measured
from merlinstand_lab.capacity.server_park import ParkPlan, ServerPark
from merlinstand_lab.capacity.slopes import percentile
from merlinstand_lab.capacity.targets import COORDINATORS_AT_TARGET, TARGET
from merlinstand_lab.capacity.topology import free_addresses, hosted_spec
from merlinstand_lab.capacity.window import Subject, between, mark
from merlinstand_lab.capacity.worker_spec import HostedKind
from merlinstand_lab.standins.settings import WeightStoreSettings

SERVERS = (100, 200, 400, 800)
SERVERS_PER_POOL = 100
COORDINATORS_PER_PROCESS = 8
LOAD_SECONDS = 0.5
PARALLEL_LOADS = RolloutSettings().maximum_parallel_loads
SETTLE_SECONDS = 12.0
"""Coordinators wait a while before they ask for what another prefers, then read statuses."""
JOIN_TIMEOUT_SECONDS = 60.0
ROLLOUT_TIMEOUT_SECONDS = 180.0
POLL_SECONDS = 0.2
STORE_TIMEOUT_SECONDS = 10.0
_NO_STORE = "127.0.0.1:1"


class RolloutPlan(msgspec.Struct, frozen=True, kw_only=True):
    """How many servers get a version, from where."""

    servers: Sequence[int] = SERVERS
    replicas: int = 1
    load_seconds: float = LOAD_SECONDS
    """Time of each load if no store is asked: the cost of the orders alone."""
    store_bytes_per_second: float = 0.0
    """Rate of the weight store; 0 for none."""
    store_transfers: int = 8
    parallel_loads: int = PARALLEL_LOADS
    """Most engines of a pool that load at one time."""


def measure_rollouts(folder: Path, plan: RolloutPlan) -> Iterator[Measured]:
    """Publish a version before each number of servers; coordinators grow with the servers."""
    for count in plan.servers:
        run = _RolloutRun(plan, count, folder / f"rollouts-{count}")
        try:
            yield from run.measure()
        finally:
            run.stop()


class _RolloutRun:
    """All processes of one rollout."""

    def __init__(self, plan: RolloutPlan, servers: int, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._subject = Subject(_name(plan), "servers", servers)
        self._servers = servers
        self._control = ControlGroup(plan.replicas, folder)
        park_plan = ParkPlan(
            servers=servers,
            servers_per_pool=SERVERS_PER_POOL,
            servers_per_process=SERVERS_PER_POOL,
            model=MODEL,
            load_seconds=plan.load_seconds,
            asks_store=plan.store_bytes_per_second > 0,
        )
        self._park = ServerPark(park_plan, folder)
        self._store = HollowFleet([], folder)
        self._coordinators = HollowFleet([], folder)

    def measure(self) -> Iterator[Measured]:
        """Start everything, publish a version and wait for the last server."""
        self._control.wait_ready()
        self._park.wait_started()
        source = self._start_store()
        operator = self._control.operator
        publish(operator, 1, source)
        self._park.put_pools(operator)
        revision = self._park.put_jobs(operator)
        self._start_coordinators(revision)
        digest = _store_version(source, 2) if source != _NO_STORE else ""
        before = [mark(worker) for worker in self._coordinators.workers]
        self._park.fleet.reports()
        begun = publish(operator, 2, source, digest)
        seconds = self._wait_served(begun)
        after = [mark(worker) for worker in self._coordinators.workers]
        windows = [between(*pair) for pair in zip(before, after, strict=True)]
        elapsed = windows[0].cost.elapsed_seconds
        cpu_seconds = sum(window.cost.cpu_seconds for window in windows)
        coordinators = sum(window.nodes for window in windows)
        yield self._subject.row("engine", "rollout_p50_seconds", percentile(seconds, 0.5))
        yield self._subject.row("engine", "rollout_seconds", max(seconds))
        yield self._subject.row("engine", "servers_reached", float(len(seconds)))
        share = cpu_seconds / elapsed / coordinators
        yield self._subject.row("coordinator", "core_share", share, elapsed)

    def stop(self) -> None:
        """End every process."""
        self._coordinators.stop()
        self._park.stop()
        self._store.stop()
        self._control.stop()

    def _start_store(self) -> str:
        if self._plan.store_bytes_per_second <= 0:
            return _NO_STORE
        (address,) = free_addresses(1)
        settings = WeightStoreSettings(
            node_id="store",
            address=address,
            bytes_per_second=self._plan.store_bytes_per_second,
            maximum_transfers=self._plan.store_transfers,
        )
        host = HostSettings(
            node_id="store",
            http_address=address,
            log_level="warning",
            record_folder=str(self._folder / "records"),
        )
        spec = hosted_spec(HostedKind.WEIGHT_STORE, host, settings)
        self._store = HollowFleet([spec], self._folder, "store")
        self._store.wait_started()
        return address

    def _start_coordinators(self, revision: int) -> None:
        count = max(1, math.ceil(self._servers * COORDINATORS_AT_TARGET / TARGET.servers))
        rollout = RolloutSettings(maximum_parallel_loads=self._plan.parallel_loads)
        specs = coordinator_specs(count, self._control, self._folder, rollout)
        self._coordinators = HollowFleet(
            specs, self._folder, "coordinators", COORDINATORS_PER_PROCESS
        )
        self._coordinators.wait_started()
        if not self._coordinators.wait_revision(revision, JOIN_TIMEOUT_SECONDS):
            raise TimeoutError("not all coordinators joined")
        self._coordinators.wait_quiet(SETTLE_SECONDS, JOIN_TIMEOUT_SECONDS)

    def _wait_served(self, begun: float) -> list[float]:
        """Return, for each server, the time from the publication until it served the version.

        Raises:
            TimeoutError: Some server did not get it in time.
        """
        served: dict[str, float] = {}
        while len(served) < self._servers:
            if time.monotonic() - begun > ROLLOUT_TIMEOUT_SECONDS:
                raise TimeoutError(f"{len(served)} of {self._servers} servers got the version")
            for report in self._park.fleet.reports():
                for versions in report.versions.values():
                    for seen in versions:
                        served.setdefault(seen.server_id, seen.at_seconds - begun)
            time.sleep(POLL_SECONDS)
        return list(served.values())


def _name(plan: RolloutPlan) -> str:
    name = "rollouts-store" if plan.store_bytes_per_second > 0 else "rollouts"
    if plan.parallel_loads == PARALLEL_LOADS:
        return name
    return f"{name}-{plan.parallel_loads}-parallel"


def _store_version(address: str, version: int) -> str:
    """Put a version into the store and return its digest."""
    connection = http.client.HTTPConnection(address, timeout=STORE_TIMEOUT_SECONDS)
    body = msgspec.json.encode({"size_bytes": WEIGHT_BYTES})
    try:
        connection.request("PUT", f"/v1/weights/{MODEL}/{version}", body)
        answer = msgspec.json.decode(connection.getresponse().read())
    finally:
        connection.close()
    return str(answer["digest"])
