"""The checks report violations: in constructed records, and in runs of mutated product code."""

import json
from types import SimpleNamespace
from typing import Any

import pytest

from merlinstand.batch_jobs import runner, weight_loader
from merlinstand.batch_jobs.daemon import KeeperDaemon
from merlinstand.batch_jobs.kept_text import TextCheckpoint, TextPart
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.cold_servers.follower import ColdBackendBudget
from merlinstand.directory.state_machine import DirectoryState
from merlinstand.evacuation.follower import EvacuatedZones
from merlinstand.kernel.effects import Effect, Respond, WriteRecord
from merlinstand.kernel.events import RequestReceived
from tests.users_platform.callers import (
    BatchCallResponse,
    ConfigAcknowledged,
    ConfigRead,
    JobAccepted,
    JobRead,
    ZoneOrder,
    ZoneOrderResponse,
    ZoneOrderSent,
    make_config,
)
from tests.users_platform.checks import violations
from tests.users_platform.lookup_clients import (
    CrossTenantResponse,
    LookupResponse,
)
from tests.users_platform.platform_standin import UsageReport
from tests.users_platform.servers import (
    Arrival,
    ColdArrival,
    CrashArrival,
    Engine,
    OrderAccepted,
    ReportRequested,
    event_count,
    event_data,
    expected_signature,
)
from tests.users_platform.world import SimulatedDeployment, tenant_of

ACCEPTED = JobAccepted("j", ("i1", "i2"), 2)


def result(item: str, **changes: Any) -> dict[str, Any]:
    """Return a valid result with changes."""
    text = "\n".join(event_data(item, n) for n in range(1, event_count(item) + 1))
    sound = {
        "Id": item,
        "State": "succeeded",
        "Text": text,
        "Versions": [2],
        "Score": expected_signature(f"score-{item}"),
    }
    return {**sound, **changes}


def seen(times: list[float] | None = None, **streams: list[Any]) -> Any:
    """Return a deployment that consists of records only."""
    record_times = {name: times or [0.0] * len(records) for name, records in streams.items()}
    simulation = SimpleNamespace(records=streams, record_times=record_times, failures=[])
    return SimpleNamespace(simulation=simulation, tenant_of=tenant_of)


def read(*results: dict[str, Any], position: int = 0) -> JobRead:
    return JobRead("j", position, 2, results)


def order(holder: str, fence: int) -> OrderAccepted:
    return OrderAccepted("e1", holder, fence, "m0", 2)


def test_valid_records_have_no_violations() -> None:
    jobs = [ACCEPTED, read(result("i1"), result("i2")), read(result("i2"), position=1)]
    orders = [order("k1", 1), order("k2", 2)]
    lookup = LookupResponse("q", 200, expected_signature("q"), b"answer to q", 0.1)
    deployment = seen([0.0, 3.2], jobs=jobs, orders=orders, lookups=[lookup])
    assert violations(deployment) == []


@pytest.mark.parametrize(
    ("jobs", "what"),
    [
        ([ACCEPTED, read(result("i1")), read(result("i2"))], "position changed"),
        ([ACCEPTED, read(result("i1"), result("i1"))], "duplicate"),
        ([ACCEPTED, read(result("i1")), read(result("i1"), position=1)], "at two positions"),
        ([ACCEPTED, read(result("i9"))], "unknown item"),
        ([ACCEPTED, read(result("i1", Text="i1-1"))], "incomplete"),
        ([ACCEPTED, read(result("i1", Score="other"))], "score"),
        ([ACCEPTED, read(result("i1", Versions=[1]))], "below 2"),
        ([ACCEPTED, read(result("i1", State="terminated"))], "terminated without a reason"),
        ([ACCEPTED, BatchCallResponse("j", "read", 404)], "not found"),
    ],
)
def test_batch_job_violations_are_reported(jobs: list[Any], what: str) -> None:
    assert any(what in violation for violation in violations(seen(jobs=jobs)))


@pytest.mark.parametrize(
    ("orders", "times", "what"),
    [
        ([order("k1", 2), order("k1", 1)], [0.0, 9.0], "fence decreased"),
        ([order("k1", 1), order("k2", 2)], [0.0, 2.9], "alternated"),
        ([order("k1", 1), order("k2", 1)], [0.0, 9.0], "fence shared"),
    ],
)
def test_weight_order_violations_are_reported(
    orders: list[OrderAccepted], times: list[float], what: str
) -> None:
    found = violations(seen(times, orders=orders))
    assert any(what in violation for violation in found)


