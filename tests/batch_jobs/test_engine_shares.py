"""Engines of different speeds are assigned by workload, not by count."""

from collections.abc import Iterable

import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob
from merlinstand.batch_jobs import engine_shares
from merlinstand.batch_jobs.engine_assignment import Assignment
from merlinstand.batch_jobs.engine_shares import (
    EngineRate,
    ModelWorkload,
    are_heterogeneous,
    assign_by_workload,
    deadline_ratio,
    workload_of_jobs,
)
from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.model_assignments import (
    WORKLOAD_ASSIGNMENT_ENGINES_LIMIT,
    ModelAssignments,
)
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import DaemonReport
from merlinstand.cluster.routes import RouteKind, RoutesDocument, RouteTable, Service
from merlinstand.common.ids import BackendId
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.kernel.effects import LogEvent, SetGauge
from tests.routes import make_route

FAST, SLOW = 0.026, 0.058
SHORT = ModelWorkload((70.0, *(8.0,) * 31), 120.0, 7.5)
LONG = ModelWorkload((145.0, 120.0, 90.0, *(18.0,) * 29), 120.0, 7.5)
WORKLOADS = {"m0": SHORT, "m1": LONG, "m2": LONG, "m3": LONG}


def engine(number: int, seconds: float) -> EngineRate:
    return EngineRate(BackendId(f"e{number:02d}"), 8, seconds)


def heterogeneous_engines() -> list[EngineRate]:
    """Return 23 engines, of which every fourth is fast."""
    return [engine(n, SLOW if n % 4 else FAST) for n in range(23)]


def assigned_engines(
    engines: list[EngineRate], assignment: Assignment, model: str
) -> list[EngineRate]:
    return [e for e in engines if assignment[e.backend_id] == frozenset((model,))]


def assign_until_stable(engines: list[EngineRate], current: Assignment) -> Assignment:
    all_engines = frozenset(e.backend_id for e in engines)
    for _ in range(30):
        assignment = assign_by_workload(engines, WORKLOADS, current, all_engines)
        if assignment == current:
            return assignment
        current = assignment
    raise AssertionError("assignment still changes after 30 rounds")


def test_models_on_heterogeneous_engines_get_similar_deadline_ratios() -> None:
    """Initially all fast engines are assigned the model with short texts."""
    engines = heterogeneous_engines()
    fast = [e for e in engines if e.event_seconds == FAST]
    slow = [e for e in engines if e.event_seconds == SLOW]
    current = {e.backend_id: frozenset(("m0",)) for e in fast}
    current |= {e.backend_id: frozenset((f"m{n % 3 + 1}",)) for n, e in enumerate(slow)}
    assignment = assign_until_stable(engines, current)
    ratios = {
        m: deadline_ratio(WORKLOADS[m], assigned_engines(engines, assignment, m)) for m in WORKLOADS
    }
    assert max(ratios.values()) < 1.3 * min(ratios["m1"], ratios["m2"], ratios["m3"])
    assert all(
        any(e.event_seconds == FAST for e in assigned_engines(engines, assignment, m))
        for m in ("m1", "m2", "m3")
    )


def test_one_change_at_a_time_and_only_of_reassignable_engines() -> None:
    """Each change costs a weight load, so a recently reassigned engine keeps its model."""
    engines = heterogeneous_engines()
    current = {e.backend_id: frozenset((f"m{n % 4}",)) for n, e in enumerate(engines)}
    all_engines = frozenset(current)
    assignment = assign_by_workload(engines, WORKLOADS, current, all_engines)
    changed = [backend for backend in current if assignment[backend] != current[backend]]
    assert 1 <= len(changed) <= 2
    assert assign_by_workload(engines, WORKLOADS, current, frozenset()) == current


def test_model_without_engines_gets_one() -> None:
    """The only engine of a model has left."""
    engines = heterogeneous_engines()
    current = {e.backend_id: frozenset((f"m{n % 3}",)) for n, e in enumerate(engines)}
    assignment = assign_by_workload(engines, WORKLOADS, current, frozenset(current))
    assert len(assigned_engines(engines, assignment, "m3")) == 1


