"""Cold engines get runs, scoring calls, reports and orders only within granted attempts."""

import msgspec
import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob
from merlinstand.batch_jobs.cold_engines import request_grants_for_items
from merlinstand.batch_jobs.engines import EngineState, EngineStates
from merlinstand.batch_jobs.lengths import MINIMUM_LONGER_ITEMS
from merlinstand.batch_jobs.placement import ItemRequirements
from merlinstand.batch_jobs.runner import ItemRunner
from merlinstand.batch_jobs.scheduling_pass import SchedulingPass
from merlinstand.batch_jobs.state_machine import AcceptJob, JobStates
from merlinstand.cluster.backends import Backend, LoadedModel
from merlinstand.cluster.daemons import DaemonReport
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.routes import RoutesDocument, RouteTable, Service
from merlinstand.cold_servers.follower import ColdBackendBudget
from merlinstand.cold_servers.grants import ColdGrants, GrantRequest, decode_requests, encode_grants
from merlinstand.common.ids import BackendId
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.kernel.effects import StartCall
from tests.batch_jobs.contexts import make_context
from tests.batch_jobs.test_runner_scheduling import ROUTE
from tests.batch_jobs.test_scoring import Scoring
from tests.batch_jobs.test_weight_loader import Loading, report

SERVICE = Service(name="llm", slots=4, models=("m0",), cold_requests_per_second=9.2)
REQUIREMENTS = ItemRequirements(model="m0", minimum_version=1)


def engine(number: int, is_cold: bool, version: int = 1) -> Backend:
    return Backend(
        backend_id=BackendId(f"e{number}"),
        service="llm",
        address=f"e{number}:1",
        slots=4,
        models=(LoadedModel("m0", version),),
        is_cold=is_cold,
    )


def engines_of(*backends: Backend) -> tuple[EngineStates, ColdBackendBudget]:
    follower = DirectoryFollower((), lambda _now: DaemonReport(node_id="k", name="k", role="k"))
    follower.routes = RouteTable(RoutesDocument(version=1, services=(SERVICE,)))
    follower.set_backends(backends)
    follower.backends_revision = 1
    engines = EngineStates(follower)
    engines.refresh()
    return engines, follower.cold_budget


def grant(cold: ColdBackendBudget, backend: Backend, attempts: int, now: float) -> None:
    cold.request_grants("x", attempts, (backend,))
    cold.next_request(now)
    cold.apply_grants(encode_grants(ColdGrants(now, {backend.backend_id: attempts})), now)


def make_pass(engines: EngineStates, cold: ColdBackendBudget, now: float) -> SchedulingPass:
    return SchedulingPass(engines, lambda _backend, _model: True, cold, now)


def start_run(scheduling_pass: SchedulingPass, allow_cold: bool = True) -> str:
    """Start a run and return the id of its engine, or an empty string."""
    chosen = scheduling_pass.choose_engine("llm", REQUIREMENTS, allow_cold)
    if chosen is None:
        return ""
    chosen.running += 1
    scheduling_pass.record_start(chosen)
    return chosen.backend.backend_id


def test_warm_engines_are_preferred_to_granted_cold_ones() -> None:
    engines, cold = engines_of(engine(0, True), engine(1, False))
    grant(cold, engine(0, True), 2, 1.0)
    scheduling_pass = make_pass(engines, cold, 1.01)
    assert [start_run(scheduling_pass) for _ in range(7)] == ["e1"] * 4 + ["e0"] * 2 + [""]
    assert not scheduling_pass.has_available_engines
    assert [state.backend.backend_id for state in scheduling_pass.ungranted] == ["e0"]


def test_cold_engine_is_not_chosen_unless_allowed() -> None:
    engines, cold = engines_of(engine(0, True))
    grant(cold, engine(0, True), 2, 1.0)
    assert start_run(make_pass(engines, cold, 1.01), allow_cold=False) == ""


@pytest.mark.parametrize(
    ("waiting", "requested"),
    [
        pytest.param([("m0", 1)] * 9, [("m0/1", 4, ("e0",))], id="limited by free slots"),
        pytest.param([("m0", 1)] * 2, [("m0/1", 2, ("e0",))], id="limited by items"),
        pytest.param([("m0", 2)], [], id="weights too old"),
        pytest.param([("", 0)], [("/0", 1, ("e0",))], id="any model accepted"),
    ],
)
def test_items_request_only_usable_grants(
    waiting: list[tuple[str, int]], requested: list[tuple[str, int, tuple[str, ...]]]
) -> None:
    cold = ColdBackendBudget(lambda _service: 9.2)
    requirements = [
        ItemRequirements(model=model, minimum_version=minimum) for model, minimum in waiting
    ]
    request_grants_for_items(cold, [EngineState(engine(0, True))], requirements)
    data = cold.next_request(1.0)
    requests = decode_requests(data).requests if data is not None else ()
    expected = [
        GrantRequest(kind, attempts, tuple(map(BackendId, ids)))
        for kind, attempts, ids in requested
    ]
    assert list(requests) == expected