def test_configuration_and_lookup_violations_are_reported() -> None:
    records = [ConfigAcknowledged(5), ConfigRead(4)]
    assert "read version 4 after 5 was acknowledged" in violations(seen(config=records))
    mixed = LookupResponse("q", 200, expected_signature("other"), b"answer to other", 0.1)
    assert any(
        "response of another request" in violation
        for violation in violations(seen(lookups=[mixed]))
    )
    denied = LookupResponse("q", 404, "", b"", 0.1)
    assert any("unexpected status" in violation for violation in violations(seen(lookups=[denied])))


def ignore_order(self: Engine, event: RequestReceived) -> list[Effect]:
    """Acknowledge an order without loading weights, so that it is repeated."""
    order = json.loads(event.body)
    taken = OrderAccepted(
        self.instance, order["Holder"], order["Fence"], order["Model"], order["Version"]
    )
    return [WriteRecord("orders", taken), Respond(event.request_id, 202, {}, b"")]


def alternation_after_a_leader_change(seed: int) -> list[str]:
    """Return alternation violations of a run whose leader is killed while orders repeat."""
    deployment = SimulatedDeployment(seed)
    deployment.at(14.0 + 0.3 * seed, lambda: deployment.process(deployment.leading_keeper()).kill())
    deployment.simulation.run_until(22.0)
    assert len({o.holder for o in deployment.simulation.records["orders"]}) == 2  # type: ignore[attr-defined]
    return [violation for violation in violations(deployment) if "alternated" in violation]


def test_order_before_lease_expiry_is_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Engine, "_order", ignore_order)
    monkeypatch.setattr(weight_loader, "PARALLEL_LOAD_SHARE", 1.0)
    assert alternation_after_a_leader_change(1) == []
    monkeypatch.setattr(
        KeeperDaemon, "_seconds_until_order_allowed", lambda _self, _backend, _now: 0.0
    )
    assert alternation_after_a_leader_change(1) != []


def test_results_that_change_position_are_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    def insert_at_front(self: JobState, result: Any, _kept_events: int = 0) -> bool:
        if result.item_id in self.listed_ids:
            return False
        self.listed_ids.add(result.item_id)
        self.results.insert(0, result)
        return True

    monkeypatch.setattr(JobState, "list_result", insert_at_front)
    deployment = SimulatedDeployment(1)
    deployment.simulation.run_until(20.0)
    found = violations(deployment)
    assert any("item at two positions" in violation for violation in found)


def test_directory_that_accepts_lower_versions_is_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def put_any_version(self: DirectoryState, index: int, command: Any) -> None:
        self.document = command.document
        self.raw_document = command.raw
        self.document_revision = index

    monkeypatch.setattr(DirectoryState, "_put_document", put_any_version)
    found: list[str] = []
    for seed in range(6):
        deployment = SimulatedDeployment(seed)
        # Two operators race: the lower version is proposed before the higher one is committed.
        deployment.add_operator([(6.0, make_config(9, deployment.services))], "first")
        deployment.add_operator([(6.0, make_config(8, deployment.services))], "second")
        deployment.simulation.run_until(12.0)
        found += violations(deployment)
    assert any("after 9 was acknowledged" in violation for violation in found)


def test_stored_texts_joined_with_gaps_are_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def append_with_gap(self: TextCheckpoint, part: TextPart) -> None:
        self.event_data.extend(part.event_data[1:])
        self.versions = part.versions

    monkeypatch.setattr(Engine, "event_interval_seconds", 0.3)
    # Each part has several events, of which the mutant drops the first.
    monkeypatch.setattr(runner, "CHECKPOINT_INTERVAL_SECONDS", 1.0)
    monkeypatch.setattr(TextCheckpoint, "append", append_with_gap)
    found: list[str] = []
    for seed in range(4):
        deployment = SimulatedDeployment(seed)
        deployment.at(
            11.6,
            lambda deployment=deployment: deployment.process(deployment.leading_keeper()).kill(),
        )
        deployment.simulation.run_until(24.0)
        found += violations(deployment)
    assert found != []


