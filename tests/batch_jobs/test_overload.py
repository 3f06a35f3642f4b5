"""Which groups wait when there is more work than the engines can do in time."""

import msgspec
import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob, ItemResult, ResultState
from merlinstand.batch_jobs.deferral import GroupDeferral
from merlinstand.batch_jobs.engines import EngineState, EngineStates
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.overload import (
    GENERATING_SHARE,
    EngineCapacity,
    GroupKey,
    GroupLoad,
    engine_capacity,
    group_loads,
    groups_to_defer,
)
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import DaemonReport
from merlinstand.cluster.routes import RouteKind, RoutesDocument, RouteTable, Service
from merlinstand.common.ids import BackendId
from merlinstand.directory.follower import DirectoryFollower
from tests.routes import make_route

CAPACITY = EngineCapacity(events_per_second=100.0, event_seconds=0.04)


class Case(msgspec.Struct, frozen=True):
    """Groups as (due at, events, longest item, needed), at time 0, and the indexes deferred."""

    name: str
    groups: list[tuple[float, float, float, bool]]
    deferred: set[int]


CASES = [
    Case("nothing to do", [], set()),
    Case("all fit", [(4.0, 200.0, 50.0, True), (8.0, 500.0, 50.0, True)], set()),
    Case("the largest waits", [(4.0, 300.0, 50.0, True), (4.0, 200.0, 50.0, True)], {0}),
    Case(
        "one that is not needed goes first",
        [(4.0, 300.0, 9.0, True), (4.0, 200.0, 9.0, False)],
        {1},
    ),
    Case("one that is late goes first", [(-1.0, 100.0, 9.0, True), (4.0, 400.0, 9.0, True)], {0}),
    Case(
        "late ones keep their place if all fit",
        [(-1.0, 100.0, 9.0, True), (4.0, 200.0, 9.0, True)],
        set(),
    ),
    Case(
        "a text too long for its time is late",
        [(4.0, 200.0, 120.0, True), (4.0, 300.0, 9.0, True)],
        {0},
    ),
    Case("a long text alone defers nothing", [(4.0, 200.0, 120.0, True)], set()),
    Case("alone too large", [(1.0, 300.0, 9.0, True)], {0}),
    Case("those due later fit again", [(1.0, 300.0, 9.0, True), (9.0, 800.0, 9.0, True)], {0}),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_groups_that_cannot_be_in_time_wait(case: Case) -> None:
    loads = [
        GroupLoad(
            key=GroupKey("j", f"g{number}"),
            due_at=due_at,
            rest_events=events,
            longest_rest_events=longest,
            is_needed=is_needed,
        )
        for number, (due_at, events, longest, is_needed) in enumerate(case.groups)
    ]
    chosen = groups_to_defer(loads, CAPACITY, 0.0)
    assert chosen == {GroupKey("j", f"g{number}") for number in case.deferred}


def test_without_an_engine_nothing_is_deferred() -> None:
    load = GroupLoad(key=GroupKey("j", "g"), due_at=1.0, rest_events=10.0)
    assert groups_to_defer([load], EngineCapacity(0.0, 0.04), 0.0) == frozenset()


def item(name: str, group: str) -> BatchItem:
    return BatchItem(item_id=name, path="/l/", headers={}, body=b"", group=group)


def test_only_items_without_a_text_count_and_wanted_groups_are_needed() -> None:
    """Of three groups one is whole, two are wanted: the one with less work is needed."""
    items = tuple(item(f"{group}{n}", group) for group in "abc" for n in range(2))
    job = BatchJob(job_id="j", host="h", path="/l/", items=items, wanted_groups=2)
    state = JobState(job, accepted_at=3.0)
    for done in items[:2]:
        state.add(ItemResult(item_id=done.item_id, state=ResultState.TERMINATED))
    runs = [ItemRun("j", waiting) for waiting in items[2:]]
    runs[0].phase = RunPhase.SCORING
    loads = group_loads(runs, {"j": state}, lambda _job: 7.5, lambda _run: 10.0)
    assert {(load.key.group, load.rest_events, load.is_needed) for load in loads} == {
        ("b", 10.0, True),
        ("c", 20.0, False),
    }
    assert {load.due_at for load in loads} == {10.5}


def test_a_carried_group_is_needed_whatever_its_work() -> None:
    items = (item("a", "a"), item("b", "b"))
    job = BatchJob(job_id="j", host="h", path="/l/", items=items, wanted_groups=1)
    runs = [ItemRun("j", waiting) for waiting in items]
    runs[1].is_carried = True
    rests = {"a": 1.0, "b": 100.0}
    jobs = {"j": JobState(job, accepted_at=0.0)}
    loads = group_loads(runs, jobs, lambda _job: 7.5, lambda run: rests[run.item.item_id])
    assert {load.key.group: load.is_needed for load in loads} == {"a": False, "b": True}


@pytest.mark.parametrize(
    ("is_leaving", "penalty_seconds", "rate"),
    [
        pytest.param(False, 0.0, 100.0, id="sound"),
        pytest.param(True, 0.0, 0.0, id="leaving"),
        pytest.param(False, 4.0, 0.0, id="suspect"),
    ],
)
def test_capacity_counts_sound_engines(
    is_leaving: bool, penalty_seconds: float, rate: float
) -> None:
    backend = Backend(
        backend_id=BackendId("e"), service="s", address="a:1", slots=4, is_draining=is_leaving
    )
    engine = EngineState(backend, backoff_seconds=penalty_seconds)
    capacity = engine_capacity([engine], 0.04, 0.0)
    assert capacity.events_per_second == pytest.approx(GENERATING_SHARE * rate)


@pytest.mark.parametrize(
    ("followed", "work", "deferred"),
    [
        pytest.param({"e": "ab"}, {"a": 500.0, "b": 100.0}, set(), id="one has time left"),
        pytest.param({"e": "ab"}, {"a": 400.0, "b": 350.0}, {"a"}, id="too much for both"),
        pytest.param({"e": "ab"}, {"a": 600.0}, set(), id="the other has no work"),
        pytest.param({"e": "a", "f": "b"}, {"a": 200.0, "b": 700.0}, {"b"}, id="none shared"),
        pytest.param({"e": "ab", "f": "bc"}, {"a": 700.0, "c": 400.0}, {"a"}, id="b has no work"),
        pytest.param(
            {"e": "ab", "f": "bc"}, {"a": 700.0, "b": 10.0, "c": 400.0}, set(), id="shared by b"
        ),
    ],
)
def test_models_that_share_engines_are_judged_together(
    followed: dict[str, str], work: dict[str, float], deferred: set[str]
) -> None:
    """Two trainers on one engine of 640 events in time; before, each could count on half of it."""
    service = Service(name="s", models=("a", "b", "c"))
    route = make_route(RouteKind.BATCH, "s", "/l/", result_deadline_seconds=6.0)
    follower = DirectoryFollower((), lambda _now: DaemonReport(node_id="k", name="k", role="k"))
    follower.routes = RouteTable(RoutesDocument(version=1, routes=(route,), services=(service,)))
    follower.set_backends(
        Backend(backend_id=BackendId(name), service="s", address=f"{name}:1", slots=4)
        for name in followed
    )
    follower.backends_revision = 1
    engines = EngineStates(follower)
    engines.refresh()
    for state in engines.states.values():
        state.record_event_time(0.03, 0.0)
    items = tuple(item(f"{number}", "g") for number in range(10))
    jobs = {
        model: JobState(
            BatchJob(job_id=model, host="h", path="/l/", items=items, model=model),
            accepted_at=0.0,
        )
        for model in work
    }
    deferral = GroupDeferral(
        follower,
        engines,
        lambda backend, model: model in followed[backend],
        lambda run: work[run.job_id] / len(items),
    )
    runs = [ItemRun(model, waiting) for model in work for waiting in items]
    deferral.review(runs, jobs, 0.0, 0.0)
    assert {
        run.job_id for run in runs if deferral.deferred_remaining_events(run) is not None
    } == deferred
