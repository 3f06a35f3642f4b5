"""When the runner starts and moves items, and that it does no work while no engine is available."""

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
    """Make a runner with two engines that has accepted all jobs.

    Stored texts are appended to `kept`, commands that list results to `listed`.
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
    forwarder = Forwarder(names, follower.backends_of)

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
    made.load_open_jobs(0.0)
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


def test_new_job_fills_exactly_the_free_slots(runner: ItemRunner) -> None:
    started = calls(runner.start_if_due(0.0))
    assert len(started) == SLOTS * ENGINES
    assert calls(runner.start_if_due(0.01)) == []


def test_freed_slot_is_reused_immediately(runner: ItemRunner) -> None:
    call = calls(runner.start_if_due(0.0))[0]
    head = CallHeaders(call.call_id, 200, {})
    runner.on_call(head, 0.1)
    runner.on_call(CallChunk(call.call_id, b"id: 1\ndata: x\n\n"), 0.15)
    runner.on_call(CallEnded(call.call_id), 0.2)
    [following] = calls(runner.start_if_due(0.2))
    assert following.address == call.address


def test_no_engine_is_evaluated_while_none_is_available(
    runner: ItemRunner, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With many waiting items, evaluating engines on each event would block the leader."""
    runner.start_if_due(0.0)
    evaluated: list[str] = []
    monkeypatch.setattr(scheduling_pass, "choose_engine", _recorder(evaluated))
    for step in range(20):
        runner.tick(0.01 * step)
        runner.start_if_due(0.01 * step)
    assert evaluated == []


def test_identical_unsatisfiable_requirements_are_evaluated_once(
    runner: ItemRunner, monkeypatch: pytest.MonkeyPatch
) -> None:
    evaluated: list[str] = []
    monkeypatch.setattr(scheduling_pass, "choose_engine", _recorder(evaluated))
    runner.start_if_due(0.0)
    assert evaluated == ["llm"]


def test_item_of_a_failed_run_waits_for_its_retry_delay(runner: ItemRunner) -> None:
    call = calls(runner.start_if_due(0.0))[0]
    runner.on_call(CallFailed(call.call_id, CallPhase.CONNECT, "refused"), 0.1)
    assert calls(runner.start_if_due(0.1)) == []
    # Its engine is in backoff at first; then the freed slot is used.
    assert len(calls(runner.tick(1.0))) == 1


def _recorder(evaluated: list[str]) -> Callable[..., None]:
    def choose(engines: list[object], *_rest: object) -> None:
        evaluated.append("llm")

    return choose


def test_runs_move_from_a_slow_engine_to_free_slots_of_a_faster_one(
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
    # Without waiting items, only moves are evaluated.
    runner._runs = {key: run for key, run in runner._runs.items() if run.call_id is not None}
    runner.on_call(CallEnded(at_fast[0].call_id), 3.0)
    effects = [*runner.tick(3.0), *runner.start_if_due(3.0)]
    moved = [effect for effect in effects if isinstance(effect, CancelCall)]
    [again] = calls(effects)
    assert len(moved) == 1
    assert again.address == fast.backend.address
    assert again.headers["last-event-id"] == "7"


def test_late_job_does_not_delay_the_next_one_under_overload() -> None:
    """Earliest deadline first would make every job late under overload.

    The first job is past its deadline. The second, with 5.5 s left for 880 events at 160 per
    second, can meet its deadline only if none of the first job runs.
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
    started = [call for call in calls(runner.tick(now)) if call.method == "POST"]
    started_jobs = {call.headers[HeaderNames().request_id].partition("-")[0] for call in started}
    assert started_jobs == {"1"}