def arrival(request_id: str, tenant: str, has_key: bool = False) -> Arrival:
    return Arrival("s1", request_id, "/lookup/1", "h", tenant=tenant, has_key=has_key)


@pytest.mark.parametrize(
    ("streams", "what"),
    [
        ({"arrivals": [arrival("c0-1", "alpha")]}, "ran for 'alpha', not 'beta'"),
        ({"arrivals": [arrival("c0-1", "")]}, "ran for '', not 'beta'"),
        ({"arrivals": [arrival("score-1", "beta")]}, "ran for 'beta', not ''"),
        ({"runs": [arrival("t0-1", "beta")]}, "ran for 'beta', not 'alpha'"),
        ({"arrivals": [arrival("c0-1", "beta", has_key=True)]}, "carried an API key"),
        ({"foreign": [CrossTenantResponse("GET /lots/j", 200)]}, "cross-tenant call succeeded"),
    ],
)
def test_tenant_violations_are_reported(streams: dict[str, list[Any]], what: str) -> None:
    found = violations(seen(**streams))
    assert any(what in violation for violation in found), found


def usage_report(window: int, holder: str, fence: int, count: int = 1) -> UsageReport:
    return UsageReport(window, {"a": count}, holder, fence)


@pytest.mark.parametrize(
    ("usage", "times", "what"),
    [
        ([usage_report(1, "a", 1), usage_report(1, "a", 1, count=2)], [0.0, 1.0], "reported twice"),
        ([usage_report(1, "a", 2), usage_report(2, "b", 1)], [0.0, 9.0], "fence decreased"),
        ([usage_report(1, "a", 1), usage_report(2, "b", 1)], [0.0, 9.0], "fence shared"),
        (
            [usage_report(1, "a", 1), usage_report(2, "b", 2), usage_report(3, "a", 3)],
            [0.0, 1.0, 2.9],
            "alternated",
        ),
    ],
)
def test_usage_report_violations_are_reported(
    usage: list[UsageReport], times: list[float], what: str
) -> None:
    found = violations(seen(times, usage=usage))
    assert any(what in violation for violation in found), found


def test_repeated_report_and_alternation_beyond_the_lease_are_allowed() -> None:
    usage = [
        usage_report(1, "a", 1),
        usage_report(1, "a", 1),
        usage_report(2, "b", 2),
        usage_report(3, "a", 3),
    ]
    assert violations(seen([0.0, 0.5, 4.0, 8.0], usage=usage)) == []


EVACUATE = ZoneOrder("z", True)
RESTORE = ZoneOrder("z", False)
"""EVACUATED is sent at 1 s and acknowledged at 2 s; it must hold from 4.5 s."""
EVACUATED = [
    (1.0, ZoneOrderSent("a", EVACUATE)),
    (2.0, ZoneOrderResponse("a", EVACUATE, 200, 1.0)),
]


def evacuated_deployment(
    orders: list[tuple[float, Any]], stream: str, at: float, record: Any
) -> Any:
    """Return a deployment with records of zone orders and of one request to a server."""
    simulation = SimpleNamespace(
        records={"evacuations": [order for _at, order in orders], stream: [record]},
        record_times={"evacuations": [when for when, _order in orders], stream: [at]},
        failures=[],
    )
    return SimpleNamespace(simulation=simulation, tenant_of=lambda _request_id: "")


def arrival_in_zone(zone: str) -> Arrival:
    return Arrival("s1", "q", "/lookup/1", "h", zone=zone)


@pytest.mark.parametrize(
    ("stream", "record"),
    [
        ("arrivals", arrival_in_zone("z")),
        ("runs", arrival_in_zone("z")),
        ("orders", OrderAccepted("e1", "k1", 1, "m0", 2, "z")),
        ("reports", ReportRequested("e1", "z")),
    ],
)
def test_requests_to_an_evacuated_zone_are_reported(stream: str, record: Any) -> None:
    found = violations(evacuated_deployment(EVACUATED, stream, 4.6, record))
    assert any("sent to evacuated z" in violation for violation in found), found


RESTORE_SENT = (5.0, ZoneOrderSent("b", RESTORE))


