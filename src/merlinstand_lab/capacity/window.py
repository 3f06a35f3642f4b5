"""What a control group and a hollow fleet use over a stretch of time."""

import time

import msgspec

from merlinstand_lab.capacity.control_group import ControlGroup
from merlinstand_lab.capacity.fleet import HollowFleet
from merlinstand_lab.capacity.results import Measured
from merlinstand_lab.capacity.worker_process import WorkerProcess
from merlinstand_lab.capacity.worker_spec import Traffic, WorkerReport
from merlinstand_lab.fleet.process_sampling import (
    ProcessCost,
    ProcessUse,
    cost_between,
    load_average,
)

ROLE_LEADER = "control-leader"
ROLE_FOLLOWER = "control-follower"
ROLE_DAEMON = "daemon"


class Subject(msgspec.Struct, frozen=True):
    """What is varied, and how large it is now."""

    measurement: str
    size_name: str
    size: float

    def row(self, role: str, metric: str, value: float, elapsed_seconds: float = 0.0) -> Measured:
        """Make a row of this subject."""
        return Measured(
            measurement=self.measurement,
            role=role,
            size_name=self.size_name,
            size=self.size,
            metric=metric,
            value=value,
            elapsed_seconds=elapsed_seconds,
            load_average=load_average(),
        )


class WorkerMark(msgspec.Struct, frozen=True):
    """Totals of one worker at the beginning or end of a window."""

    use: ProcessUse
    report: WorkerReport
    at_seconds: float


class WorkerWindow(msgspec.Struct, frozen=True):
    """What one worker used over the window."""

    cost: ProcessCost
    nodes: int
    bytes_sent: int
    bytes_received: int
    messages_sent: int
    messages_received: int
    journal_records: int
    """Records written: log entries and positions."""
    journal_bytes: int


def mark(worker: WorkerProcess) -> WorkerMark:
    """Read a worker's totals."""
    report = worker.report()
    return WorkerMark(worker.use(), report, time.monotonic())


def between(before: WorkerMark, after: WorkerMark) -> WorkerWindow:
    """Return what a worker used between two marks."""
    elapsed = after.at_seconds - before.at_seconds
    return WorkerWindow(
        cost=cost_between(before.use, after.use, elapsed),
        nodes=len(after.report.traffic),
        bytes_sent=_total(after, "bytes_sent") - _total(before, "bytes_sent"),
        bytes_received=_total(after, "bytes_received") - _total(before, "bytes_received"),
        messages_sent=_total(after, "messages_sent") - _total(before, "messages_sent"),
        messages_received=_total(after, "messages_received") - _total(before, "messages_received"),
        journal_records=_records(after) - _records(before),
        journal_bytes=_record_bytes(after) - _record_bytes(before),
    )


def measure_roles(
    subject: Subject, control: ControlGroup, fleet: HollowFleet, seconds: float
) -> list[Measured]:
    """Let everything run for a while and return the cost of leader, followers and daemons."""
    workers = {**control.workers, **{worker.name: worker for worker in fleet.workers}}
    before = {name: mark(worker) for name, worker in workers.items()}
    time.sleep(seconds)
    windows = {name: between(before[name], mark(worker)) for name, worker in workers.items()}
    leader = control.leader_id()
    followers = [windows[name] for name in control.workers if name != leader]
    rows = _control_rows(subject, ROLE_LEADER, [windows[leader]])
    rows += _control_rows(subject, ROLE_FOLLOWER, followers)
    rows += _daemon_rows(subject, [windows[worker.name] for worker in fleet.workers])
    return rows


def _control_rows(subject: Subject, role: str, windows: list[WorkerWindow]) -> list[Measured]:
    if not windows:
        return []
    count = len(windows)
    elapsed = windows[0].cost.elapsed_seconds

    def rate(total: float) -> float:
        return total / count / elapsed

    values = {
        "core_share": sum(window.cost.core_share for window in windows) / count,
        "resident_bytes": max(window.cost.resident_bytes for window in windows),
        "bytes_per_second": rate(
            sum(window.bytes_sent + window.bytes_received for window in windows)
        ),
        "messages_per_second": rate(
            sum(window.messages_sent + window.messages_received for window in windows)
        ),
        "journal_records_per_second": rate(sum(window.journal_records for window in windows)),
        "journal_bytes_per_second": rate(sum(window.journal_bytes for window in windows)),
    }
    return [subject.row(role, metric, value, elapsed) for metric, value in values.items()]


def _daemon_rows(subject: Subject, windows: list[WorkerWindow]) -> list[Measured]:
    nodes = sum(window.nodes for window in windows)
    if not nodes:
        return []
    elapsed = windows[0].cost.elapsed_seconds

    def rate(total: float) -> float:
        return total / nodes / elapsed

    values = {
        "control_cpu_share_per_daemon": sum(window.cost.core_share for window in windows) / nodes,
        "control_bytes_per_second_per_daemon": rate(
            sum(window.bytes_sent + window.bytes_received for window in windows)
        ),
        "control_messages_per_second_per_daemon": rate(
            sum(window.messages_sent + window.messages_received for window in windows)
        ),
        "hollow_resident_bytes_per_daemon": sum(window.cost.resident_bytes for window in windows)
        / nodes,
    }
    return [subject.row(ROLE_DAEMON, metric, value, elapsed) for metric, value in values.items()]


def _total(worker_mark: WorkerMark, field: str) -> int:
    return sum(_field(traffic, field) for traffic in worker_mark.report.traffic)


def _field(traffic: Traffic, field: str) -> int:
    value = getattr(traffic, field)
    assert isinstance(value, int)
    return value


def _records(worker_mark: WorkerMark) -> int:
    return sum(counts.records for counts in worker_mark.report.counts)


def _record_bytes(worker_mark: WorkerMark) -> int:
    return sum(counts.record_bytes for counts in worker_mark.report.counts)
