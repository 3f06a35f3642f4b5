"""Hollow daemons in a few worker processes."""

import time
from collections.abc import Sequence
from pathlib import Path

from merlinstand_lab.capacity.worker_process import WorkerProcess
from merlinstand_lab.capacity.worker_spec import HostedSpec, WorkerReport

NODES_PER_PROCESS = 90
"""Count; chosen, not measured."""
POLL_SECONDS = 0.1
"""Seconds; chosen, not measured."""


class HollowFleet:
    """Worker processes that together host daemons."""

    def __init__(self) -> None:
        """Begin without daemons."""
        self.workers: list[WorkerProcess] = []

    def add(self, specs: Sequence[HostedSpec], folder: Path, name: str) -> None:
        """Start one more worker and wait until its daemons have started."""
        self.workers.append(WorkerProcess(name, specs, folder))
        self.workers[-1].wait_started()

    def reports(self) -> list[WorkerReport]:
        """Ask every worker for a report."""
        for worker in self.workers:
            worker.ask()
        return [worker.receive() for worker in self.workers]

    def wait_joined(self, revision: int, timeout_seconds: float) -> bool:
        """Wait until every daemon has a revision, takes new work and holds its leases."""
        end = time.monotonic() + timeout_seconds
        while time.monotonic() < end:
            if all(_has_joined(report, revision) for report in self.reports()):
                return True
            time.sleep(POLL_SECONDS)
        return False

    def wait_quiet(self, quiet_seconds: float, timeout_seconds: float) -> bool:
        """Wait until all daemons have one revision and it has not moved for a while."""
        end = time.monotonic() + timeout_seconds
        last, since = -1, time.monotonic()
        while time.monotonic() < end:
            revisions = {count.revision for report in self.reports() for count in report.counts}
            highest = max(revisions, default=0)
            if len(revisions) > 1 or highest != last:
                last, since = highest, time.monotonic()
            elif time.monotonic() - since >= quiet_seconds:
                return True
            time.sleep(POLL_SECONDS)
        return False

    def stop(self) -> None:
        """End every worker."""
        for worker in self.workers:
            worker.stop()


def _has_joined(report: WorkerReport, revision: int) -> bool:
    return all(
        count.revision >= revision and count.takes_new_work and count.holds_its_leases
        for count in report.counts
    )
