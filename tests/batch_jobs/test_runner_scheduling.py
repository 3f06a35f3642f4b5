"""When the runner looks for engines, and how little it does while none is free."""

from collections.abc import Callable

import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob
from merlinstand.batch_jobs import scheduling_pass
from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.kept_text import TextPart
from merlinstand.batch_jobs.runner import ItemRunner
from merlinstand.batch_jobs.state_machine import AcceptJob, JobStates, ListResult
from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import DaemonReport
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.routes import RouteKind, RoutesDocument, RouteTable, Service
from merlinstand.common.ids import BackendId
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.kernel.effects import CancelCall, Effect, StartCall
from merlinstand.kernel.events import CallChunk, CallEnded, CallFailed, CallHeaders, CallPhase
from tests.batch_jobs.contexts import make_context
from tests.routes import make_route

SLOTS = 3
ENGINES = 2
ITEMS = 40
ROUTE = make_route(
    RouteKind.BATCH,
    "llm",
    "/l/",
    timeout_seconds=10.0,
    maximum_attempts=3,
    result_deadline_seconds=7.5,
)


def no_report(_now: float) -> DaemonReport:
    return DaemonReport(node_id="k", name="k", role="keeper")


def make_runner(
    jobs: JobStates,
    kept: list[tuple[TextPart, ...]] | None = None,
    listed: list[ListResult] | None = None,
) -> ItemRunner:
    """Make a runner of two engines that has taken up all jobs.

    `kept` notes kept texts, `listed` the commands that list results.
    """
    follower = DirectoryFollower((), no_report)
    follower.routes = RouteTable(
        RoutesDocument(version=1, routes=(ROUTE,), services=(Service(name="llm"),))
    )
    follower.set_backends(
        Backend(backend_id=BackendId(f"e{n}"), service="llm", address=f"10.0.0.{n}:1", slots=SLOTS)
        for n in range(ENGINES)
    )
    follower.backends_revision = 1
    engines = EngineStates(follower)
    engines.refresh()
    names = HeaderNames()
    forwarder = Forwarder(names, follower.snapshot_of)

    def keep_texts(parts: tuple[TextPart, ...], _now: float) -> list[Effect]:
        if kept is not None:
            kept.append(parts)
        return []

    def list_result(command: ListResult, _now: float) -> list[Effect]:
        if listed is not None:
            listed.append(command)
        return []

    context = make_context(jobs, follower, engines, forwarder, names, list_result, keep_texts)
    made = ItemRunner(context)
    made.begin(0.0)
    return made


@pytest.fixture
def runner() -> ItemRunner:
    items = tuple(
        BatchItem(item_id=f"i{n}", path="/l/1", headers={"host": "h"}, body=b"", group=f"g{n // 4}")
        for n in range(ITEMS)
    )
    jobs = JobStates()
    jobs.apply(AcceptJob(BatchJob(job_id="j", host="h", path="/l/", items=items)), 0.0)
    return make_runner(jobs)


def calls(effects: list[Effect]) -> list[StartCall]:
    return [effect for effect in effects if isinstance(effect, StartCall)]


def test_a_new_job_fills_the_free_slots_and_no_more(runner: ItemRunner) -> None:
    begun = calls(runner.start_if_due(0.0))
    assert len(begun) == SLOTS * ENGINES
    assert calls(runner.start_if_due(0.01)) == []


def test_a_freed_slot_is_given_to_the_next_item_at_once(runner: ItemRunner) -> None:
    call = calls(runner.start_if_due(0.0))[0]
    head = CallHeaders(call.call_id, 200, {})
    runner.on_call(head, 0.1)
    runner.on_call(CallChunk(call.call_id, b"id: 1\ndata: x\n\n"), 0.15)
    runner.on_call(CallEnded(call.call_id), 0.2)
    [following] = calls(runner.start_if_due(0.2))
    assert following.address == call.address


def test_nothing_is_weighed_while_no_engine_is_free(
    runner: ItemRunner, monkeypatch: pytest.MonkeyPatch
) -> None:
    """vitrina-ro-grown scale-2: with 300 items waiting, each event cost the leader 6 ms."""
    runner.start_if_due(0.0)
    weighed: list[str] = []
    monkeypatch.setattr(scheduling_pass, "choose_engine", _recorder(weighed))
    for step in range(20):
        runner.tick(0.01 * step)
        runner.start_if_due(0.01 * step)
    assert weighed == []


def test_items_of_one_demand_that_no_engine_meets_are_weighed_once(
    runner: ItemRunner, monkeypatch: pytest.MonkeyPatch
) -> None:
    weighed: list[str] = []
    monkeypatch.setattr(scheduling_pass, "choose_engine", _recorder(weighed))
    runner.start_if_due(0.0)
    assert weighed == ["llm"]


def test_an_item_whose_run_failed_waits_for_its_pause(runner: ItemRunner) -> None:
    call = calls(runner.start_if_due(0.0))[0]
    runner.on_call(CallFailed(call.call_id, CallPhase.CONNECT, "refused"), 0.1)
    assert calls(runner.start_if_due(0.1)) == []
    # Its engine is avoided for a while; then the freed slot is used.
    assert len(calls(runner.tick(1.0))) == 1


def _recorder(weighed: list[str]) -> Callable[..., None]:
    def choose(engines: list[object], *_rest: object) -> None:
        weighed.append("llm")

    return choose


def test_runs_move_from_a_slow_engine_into_the_free_slots_of_a_faster_one(
    runner: ItemRunner,
) -> None:
    started = calls(runner.start_if_due(0.0))
    [slow, fast] = runner._engines.states.values()
    at_fast = [call for call in started if call.address == fast.backend.address]
    for call in started:
        runner.on_call(CallHeaders(call.call_id, 200, {}), 0.1)
    for number in range(1, 8):
        for call in started:
            is_slow = call.address == slow.backend.address
            now = 0.1 + number * (0.4 if is_slow else 0.1)
            runner.on_call(CallChunk(call.call_id, f"id: {number}\ndata: x\n\n".encode()), now)
    assert fast.event_seconds < slow.event_seconds
    # The other items are listed or wait for nothing here: only moves are looked at.
    runner._runs = {key: run for key, run in runner._runs.items() if run.call_id is not None}
    runner.on_call(CallEnded(at_fast[0].call_id), 3.0)
    effects = [*runner.tick(3.0), *runner.start_if_due(3.0)]
    moved = [effect for effect in effects if isinstance(effect, CancelCall)]
    [again] = calls(effects)
    assert len(moved) == 1
    assert again.address == fast.backend.address
    assert again.headers["last-event-id"] == "7"


def test_under_overload_a_late_job_does_not_make_the_next_one_late() -> None:
    """vitrina-ro-large scale-1, small twin: earliest first made every step of three trainers late.

    The first job is past its due time. The second, with 5.5 s left for 880 events at 160 a second,
    can be in time only without any of the first.
    """
    jobs = JobStates()
    for number, size in enumerate((40, 44)):
        items = tuple(
            BatchItem(
                item_id=f"{number}-{n}",
                path="/l/1",
                headers={"host": "h"},
                body=b"",
                group=f"{number}-{n // 4}",
            )
            for n in range(size)
        )
        job = BatchJob(job_id=f"j{number}", host="h", path="/l/", items=items)
        jobs.apply(AcceptJob(job), 6.0 * number)
    runner = make_runner(jobs)
    now = 8.0
    begun = [call for call in calls(runner.tick(now)) if call.method == "POST"]
    begun_jobs = {call.headers[HeaderNames().request_id].partition("-")[0] for call in begun}
    assert begun_jobs == {"1"}