@pytest.mark.parametrize(
    ("orders", "at", "zone"),
    [
        pytest.param(EVACUATED, 4.4, "z", id="not in effect yet"),
        pytest.param(EVACUATED, 9.0, "y", id="another zone"),
        pytest.param(EVACUATED[:1], 9.0, "z", id="never acknowledged"),
        pytest.param([*EVACUATED, RESTORE_SENT], 5.1, "z", id="may be restored already"),
        pytest.param(
            [(0.5, ZoneOrderSent("b", RESTORE)), *EVACUATED], 9.0, "z", id="restored meanwhile"
        ),
    ],
)
def test_permitted_requests_to_a_zone_are_not_reported(
    orders: list[tuple[float, Any]], at: float, zone: str
) -> None:
    assert violations(evacuated_deployment(orders, "arrivals", at, arrival_in_zone(zone))) == []


def test_restore_before_a_second_evacuation_does_not_end_it() -> None:
    before = [
        (0.1, ZoneOrderSent("b", RESTORE)),
        (0.2, ZoneOrderResponse("b", RESTORE, 200, 0.1)),
    ]
    deployment = evacuated_deployment([*before, *EVACUATED], "arrivals", 9.0, arrival_in_zone("z"))
    assert len(violations(deployment)) == 1


def test_daemons_that_ignore_an_evacuation_are_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(EvacuatedZones, "apply_to", lambda _self, backend: backend)
    deployment = SimulatedDeployment(1)
    deployment.add_zone_operator([(12.0, ZoneOrder("hall-b", True))])
    deployment.simulation.run_until(24.0)
    assert any("sent to evacuated hall-b" in violation for violation in violations(deployment))


@pytest.mark.parametrize(
    ("times", "is_flood"),
    [
        pytest.param([10.0 + 0.05 * n for n in range(18)], False, id="at the limit"),
        pytest.param([10.0 + 0.05 * n for n in range(19)], True, id="one above the limit"),
        pytest.param([10.6 + 0.05 * n for n in range(19)], True, id="across a second boundary"),
        pytest.param([10.0 + 0.1 * n for n in range(30)], False, id="slower than the limit"),
    ],
)
def test_excess_request_rate_to_a_cold_server_is_reported(
    times: list[float], is_flood: bool
) -> None:
    cold = [ColdArrival("s1", "/lookup/1") for _ in times]
    found = violations(seen(times, cold=cold))
    assert any("requests in a second at the cold server s1" in f for f in found) == is_flood


def test_request_rates_of_cold_servers_are_checked_separately() -> None:
    cold = [ColdArrival(f"s{n % 2}", "/lookup/1") for n in range(30)]
    assert violations(seen([10.0 + 0.01 * n for n in range(30)], cold=cold)) == []


def send_without_grants(_self: ColdBackendBudget, _backend: object, _now: float) -> bool:
    """Treat cold servers as warm ones."""
    return True


def test_requests_to_cold_servers_without_grants_are_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ColdBackendBudget, "may_send_to", send_without_grants)
    deployment = SimulatedDeployment(1, has_cold=True)
    deployment.add_lookup_clients(9)
    for shop in ("shop-1", "shop-2", "shop-3"):
        deployment.kill(shop, 10.0, 1.0)
    deployment.simulation.run_until(14.0)
    assert any("at the cold server" in violation for violation in violations(deployment))


@pytest.mark.parametrize(
    ("times", "is_violation"),
    [
        pytest.param([1.0, 1.2, 1.4, 9.0, 9.1, 9.2], False, id="three later sends"),
        pytest.param([1.0, 1.2, 1.4, 9.0, 9.1, 9.2, 9.3], True, id="four later sends"),
        pytest.param(
            [1.0, 1.2, 1.4, 2.0, 2.5, 3.0, 3.5, 4.0], False, id="before the crashes are known"
        ),
        pytest.param([1.0, 1.2, 30.0], False, id="three servers in all"),
    ],
)
def test_repeated_sends_of_a_crashing_request_are_reported(
    times: list[float], is_violation: bool
) -> None:
    content = ("/lookup/crash", "", b"body")
    crashes = [CrashArrival(f"s{n}", content, "10.1.0.10") for n in range(len(times))]
    found = violations(seen(times, crashes=crashes))
    assert any("after three crashes" in text for text in found) == is_violation
