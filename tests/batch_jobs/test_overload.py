"""Which groups are deferred when the engines cannot complete all work in time."""

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

CAPACITY = EngineCapacity(events_per_second=100.0, median_event_seconds=0.04)


class Case(msgspec.Struct, frozen=True):
    """Groups as (deadline, events, longest item, needed), and the indexes deferred at time 0."""

    name: str
    groups: list[tuple[float, float, float, bool]]
    deferred: set[int]


CASES = [
    Case("no groups", [], set()),
    Case("all fit", [(4.0, 200.0, 50.0, True), (8.0, 500.0, 50.0, True)], set()),
    Case("largest is deferred", [(4.0, 300.0, 50.0, True), (4.0, 200.0, 50.0, True)], {0}),
    Case(
        "unneeded group is deferred first",
        [(4.0, 300.0, 9.0, True), (4.0, 200.0, 9.0, False)],
        {1},
    ),
    Case("late group is deferred first", [(-1.0, 100.0, 9.0, True), (4.0, 400.0, 9.0, True)], {0}),
    Case(
        "late group is not deferred if all fit",
        [(-1.0, 100.0, 9.0, True), (4.0, 200.0, 9.0, True)],
        set(),
    ),
    Case(
        "group with a text too long for its deadline is late",
        [(4.0, 200.0, 120.0, True), (4.0, 300.0, 9.0, True)],
        {0},
    ),
    Case("late group alone is not deferred", [(4.0, 200.0, 120.0, True)], set()),
    Case("single group too large", [(1.0, 300.0, 9.0, True)], {0}),
    Case(
        "later groups fit after a deferral", [(1.0, 300.0, 9.0, True), (9.0, 800.0, 9.0, True)], {0}
    ),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_groups_that_cannot_meet_their_deadlines_are_deferred(case: Case) -> None:
    loads = [
        GroupLoad(
            key=GroupKey("j", f"g{number}"),
            deadline=due_at,
            remaining_events=events,
            longest_remaining_events=longest,
            is_needed=is_needed,
        )
        for number, (due_at, events, longest, is_needed) in enumerate(case.groups)
    ]
    chosen = groups_to_defer(loads, CAPACITY, 0.0)
    assert chosen == {GroupKey("j", f"g{number}") for number in case.deferred}


def test_nothing_is_deferred_without_engines() -> None:
    load = GroupLoad(key=GroupKey("j", "g"), deadline=1.0, remaining_events=10.0)
    assert groups_to_defer([load], EngineCapacity(0.0, 0.04), 0.0) == frozenset()


def item(name: str, group: str) -> BatchItem:
    return BatchItem(item_id=name, path="/l/", headers={}, body=b"", group=group)


def test_only_incomplete_texts_count_and_only_wanted_groups_are_needed() -> None:
    """Two of three groups are wanted and one is complete, so the one with less work is needed."""
    items = tuple(item(f"{group}{n}", group) for group in "abc" for n in range(2))
    job = BatchJob(job_id="j", host="h", path="/l/", items=items, wanted_groups=2)
    state = JobState(job, accepted_at=3.0)
    for done in items[:2]:
        state.list_result(ItemResult(item_id=done.item_id, state=ResultState.TERMINATED))
    runs = [ItemRun("j", waiting) for waiting in items[2:]]
    runs[0].phase = RunPhase.SCORING
    loads = group_loads(runs, {"j": state}, lambda _job: 7.5, lambda _run: 10.0)
    assert {(load.key.group, load.remaining_events, load.is_needed) for load in loads} == {
        ("b", 10.0, True),
        ("c", 20.0, False),
    }
    assert {load.deadline for load in loads} == {10.5}


def test_carried_over_group_is_needed_regardless_of_its_work() -> None:
    items = (item("a", "a"), item("b", "b"))
    job = BatchJob(job_id="j", host="h", path="/l/", items=items, wanted_groups=1)
    runs = [ItemRun("j", waiting) for waiting in items]
    runs[1].is_resubmitted = True
    remaining = {"a": 1.0, "b": 100.0}
    jobs = {"j": JobState(job, accepted_at=0.0)}
    loads = group_loads(runs, jobs, lambda _job: 7.5, lambda run: remaining[run.item.item_id])
    assert {load.key.group: load.is_needed for load in loads} == {"a": False, "b": True}


@pytest.mark.parametrize(
    ("is_draining", "backoff_seconds", "events_per_second"),
    [
        pytest.param(False, 0.0, 100.0, id="healthy"),
        pytest.param(True, 0.0, 0.0, id="draining"),
        pytest.param(False, 4.0, 0.0, id="suspect"),
    ],
)
def test_capacity_counts_only_healthy_engines(
    is_draining: bool, backoff_seconds: float, events_per_second: float
) -> None:
    backend = Backend(
        backend_id=BackendId("e"), service="s", address="a:1", slots=4, is_draining=is_draining
    )
    engine = EngineState(backend, backoff_seconds=backoff_seconds)
    capacity = engine_capacity([engine], 0.04, 0.0)
    assert capacity.events_per_second == pytest.approx(GENERATING_SHARE * events_per_second)


@pytest.mark.parametrize(
    ("assigned", "work", "deferred"),
    [
        pytest.param({"e": "ab"}, {"a": 500.0, "b": 100.0}, set(), id="capacity left for both"),
        pytest.param({"e": "ab"}, {"a": 400.0, "b": 350.0}, {"a"}, id="too much work for both"),
        pytest.param({"e": "ab"}, {"a": 600.0}, set(), id="other model without work"),
        pytest.param({"e": "a", "f": "b"}, {"a": 200.0, "b": 700.0}, {"b"}, id="no shared engine"),
        pytest.param(
            {"e": "ab", "f": "bc"},
            {"a": 700.0, "c": 400.0},
            {"a"},
            id="connecting model without work",
        ),
        pytest.param(
            {"e": "ab", "f": "bc"},
            {"a": 700.0, "b": 10.0, "c": 400.0},
            set(),
            id="connected by a third model",
        ),
    ],
)
def test_models_that_share_engines_are_reviewed_together(
    assigned: dict[str, str], work: dict[str, float], deferred: set[str]
) -> None:
    """Capacity that one model does not use must be available to the others on its engines."""
    service = Service(name="s", models=("a", "b", "c"))
    route = make_route(RouteKind.BATCH, "s", "/l/", result_deadline_seconds=6.0)
    follower = DirectoryFollower((), lambda _now: DaemonReport(node_id="k", name="k", role="k"))
    follower.routes = RouteTable(RoutesDocument(version=1, routes=(route,), services=(service,)))
    follower.set_backends(
        Backend(backend_id=BackendId(name), service="s", address=f"{name}:1", slots=4)
        for name in assigned
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
        lambda backend, model: model in assigned[backend],
        lambda run: work[run.job_id] / len(items),
    )
    runs = [ItemRun(model, waiting) for model in work for waiting in items]
    deferral.review(runs, jobs, 0.0, 0.0)
    assert {
        run.job_id for run in runs if deferral.deferred_remaining_events(run) is not None
    } == deferred
