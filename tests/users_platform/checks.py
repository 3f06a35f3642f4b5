"""Invariants of every run, checked against what servers and callers recorded."""

import itertools
from bisect import bisect_left
from typing import Any

from merlinstand_lab.simulator.process import WALL_START
from tests.users_platform.callers import (
    COLD_REQUESTS_PER_SECOND,
    BatchCallResponse,
    ConfigAcknowledged,
    ConfigRead,
    JobAccepted,
    JobEnded,
    JobRead,
)
from tests.users_platform.evacuation_check import evacuation_violations
from tests.users_platform.lookup_clients import (
    LookupResponse,
)
from tests.users_platform.platform_standin import USAGE_WINDOW_SECONDS, UsageReport
from tests.users_platform.servers import (
    CRASH_DELAY_SECONDS,
    Arrival,
    ColdArrival,
    CrashArrival,
    OrderAccepted,
    event_count,
    event_data,
    expected_signature,
)
from tests.users_platform.world import COLD_OVERSHOOT, COLD_SLACK, SimulatedDeployment

LEASE_SECONDS = 3.0
PROPAGATION_SECONDS = 3.0
"""Time in which a crash must be known on all machines that can reach the others."""
CRASHES_ALLOWED = 3
LATE_SENDS_ALLOWED = 3
COLD_REQUEST_LIMIT = COLD_REQUESTS_PER_SECOND * COLD_OVERSHOOT + COLD_SLACK
"""Maximum number of requests to a cold server within any second."""


def records(deployment: SimulatedDeployment, stream: str) -> list[Any]:
    """Return the records of a stream."""
    return deployment.simulation.records.get(stream, [])


def violations(deployment: SimulatedDeployment) -> list[str]:
    """Return a description of each violated invariant."""
    found = [f"{f.node_id}: {f.description}" for f in deployment.simulation.failures]
    found += _results(deployment)
    found += _configurations(deployment)
    found += _orders(deployment)
    found += _lookups(deployment)
    found += _tenants(deployment)
    found += _usage_reports(deployment)
    found += evacuation_violations(
        deployment.simulation.records, deployment.simulation.record_times
    )
    found += _cold(deployment)
    found += repeated_crashes(deployment)
    return found


def repeated_crashes(deployment: SimulatedDeployment) -> list[str]:
    """Once three crashes are known, a request is sent `LATE_SENDS_ALLOWED` more times at most."""
    found = []
    for content, arrivals in crash_arrivals(deployment).items():
        ended: dict[str, float] = {}
        for time, arrival in arrivals:
            ended.setdefault(arrival.server, time + CRASH_DELAY_SECONDS)
        ends = sorted(ended.values())
        if len(ends) < CRASHES_ALLOWED:
            continue
        known_at = ends[CRASHES_ALLOWED - 1] + PROPAGATION_SECONDS
        late = sum(1 for time, _arrival in arrivals if time > known_at)
        if late > LATE_SENDS_ALLOWED:
            path = content[0]
            found.append(
                f"{path}: sent {late} times after three crashes; {len(ends)} crashes in all"
            )
    return found


def crash_arrivals(
    deployment: SimulatedDeployment,
) -> dict[tuple[str, str, bytes], list[tuple[float, CrashArrival]]]:
    """Return the arrivals of crashing requests with their times, by content."""
    found: dict[tuple[str, str, bytes], list[tuple[float, CrashArrival]]] = {}
    times = deployment.simulation.record_times.get("crashes", [])
    for arrival, time in zip(records(deployment, "crashes"), times, strict=True):
        found.setdefault(arrival.content, []).append((time, arrival))
    return found


def _cold(deployment: SimulatedDeployment) -> list[str]:
    """The total request rate to a cold server stays within its limit in any second."""
    found = []
    for server, times in cold_arrivals(deployment).items():
        maximum = maximum_in_window(times, 1.0)
        if maximum > COLD_REQUEST_LIMIT:
            found.append(f"{maximum} requests in a second at the cold server {server}")
    return found


