"""Cost of one coordinator against the engines of its pools, and of one gateway before all."""

import time
from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from merlinstand.configuration.objects import Daemon
from merlinstand_lab.capacity.control_group import ControlGroup
from merlinstand_lab.capacity.endpoint_bench import gateway_spec
from merlinstand_lab.capacity.fleet import HollowFleet
from merlinstand_lab.capacity.measurements.coordinators import coordinator_specs
from merlinstand_lab.capacity.measurements.daemons import SERVERS_PER_DAEMON
from merlinstand_lab.capacity.results import Measured
from merlinstand_lab.capacity.server_park import ParkPlan, ServerPark
from merlinstand_lab.capacity.topology import free_addresses, zone_name
from merlinstand_lab.capacity.window import Subject, between, mark
from merlinstand_lab.capacity.worker_process import WorkerProcess
from merlinstand_lab.capacity.worker_spec import HostedSpec, WorkerReport

ENGINES_OF_ONE_COORDINATOR = (25, 50, 100, 200)
SERVERS = (425, 850, 1_700, 3_400)
ENGINES_PER_POOL = 25
SETTLE_SECONDS = 6.0
WINDOW_SECONDS = 15.0
JOIN_TIMEOUT_SECONDS = 90.0


class EnginePlan(msgspec.Struct, frozen=True, kw_only=True):
    """How many servers."""

    engines: Sequence[int] = ENGINES_OF_ONE_COORDINATOR
    servers: Sequence[int] = SERVERS
    window_seconds: float = WINDOW_SECONDS


def measure_engines(folder: Path, plan: EnginePlan) -> Iterator[Measured]:
    """Measure a coordinator that holds all pools, without jobs."""
    for count in plan.engines:
        run = folder / f"engines-{count}"
        subject = Subject("engines", "engines_of_one_coordinator", count)
        park_plan = ParkPlan(servers=count, servers_per_pool=ENGINES_PER_POOL)
        yield from _measure(subject, park_plan, "coordinator", run, plan.window_seconds)


def measure_servers(folder: Path, plan: EnginePlan) -> Iterator[Measured]:
    """Measure an idle gateway that knows all servers."""
    for count in plan.servers:
        run = folder / f"servers-{count}"
        subject = Subject("servers", "servers", count)
        yield from _measure(subject, ParkPlan(servers=count), "gateway", run, plan.window_seconds)


def _measure(
    subject: Subject, park_plan: ParkPlan, role: str, folder: Path, seconds: float
) -> list[Measured]:
    control = ControlGroup(1, folder)
    park = ServerPark(park_plan, folder)
    fleet = HollowFleet([], folder)
    try:
        control.wait_ready()
        park.wait_started()
        revision = park.put_pools(control.operator)
        if role == "gateway":
            revision = _register_daemons(control, round(park_plan.servers / SERVERS_PER_DAEMON))
        else:
            revision = park.put_jobs(control.operator)
        fleet = HollowFleet([_daemon_spec(role, control, folder)], folder, role)
        fleet.wait_started()
        if not fleet.wait_revision(revision, JOIN_TIMEOUT_SECONDS):
            raise TimeoutError(f"the {role} did not join")
        time.sleep(SETTLE_SECONDS)
        return _measure_one(subject, role, fleet.workers[0], seconds)
    finally:
        fleet.stop()
        park.stop()
        control.stop()


def _register_daemons(control: ControlGroup, count: int) -> int:
    """Put the daemons that belong to so many servers: a gateway knows them all."""
    revision = 0
    for number in range(count):
        daemon = Daemon(
            f"gateway-x{number}", "gateway", f"10.1.0.{number}:7000", f"10.1.0.{number}:8000",
            zone_name(number),
        )  # fmt: skip
        revision = control.operator.put(f"daemon/{daemon.node_id}", daemon).revision
    return revision


def _daemon_spec(role: str, control: ControlGroup, folder: Path) -> HostedSpec:
    if role == "coordinator":
        return coordinator_specs(1, control, folder)[0]
    http_address, internal_address = free_addresses(2)
    return gateway_spec("gateway-0", http_address, internal_address, control, folder)


def _measure_one(
    subject: Subject, role: str, worker: WorkerProcess, seconds: float
) -> list[Measured]:
    before = mark(worker)
    time.sleep(seconds)
    after = mark(worker)
    window = between(before, after)
    elapsed = window.cost.elapsed_seconds
    calls = _calls(after.report) - _calls(before.report)
    bytes_each_second = (window.bytes_sent + window.bytes_received) / elapsed
    return [
        subject.row(role, "core_share", window.cost.core_share, elapsed),
        subject.row(role, "resident_bytes_real_process", window.cost.resident_bytes, elapsed),
        subject.row(role, "calls_per_second", calls / elapsed, elapsed),
        subject.row(role, "control_bytes_per_second_per_daemon", bytes_each_second, elapsed),
    ]


def _calls(report: WorkerReport) -> int:
    return sum(counts.calls for counts in report.counts)
