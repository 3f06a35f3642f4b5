"""All processes of a run together."""

import time

import gevent
from gevent.lock import Semaphore

from merlinstand.runtime.record_writer import RecordWriter
from merlinstand_lab.fleet.http import is_ready
from merlinstand_lab.fleet.plan import FleetPlan
from merlinstand_lab.fleet.processes import ManagedProcess
from merlinstand_lab.records.kinds import FaultRecord, StopRecord

_POLL_SECONDS = 0.1
"""Seconds; chosen, not measured."""
_STOP_ORDER = (
    "callers",
    "trainer",
    "scripts",
    "coordinator",
    "gateway",
    "control",
    "engine",
    "service",
    "scorer",
    "machine-list",
    "weight-store",
)
OWN_ROLES = ("control", "gateway", "coordinator")


class Fleet:
    """Starts, watches, breaks and stops the processes; records stops and faults."""

    def __init__(self, plan: FleetPlan, records: RecordWriter) -> None:
        """Prepare every process; nothing runs yet."""
        self._plan = plan
        self._records = records
        logs = plan.output / "logs"
        logs.mkdir(parents=True, exist_ok=True)
        # Incidents of one process never overlap: a dead process can't be stopped as planned.
        self._locks = {spec.name: Semaphore(1) for spec in plan.specs}
        self.processes = {spec.name: ManagedProcess(spec, logs) for spec in plan.specs}

    def start_roles(self, *roles: str) -> None:
        """Start every process of some roles."""
        for process in self.of_roles(*roles):
            process.start()

    def of_roles(self, *roles: str) -> list[ManagedProcess]:
        """Processes of some roles."""
        return [one for one in self.processes.values() if one.spec.role in roles]

    def wait_ready(self, processes: list[ManagedProcess], seconds: float) -> list[str]:
        """Wait until all are ready; returns the names of those that are not."""
        deadline = time.monotonic() + seconds
        waiting = list(processes)
        while waiting and time.monotonic() < deadline:
            waiting = [one for one in waiting if not is_ready(one.spec.readiness_address)]
            if any(not one.is_running() for one in waiting):
                break
            gevent.sleep(_POLL_SECONDS)
        return [one.spec.name for one in waiting]

    def crashed(self) -> list[ManagedProcess]:
        """Processes that ended though nobody asked them to."""
        return [
            one
            for one in self.processes.values()
            if one.exit_code() is not None and not one.expected_down
        ]

    def kill_and_restart(self, name: str, kind: str, down_seconds: float) -> None:
        """Kill a process at once, start it again later, record the fault."""
        with self._locks[name]:
            started_at = time.monotonic()
            process = self.processes[name]
            process.kill()
            gevent.sleep(down_seconds)
            process.start()
            self.wait_ready([process], down_seconds * 3)
            self.record_fault(kind, name, started_at)

    def freeze(self, name: str, seconds: float) -> None:
        """Freeze a process for a while, record the fault."""
        with self._locks[name]:
            process = self.processes[name]
            started_at = time.monotonic()
            process.freeze()
            try:
                gevent.sleep(seconds)
            finally:
                process.thaw()
            self.record_fault("freeze", name, started_at)

    def record_fault(self, kind: str, target: str, started_at: float) -> None:
        """Record a fault that has just healed."""
        record = FaultRecord(
            kind=kind, target=target, started_at=started_at, healed_at=time.monotonic()
        )
        self._records.write("faults", record)

    def stop_and_restart(self, name: str) -> int | None:
        """Stop a process as planned, record it, start it again."""
        with self._locks[name]:
            process = self.processes[name]
            exit_code = self.stop(process)
            process.start()
            self.wait_ready([process], self._plan.lab.run.start_seconds)
            return exit_code

    def stop(self, process: ManagedProcess) -> int | None:
        """Stop one process as planned; returns its exit code, None if it had to be killed."""
        requested_at = time.monotonic()
        process.terminate()
        exit_code = process.wait(self._plan.lab.run.stop_seconds)
        if process.spec.role in OWN_ROLES:
            record = StopRecord(
                node_id=process.spec.name,
                role=process.spec.role,
                http_address=process.spec.http_address,
                requested_at=requested_at,
                ended_at=time.monotonic(),
                exit_code=-1 if exit_code is None else exit_code,
            )
            self._records.write("stops", record)
        if exit_code is None:
            process.kill()
        return exit_code

    def stop_all(self) -> dict[str, int | None]:
        """Stop everything, users first, platform last; returns bad exit codes by name."""
        bad: dict[str, int | None] = {}
        for role in _STOP_ORDER:
            running = [one for one in self.of_roles(role) if one.is_running()]
            jobs = {one.spec.name: gevent.spawn(self.stop, one) for one in running}
            gevent.joinall(list(jobs.values()))
            bad.update({name: job.value for name, job in jobs.items() if job.value != 0})
        return bad

    def kill_all(self) -> None:
        """End whatever still runs (after an error)."""
        for process in self.processes.values():
            if process.is_running():
                process.kill()