def cold_arrivals(deployment: SimulatedDeployment) -> dict[str, list[float]]:
    """Return the times at which requests reached cold servers, by server."""
    arrivals: dict[str, list[float]] = {}
    times = deployment.simulation.record_times.get("cold", [])
    for arrival, time in zip(records(deployment, "cold"), times, strict=True):
        if isinstance(arrival, ColdArrival):
            arrivals.setdefault(arrival.server, []).append(time)
    return arrivals


def maximum_in_window(times: list[float], seconds: float) -> int:
    """Return the maximum number of times within any window of this length; times ascend."""
    return max(
        (last + 1 - bisect_left(times, time - seconds) for last, time in enumerate(times)),
        default=0,
    )


def _usage_reports(deployment: SimulatedDeployment) -> list[str]:
    """One lease holder at a time reports usage.

    Fences never decrease, no two holders share one, and holders don't alternate within a lease.
    """
    found = []
    reports = [r for r in records(deployment, "usage") if isinstance(r, UsageReport)]
    times = deployment.simulation.record_times.get("usage", [])
    counts: dict[int, dict[str, int]] = {}
    for report in reports:
        if counts.setdefault(report.window, report.counts) != report.counts:
            found.append(f"window {report.window} was reported twice with different counts")
    for before, after in itertools.pairwise(reports):
        if after.fence < before.fence:
            found.append(f"fence decreased: {before}, {after}")
        if after.fence == before.fence and after.holder != before.holder:
            found.append(f"fence shared by two holders: {before}, {after}")
    for first in range(len(reports) - 2):
        holders = [report.holder for report in reports[first : first + 3]]
        is_turn = holders[0] == holders[2] != holders[1]
        if is_turn and times[first + 2] - times[first] < LEASE_SECONDS:
            found.append(f"holders alternated: {holders} at {times[first]}, {times[first + 2]}")
    return found


def reported_usage(deployment: SimulatedDeployment) -> dict[int, dict[str, int]]:
    """Return the reported counts by window."""
    return {r.window: r.counts for r in records(deployment, "usage") if isinstance(r, UsageReport)}