@pytest.mark.parametrize("lost", [("m1",), ("m2", "m3"), ("m1", "m2", "m3")])
def test_models_without_engines_get_even_recently_reassigned_ones(lost: tuple[str, ...]) -> None:
    """Lost zones held all engines of some models; the other engines were just reassigned."""
    engines = heterogeneous_engines()
    kept = [model for model in WORKLOADS if model not in lost]
    current = {e.backend_id: frozenset((kept[n % len(kept)],)) for n, e in enumerate(engines)}
    assignment = assign_by_workload(engines, WORKLOADS, current, frozenset())
    assert {m: len(assigned_engines(engines, assignment, m)) for m in lost} == dict.fromkeys(
        lost, 1
    )
    assert all(len(assigned_engines(engines, assignment, m)) > 1 for m in kept)


def test_evaluations_do_not_grow_with_the_number_of_engines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Ten times as many engines must not need more evaluations, which would block the leader."""
    evaluations: list[int] = []

    def counted(workload: ModelWorkload, engines: Iterable[EngineRate]) -> float:
        evaluations[-1] += 1
        return deadline_ratio(workload, engines)

    monkeypatch.setattr(engine_shares, "deadline_ratio", counted)
    for count in (80, 800):
        evaluations.append(0)
        engines = [engine(n, SLOW if n % 4 else FAST) for n in range(count)]
        current = {e.backend_id: frozenset((f"m{n % 4}",)) for n, e in enumerate(engines)}
        assign_by_workload(engines, WORKLOADS, current, frozenset(current))
    assert evaluations[0] == evaluations[1]


def test_new_engine_is_assigned_the_most_loaded_model() -> None:
    engines = heterogeneous_engines()
    current = {e.backend_id: frozenset((f"m{n % 4}",)) for n, e in enumerate(engines[:-1])}
    new = engines[-1].backend_id
    assignment = assign_by_workload(engines, WORKLOADS, current, frozenset())
    ratios = {
        m: deadline_ratio(WORKLOADS[m], assigned_engines(engines[:-1], assignment | {}, m))
        for m in WORKLOADS
    }
    assert assignment[new] == frozenset((max(ratios, key=lambda model: ratios[model]),))


@pytest.mark.parametrize(
    ("seconds", "expected"),
    [((), False), ((0.03, 0.035), False), ((0.03, 0.04), True)],
)
def test_small_speed_differences_count_as_homogeneous(
    seconds: tuple[float, ...], expected: bool
) -> None:
    assert are_heterogeneous(engine(n, time) for n, time in enumerate(seconds)) is expected


def test_longest_texts_need_the_fastest_engines() -> None:
    """Equal throughput does not help if no engine completes the longest text in time."""
    slow_only = [engine(n, SLOW) for n in range(6)]
    with_fast = [engine(0, FAST), engine(1, SLOW), engine(2, SLOW), engine(3, 4 * SLOW)]
    assert deadline_ratio(LONG, with_fast) < deadline_ratio(LONG, slow_only)
    assert deadline_ratio(LONG, ()) == float("inf")


@pytest.mark.parametrize(
    ("estimates", "jobs", "texts"), [((300, 20), 1, 2.0), ((300, 20), 3, 3.75)]
)
def test_workload_of_the_newest_jobs(estimates: tuple[int, ...], jobs: int, texts: float) -> None:
    """With a job every 4 s and a deadline of 7.5 s, nearly two jobs run concurrently."""
    job = job_of("m0", estimates)
    workload = workload_of_jobs([JobState(job, 4.0 * (jobs - n)) for n in range(jobs)], 7.5)
    assert workload is not None
    assert (workload.text_count, workload.lengths[0], workload.lengths[-1]) == (texts, 300.0, 20.0)


def test_workload_is_unknown_without_length_estimates() -> None:
    assert workload_of_jobs([JobState(job_of("m0", (0, 0)), 0.0)], 7.5) is None
    assert workload_of_jobs([], 7.5) is None


class AssignedModels:
    """Engines with the given event times, shared by two models with one job each."""

    def __init__(self, event_seconds: tuple[float, ...], estimate: int = 1000) -> None:
        service = Service(name="llm", slots=8, models=("m0", "m1"))
        route = make_route(RouteKind.BATCH, "llm", "/l/", result_deadline_seconds=7.5)
        report = DaemonReport(node_id="k", name="k", role="keeper")
        follower = DirectoryFollower((), lambda _now: report)
        follower.routes = RouteTable(
            RoutesDocument(version=1, routes=(route,), services=(service,))
        )
        follower.set_backends(
            Backend(backend_id=BackendId(f"e{n}"), service="llm", address=f"e{n}:1", slots=8)
            for n in range(len(event_seconds))
        )
        follower.backends_revision = 1
        self.engines = EngineStates(follower)
        self.engines.refresh()
        self.jobs = {
            model: [JobState(job_of(model, (estimate, *(estimate // factor,) * 79)), 0.0)]
            for model, factor in (("m0", 10), ("m1", 2))
        }
        self.assignments = ModelAssignments(
            follower, self.engines, lambda _model: 1.0, lambda model: self.jobs[model]
        )
        self.follower = follower
        self.assignments.update(0.0)
        for seconds, state in zip(event_seconds, self.engines.states.values(), strict=True):
            state.record_event_time(seconds, 1.0)

    def of(self, model: str) -> list[str]:
        return [b for b in self.engines.states if self.assignments.is_assigned(b, model)]


def job_of(model: str, estimates: tuple[int, ...]) -> BatchJob:
    items = tuple(
        BatchItem(item_id=f"i{n}", path="/", headers={}, body=b"", expected_tokens=estimate)
        for n, estimate in enumerate(estimates)
    )
    return BatchJob(job_id=model, host="h", path="/l/", items=items, model=model)


def test_heterogeneous_engines_are_reassigned_and_reported() -> None:
    """Both fast engines are assigned the model with less work: one moves, then no more do."""
    assigned = AssignedModels((FAST, SLOW, FAST, SLOW, SLOW, SLOW))
    assert assigned.of("m0") == ["e0", "e2", "e4"]
    effects = [e for second in range(10, 40) for e in assigned.assignments.update(float(second))]
    moved = [e for e in effects if isinstance(e, LogEvent)]
    assert moved and {e.fields["most_loaded_model"] for e in moved} <= {"m0", "m1"}
    assert len(moved) <= 4
    assert {"e0", "e2"} & set(assigned.of("m1"))
    gauges = [e for e in effects if isinstance(e, SetGauge)]
    assert {(e.name, e.labels["model"]) for e in gauges} == {
        (name, model)
        for name in ("batch_engines", "batch_lateness_share")
        for model in ("m0", "m1")
    }
    assert max(e.value for e in gauges[-4:] if e.name == "batch_lateness_share") == 1.0


def test_removed_models_are_no_longer_reported() -> None:
    """Gauges must not be reported for models that operators have removed."""
    assigned = AssignedModels((FAST, SLOW, FAST, SLOW, SLOW, SLOW))
    assert any(isinstance(e, SetGauge) for e in assigned.assignments.update(10.0))
    assigned.follower.routes = RouteTable(RoutesDocument(version=2))
    effects = [e for second in range(11, 40) for e in assigned.assignments.update(float(second))]
    assert effects == []


@pytest.mark.parametrize(
    ("event_seconds", "estimate"),
    [
        ((SLOW,) * 6, 1000),
        ((FAST, SLOW, FAST, SLOW, SLOW, SLOW), 0),
        ((FAST, SLOW) * (WORKLOAD_ASSIGNMENT_ENGINES_LIMIT // 2 + 1), 1000),
    ],
    ids=["equal speeds", "jobs without length estimates", "very many engines"],
)
def test_other_services_are_assigned_by_count(
    event_seconds: tuple[float, ...], estimate: int
) -> None:
    assigned = AssignedModels(event_seconds, estimate)
    before = assigned.of("m0")
    assert [e for second in range(10, 40) for e in assigned.assignments.update(float(second))] == []
    assert assigned.of("m0") == before
    assert len(before) == len(event_seconds) // 2