def test_reports_and_orders_use_up_grants() -> None:
    loading = cold_loading()
    [state] = loading.states.states.values()
    cold = loading.follower.cold_budget
    assert loading.calls(0.0) == []
    assert cold.is_request_due(0.0)
    grant(cold, state.backend, 2, 0.1)
    [report_call] = loading.calls(0.11)
    [order] = loading.reported(report_call, report(3, 1), 0.12)
    assert order.path == "/order"
    assert cold.granted_sends(state.backend.backend_id, 0.12) == 0


@pytest.mark.parametrize(("is_cold", "calls"), [(False, 6), (True, 1)])
def test_cold_server_gets_one_scoring_call_at_a_time(is_cold: bool, calls: int) -> None:
    scoring = Scoring(items=20, slots=8)
    follower = scoring.runner._follower
    service = Service(name="shop", cold_requests_per_second=9.2)
    follower.routes = RouteTable(
        msgspec.structs.replace(follower.routes.document, services=(service,))
    )
    follower.set_backends(
        msgspec.structs.replace(backend, is_cold=is_cold) for backend in follower.backends
    )
    scoring.complete_texts()
    assert len(scoring.forwarder) == calls


def cold_loading() -> Loading:
    loading = Loading()
    loading.follower.routes = RouteTable(RoutesDocument(version=1, services=(SERVICE,)))
    [state] = loading.states.states.values()
    state.backend = msgspec.structs.replace(state.backend, is_cold=True)
    return loading


def loading_with_committed_intent() -> tuple[Loading, StartCall]:
    """The only granted attempt is used for the report, so the order has to wait."""
    loading = cold_loading()
    [state] = loading.states.states.values()
    grant(loading.follower.cold_budget, state.backend, 1, 0.0)
    [report_call] = loading.calls(0.1)
    assert loading.reported(report_call, report(3, 1), 0.12) == []
    return loading, report_call


def grant_requested(cold: ColdBackendBudget, now: float) -> int:
    """Grant all requested attempts and return their number."""
    data = cold.next_request(now)
    requests = decode_requests(data).requests if data is not None else ()
    attempts = {backend: request.sends for request in requests for backend in request.backends}
    cold.apply_grants(encode_grants(ColdGrants(now, attempts)), now)
    return sum(attempts.values())


def test_grants_requested_for_a_report_cover_the_order() -> None:
    loading = cold_loading()
    cold = loading.follower.cold_budget
    assert loading.calls(0.0) == []
    assert grant_requested(cold, 0.01) == 2
    [report_call] = loading.calls(0.1)
    [order] = loading.reported(report_call, report(3, 1), 0.12)
    assert order.path == "/order"


def test_order_with_committed_intent_waits_for_a_grant() -> None:
    loading, _report_call = loading_with_committed_intent()
    cold = loading.follower.cold_budget
    assert loading.calls(0.2) == []
    assert grant_requested(cold, 0.21) > 0
    [order] = loading.calls(0.3)
    assert order.path == "/order"


def test_order_with_committed_intent_expires_without_a_grant() -> None:
    loading, report_call = loading_with_committed_intent()
    cold = loading.follower.cold_budget
    [state] = loading.states.states.values()
    grant(cold, state.backend, 2, 0.5)
    assert loading.calls(0.53) == []
    grant(cold, state.backend, 2, 1.0)
    assert [call.path for call in loading.calls(1.1)] == [report_call.path]


def test_grants_are_requested_for_the_most_urgent_items_first() -> None:
    cold_engine = msgspec.structs.replace(
        engine(0, True), models=(LoadedModel("m0", 1), LoadedModel("m1", 1))
    )
    engines, _cold = engines_of()
    follower = engines._follower
    document = RoutesDocument(version=1, routes=(ROUTE,), services=(SERVICE,))
    follower.routes = RouteTable(document)
    warm_engine = engine(1, False, version=0)
    follower.set_backends([warm_engine, cold_engine])
    engines.refresh()
    jobs = JobStates()
    for accepted_at, model in ((0.0, "m0"), (0.5, "m1")):
        item = BatchItem(item_id=model, path="/l/", headers={"host": "h"}, body=b"")
        job = BatchJob(
            job_id=model, host="h", path="/l/", model=model, minimum_version=1, items=(item,)
        )
        jobs.apply(AcceptJob(job), accepted_at)
    names = HeaderNames()
    forwarder = Forwarder(names, follower.backends_of)
    runner = ItemRunner(
        make_context(jobs, follower, engines, forwarder, names, lambda _command, _now: [])
    )
    runner.load_open_jobs(1.0)
    # Items of this model are long, so they must start before those of the earlier job.
    for _ in range(MINIMUM_LONGER_ITEMS):
        runner._lengths.record("m1", 200, 0)
    runner.tick(1.0)
    data = follower.cold_budget.next_request(1.0)
    assert data is not None
    assert [request.kind for request in decode_requests(data).requests] == ["m1/1", "m0/1"]