def observed_usage(deployment: SimulatedDeployment) -> dict[int, dict[str, int]]:
    """Count requests that servers ran, by window and tenant, without items of batch jobs."""
    seen: dict[int, dict[str, int]] = {}
    ids: set[str] = set()
    times = deployment.simulation.record_times.get("arrivals", [])
    for arrival, time in zip(records(deployment, "arrivals"), times, strict=True):
        if isinstance(arrival, Arrival) and arrival.tenant and arrival.request_id not in ids:
            ids.add(arrival.request_id)
            window = int((WALL_START + time) // USAGE_WINDOW_SECONDS)
            counts = seen.setdefault(window, {})
            counts[arrival.tenant] = counts.get(arrival.tenant, 0) + 1
    return seen


def _tenants(deployment: SimulatedDeployment) -> list[str]:
    """A request runs for its key's tenant, and no server receives a key."""
    found = []
    runs = [r for stream in ("arrivals", "runs") for r in records(deployment, stream)]
    for run in (run for run in runs if isinstance(run, Arrival)):
        expected = deployment.tenant_of(run.request_id)
        if run.tenant != expected:
            found.append(f"{run.request_id} ran for {run.tenant!r}, not {expected!r}")
        if run.has_key:
            found.append(f"{run.request_id} carried an API key")
    found += [
        f"cross-tenant call succeeded: {a}"
        for a in records(deployment, "foreign")
        if a.status in (200, 202)
    ]
    return found


def _results(deployment: SimulatedDeployment) -> list[str]:
    found: list[str] = []
    positions: dict[tuple[str, int], dict[str, Any]] = {}
    places: dict[tuple[str, str], int] = {}
    accepted = {r.job: r for r in records(deployment, "jobs") if isinstance(r, JobAccepted)}
    ran: dict[str, set[int]] = {}
    for run in records(deployment, "runs"):
        ran.setdefault(run.request_id, set()).add(run.version)
    for read in (r for r in records(deployment, "jobs") if isinstance(r, JobRead)):
        seen: set[str] = set()
        for offset, result in enumerate(read.results):
            place = (read.job, read.position + offset)
            if positions.setdefault(place, result) != result:
                found.append(f"position changed: {place}")
            if result["Id"] in seen or result["Id"] not in accepted[read.job].items:
                found.append(f"duplicate or unknown item: {place}")
            seen.add(result["Id"])
            position = read.position + offset
            if places.setdefault((read.job, result["Id"]), position) != position:
                found.append(f"item at two positions: {read.job} {result['Id']}")
            found += _result(accepted[read.job], result)
    for response in (r for r in records(deployment, "jobs") if isinstance(r, BatchCallResponse)):
        if response.job in accepted and response.status in (404, 410):
            found.append(f"accepted job not found: {response}")
    return found


def _result(job: JobAccepted, result: dict[str, Any]) -> list[str]:
    item = result["Id"]
    if result["State"] != "succeeded":
        return [f"terminated without a reason: {item}"]
    expected = "\n".join(event_data(item, n) for n in range(1, event_count(item) + 1))
    found = []
    if result["Text"] != expected:
        found.append(f"text of {item} is incomplete: {result['Text']!r}")
    if result["Score"] != expected_signature(f"score-{item}"):
        found.append(f"score of {item}: {result['Score']}")
    if min(result["Versions"]) < job.minimum_version:
        found.append(f"versions of {item}: {result['Versions']} below {job.minimum_version}")
    return found


def _configurations(deployment: SimulatedDeployment) -> list[str]:
    found = []
    newest = 0
    for record in records(deployment, "config"):
        if isinstance(record, ConfigAcknowledged):
            newest = max(newest, record.version)
        elif isinstance(record, ConfigRead) and record.version < newest:
            found.append(f"read version {record.version} after {newest} was acknowledged")
    return found


def _orders(deployment: SimulatedDeployment) -> list[str]:
    """One order holder per engine.

    Fences never decrease, no two holders share one, and orders of different holders are at least
    `LeaseMs` apart.
    """
    found = []
    times = deployment.simulation.record_times.get("orders", [])
    last: dict[str, tuple[OrderAccepted, float]] = {}
    for order, time in zip(records(deployment, "orders"), times, strict=True):
        previous = last.get(order.server)
        if previous is not None:
            before, at = previous
            if order.fence < before.fence:
                found.append(f"fence decreased: {before} then {order}")
            if order.holder != before.holder and time - at < 3.0:
                found.append(f"holders alternated within {time - at:.2f} s: {before}, {order}")
            if order.holder != before.holder and order.fence == before.fence:
                found.append(f"fence shared by two holders: {before}, {order}")
        last[order.server] = (order, time)
    return found


def _lookups(deployment: SimulatedDeployment) -> list[str]:
    found = []
    arrived = {a.request_id for a in records(deployment, "arrivals") if isinstance(a, Arrival)}
    for response in records(deployment, "lookups"):
        if not isinstance(response, LookupResponse):
            continue
        if response.status == 200:
            is_complete = response.body == b"answer to " + response.request_id.encode()
            if not is_complete or response.signature != expected_signature(response.request_id):
                found.append(f"response of another request: {response}")
        elif response.status not in (0, 502, 503, 504):
            found.append(f"unexpected status of a lookup: {response}")
        elif response.status == 503 and response.request_id in arrived:
            # Allowed: a repeatable request may have run before it is refused.
            continue
    return found


def complete_steps(deployment: SimulatedDeployment) -> int:
    """Return the number of steps whose results were read completely."""
    return sum(1 for r in records(deployment, "jobs") if isinstance(r, JobEnded) and r.is_complete)


def lookup_success_rate(deployment: SimulatedDeployment) -> float:
    """Return the share of lookups that got status 200."""
    responses = [r for r in records(deployment, "lookups") if isinstance(r, LookupResponse)]
    return sum(1 for response in responses if response.status == 200) / max(1, len(responses))
