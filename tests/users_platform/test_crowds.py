"""The crowd checks report violations, and the stub servers with queues work as documented."""

import signal
from types import SimpleNamespace
from typing import Any

import pytest
from msgspec.structs import replace

from merlinstand.common.ids import NodeId, RequestId
from merlinstand.kernel.effects import Respond, SetTimer
from merlinstand.kernel.events import RequestAborted, RequestReceived, Started, TimerFired
from tests.users_platform.crowds import (
    LARGE_BYTES,
    LARGE_PATH,
    NORMAL_PACE,
    QUEUE_LIMIT,
    RECOVERY_SECONDS,
    RUN_SECONDS,
    STARTUP_SECONDS,
    CrowdResponse,
    LoadedServer,
    crowd_violations,
    recovery_violations,
)
from tests.users_platform.lookup_clients import LookupResponse
from tests.users_platform.servers import Arrival

GATEWAY = "10.1.0.10"
LOOKUP, ONCE = "crowd-beta-1-lookup-1", "crowd-beta-1-once-1"
SERVED = CrowdResponse(LOOKUP, f"{GATEWAY}:80", 200, True, False, 10.0, 10.1)
NO_ANSWER = replace(SERVED, status=0, is_complete=False, ended_at=12.0)


def deployment(
    responses: list[CrowdResponse],
    runs: int = 0,
    disruptions: list[tuple[float, int]] | None = None,
) -> Any:
    """Return records of responses, runs of the first request, and faults of its gateway."""
    ran = [Arrival("i-1", responses[0].request_id, "/x", "h")] * runs
    machine = SimpleNamespace(ip=GATEWAY, disruptions=disruptions or [])
    records = {"crowd": responses, "arrivals": ran}
    return SimpleNamespace(gateways=[machine], simulation=SimpleNamespace(records=records))


@pytest.mark.parametrize(
    ("response", "runs", "expected"),
    [
        pytest.param(SERVED, 1, "", id="served"),
        pytest.param(SERVED, 2, "", id="repeatable ran twice"),
        pytest.param(replace(SERVED, request_id=ONCE), 1, "", id="non-repeatable ran once"),
        pytest.param(
            replace(SERVED, request_id=ONCE), 2, "ran twice", id="non-repeatable ran twice"
        ),
        pytest.param(
            replace(SERVED, is_complete=False),
            1,
            "incomplete",
            id="incomplete or of another request",
        ),
        pytest.param(replace(SERVED, status=503), 1, "", id="repeatable refused after a run"),
        pytest.param(
            replace(SERVED, status=503, is_marked_not_run=True),
            1,
            "has run",
            id="marked as not run but ran",
        ),
        pytest.param(
            replace(SERVED, request_id=ONCE, status=429),
            1,
            "has run",
            id="status states not run but ran",
        ),
        pytest.param(replace(SERVED, request_id=ONCE, status=502), 1, "", id="status allows a run"),
        pytest.param(replace(SERVED, request_id=ONCE, status=503), 0, "", id="refused"),
        pytest.param(replace(SERVED, status=500), 0, "unexpected status", id="unexpected status"),
        pytest.param(NO_ANSWER, 1, "no response", id="no response"),
    ],
)
def test_crowd_responses_are_checked(response: CrowdResponse, runs: int, expected: str) -> None:
    found = crowd_violations(deployment([response], runs))
    assert [expected in text for text in found] == [True] * bool(expected)


@pytest.mark.parametrize(
    ("fault", "is_excused"),
    [
        pytest.param((11.0, signal.SIGKILL), True, id="killed during the request"),
        pytest.param((9.0, 0), True, id="just started"),
        pytest.param((9.0 - STARTUP_SECONDS, 0), False, id="started long before"),
        pytest.param((13.0, signal.SIGKILL), False, id="killed later"),
        pytest.param((11.0, signal.SIGTERM), False, id="SIGTERM during the request"),
        pytest.param((9.9, signal.SIGTERM), True, id="SIGTERM before the request"),
    ],
)
def test_only_a_fault_excuses_a_missing_response(
    fault: tuple[float, int], is_excused: bool
) -> None:
    assert (crowd_violations(deployment([NO_ANSWER], disruptions=[fault])) == []) is is_excused


@pytest.mark.parametrize(
    ("ended_at", "status", "is_broken"),
    [
        pytest.param(100.0 + RECOVERY_SECONDS + 0.6, 200, False, id="served"),
        pytest.param(100.0 + RECOVERY_SECONDS + 0.6, 503, True, id="refused"),
        pytest.param(100.0 + RECOVERY_SECONDS, 503, True, id="no lookups in the window"),
    ],
)
def test_lookups_after_a_crowd_are_checked(ended_at: float, status: int, is_broken: bool) -> None:
    seen = deployment([SERVED])
    seen.simulation.records["lookups"] = [LookupResponse("c0-1", status, "", b"", 0.5)]
    seen.simulation.record_times = {"lookups": [ended_at]}
    assert bool(recovery_violations(seen, 100.0)) is is_broken


def request(number: int, path: str = "/x") -> RequestReceived:
    headers = {"x-request-id": f"r{number}", "x-deadline-ms": "1500"}
    return RequestReceived(RequestId(f"q{number}"), "POST", path, headers, b"", "10.0.0.1")


def full_server() -> tuple[LoadedServer, int]:
    """Return a server with full slots and queue, and its number of requests."""
    server = LoadedServer("shop", "10.1.64.10:80", "hall-a", ["10.1.0.14:80"])
    server.start(Started(NodeId("shop"), 1, seed=1), 0.5)
    held = server.slots + QUEUE_LIMIT
    for number in range(held):
        server.reduce(request(number), 1.0)
    return server, held


def test_full_server_refuses_requests_and_reports_its_load() -> None:
    server, held = full_server()
    [response] = server.reduce(request(held), 1.0)
    assert isinstance(response, Respond)
    assert response.status == 503
    assert response.headers["X-Not-Executed"] == "1"
    assert response.headers["X-Server-Load"] == f"4,{QUEUE_LIMIT},4,100"


def test_queued_request_runs_in_a_free_slot_and_is_refused_after_its_deadline() -> None:
    server, held = full_server()
    server.pace = 300
    effects = server.reduce(TimerFired("work:q0"), 1.1)
    assert SetTimer("work:q4", RUN_SECONDS * server.pace / NORMAL_PACE) in effects
    effects = server.reduce(RequestAborted(RequestId("q1")), 3.0)
    refused = [e.status for e in effects if isinstance(e, Respond)]
    assert refused == [503] * (held - 5), "all queued requests are past their deadline"


def test_large_responses_have_the_expected_size() -> None:
    server, _held = full_server()
    server.reduce(RequestAborted(RequestId("q0")), 1.0)
    for number in range(5, 12):
        server.reduce(RequestAborted(RequestId(f"q{number}")), 1.0)
    server.reduce(RequestAborted(RequestId("q1")), 1.0)
    server.reduce(request(20, f"{LARGE_PATH}x"), 1.0)
    [response] = [e for e in server.reduce(TimerFired("work:q20"), 1.1) if isinstance(e, Respond)]
    assert len(response.body) == LARGE_BYTES
