"""Hollow daemons in a few worker processes."""

import time
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path

from merlinstand_lab.capacity.observed import RevisionSeen
from merlinstand_lab.capacity.worker_process import WorkerProcess
from merlinstand_lab.capacity.worker_spec import AnyOrder, HostedSpec, Report, WorkerReport

NODES_PER_PROCESS = 90
POLL_SECONDS = 0.1


class HollowFleet:
    """Worker processes that together host a list of nodes."""

    def __init__(
        self,
        specs: Sequence[HostedSpec],
        folder: Path,
        name: str = "fleet",
        nodes_per_process: int = NODES_PER_PROCESS,
    ) -> None:
        """Start the workers; `wait_started` follows.

        Args:
            specs: The nodes.
            folder: Where the workers keep their files.
            name: Prefix of the workers' names.
            nodes_per_process: How many nodes share a worker.
        """
        self.workers = [
            WorkerProcess(f"{name}-{first}", specs[first : first + nodes_per_process], folder)
            for first in range(0, len(specs), nodes_per_process)
        ]
        self.seen: list[RevisionSeen] = []

    @property
    def node_ids(self) -> list[str]:
        """Names of all nodes."""
        return [node_id for worker in self.workers for node_id in worker.node_ids]

    def wait_started(self) -> None:
        """Block until every node has started."""
        for worker in self.workers:
            worker.wait_started()

    def order_all(self, order: AnyOrder) -> list[WorkerReport]:
        """Send an order to every worker at once and return the reports."""
        for worker in self.workers:
            worker.send(order)
        reports = [worker.receive() for worker in self.workers]
        for report in reports:
            self.seen.extend(report.seen)
        return reports

    def order_nodes(
        self, order_of: Callable[[tuple[str, ...]], AnyOrder], node_ids: Iterable[str]
    ) -> None:
        """Send each worker the order for those of its nodes that are listed."""
        wanted = set(node_ids)
        for worker in self.workers:
            own = tuple(node_id for node_id in worker.node_ids if node_id in wanted)
            if own:
                self.seen.extend(worker.order(order_of(own)).seen)

    def reports(self) -> list[WorkerReport]:
        """Ask every worker for a report."""
        return self.order_all(Report())

    def wait_revision(
        self, revision: int, timeout_seconds: float, absent: frozenset[str] = frozenset()
    ) -> bool:
        """Wait until every node but the absent has a revision in force; False on time-out."""
        end = time.monotonic() + timeout_seconds
        while time.monotonic() < end:
            counts = [count for report in self.reports() for count in report.counts]
            if all(count.revision >= revision or count.node_id in absent for count in counts):
                return True
            time.sleep(POLL_SECONDS)
        return False

    def wait_joined(self, revision: int, timeout_seconds: float) -> bool:
        """Wait until every node has a revision, takes new work and holds its leases."""
        end = time.monotonic() + timeout_seconds
        while time.monotonic() < end:
            if all(_has_joined(report, revision) for report in self.reports()):
                return True
            time.sleep(POLL_SECONDS)
        return False

    def wait_quiet(self, quiet_seconds: float, timeout_seconds: float) -> bool:
        """Wait until all nodes have one revision and it has not moved for a while."""
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

    def in_force_seconds(self, revision: int, since: float) -> list[float]:
        """Return, for each node that has it, how long after `since` a revision was in force."""
        first: dict[str, float] = {}
        for seen in self.seen:
            if seen.revision >= revision and seen.at_seconds < first.get(
                seen.node_id, float("inf")
            ):
                first[seen.node_id] = seen.at_seconds
        return [at_seconds - since for at_seconds in first.values()]

    def stop(self) -> None:
        """End every worker."""
        for worker in self.workers:
            worker.stop()


def _has_joined(report: WorkerReport, revision: int) -> bool:
    ready = all(count.revision >= revision and count.takes_new_work for count in report.counts)
    return ready and all(load.leases_gained >= load.leases_wanted for load in report.loads.values())
