"""Finds open items that were at no server for long, from the records of servers and trainers."""

from typing import Any

from tests.users_platform.callers import JobAccepted, JobEnded
from tests.users_platform.servers import Arrival, RunEnd

LONGEST_ABSENCE_SECONDS = 5.0
"""Rule LOST: an item that is neither finished nor failed may be at no server for this long in
steady state."""


def items_at_no_server(deployment: Any, calm_from: float, calm_until: float) -> list[str]:
    """Return a description of each item that was at no server for too long in the calm time.

    Args:
        deployment: A deployment with the records of its stubs, and the times of crashes.
        calm_from: Start of the calm time, on the clock of the records.
        calm_until: Its end.
    """
    found = []
    for item_id, accepted_at, ended_at in _open_items(deployment):
        start = max(calm_from, accepted_at)
        end = min(calm_until, ended_at, _finished_at(deployment, item_id))
        absence = _longest_absence(_stays(deployment, item_id), start, end)
        if absence > LONGEST_ABSENCE_SECONDS:
            found.append(f"{item_id} was at no server for {absence:.1f} s")
    return found


def _timed(deployment: Any, stream: str) -> list[tuple[float, Any]]:
    simulation = deployment.simulation
    records = simulation.records.get(stream, [])
    return list(zip(simulation.record_times.get(stream, []), records, strict=True))


def _open_items(deployment: Any) -> list[tuple[str, float, float]]:
    """Return each accepted item with the times between which its job was open."""
    jobs = _timed(deployment, "jobs")
    ended = {record.job: at for at, record in jobs if isinstance(record, JobEnded)}
    return [
        (item_id, at, ended.get(record.job, float("inf")))
        for at, record in jobs
        if isinstance(record, JobAccepted)
        for item_id in record.items
    ]


def _finished_at(deployment: Any, item_id: str) -> float:
    ends = _timed(deployment, "run_ends")
    return min(
        (at for at, end in ends if end.request_id == item_id and end.is_complete),
        default=float("inf"),
    )


def _stays(deployment: Any, item_id: str) -> list[tuple[float, float]]:
    """Return the times between which an item was at a server."""
    ends = [(at, end) for at, end in _timed(deployment, "run_ends") if isinstance(end, RunEnd)]
    stays = []
    for at, run in _timed(deployment, "runs"):
        if not isinstance(run, Arrival) or run.request_id != item_id:
            continue
        own = (t for t, end in ends if (end.server, end.request_id) == (run.server, item_id))
        left_at = min((t for t in own if t >= at), default=float("inf"))
        crashed_at = deployment.crash_times.get(run.server, float("inf"))
        stays.append((at, min(left_at, crashed_at)))
    return sorted(stays)


def _longest_absence(stays: list[tuple[float, float]], start: float, end: float) -> float:
    longest, absent_from = 0.0, start
    for arrived_at, left_at in stays:
        if arrived_at >= end:
            break
        longest = max(longest, arrived_at - absent_from)
        absent_from = max(absent_from, left_at)
    return max(longest, end - absent_from)
