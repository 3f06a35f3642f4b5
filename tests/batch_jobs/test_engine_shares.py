"""Engines of unequal speed are shared out by what they can do, not by their number."""

from collections.abc import Iterable

import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob
from merlinstand.batch_jobs import engine_shares
from merlinstand.batch_jobs.engine_assignment import Assignment
from merlinstand.batch_jobs.engine_shares import (
    EngineRate,
    ModelNeed,
    are_uneven,
    lateness,
    need_of_jobs,
    share_engines,
)
from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.model_assignments import SHARED_ENGINES_LIMIT, ModelAssignments
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import DaemonReport
from merlinstand.cluster.routes import RouteKind, RoutesDocument, RouteTable, Service
from merlinstand.common.ids import BackendId
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.kernel.effects import LogEvent, SetGauge
from tests.routes import make_route

FAST, SLOW = 0.026, 0.058
SHORT = ModelNeed((70.0, *(8.0,) * 31), 120.0, 7.5)
LONG = ModelNeed((145.0, 120.0, 90.0, *(18.0,) * 29), 120.0, 7.5)
NEEDS = {"m0": SHORT, "m1": LONG, "m2": LONG, "m3": LONG}


def engine(number: int, seconds: float) -> EngineRate:
    return EngineRate(BackendId(f"e{number:02d}"), 8, seconds)


def uneven_engines() -> list[EngineRate]:
    """Of 23 engines every fourth is fast: six of them."""
    return [engine(n, SLOW if n % 4 else FAST) for n in range(23)]


def followers(engines: list[EngineRate], shared: Assignment, model: str) -> list[EngineRate]:
    return [e for e in engines if shared[e.backend_id] == frozenset((model,))]


def share_until_settled(engines: list[EngineRate], held: Assignment) -> Assignment:
    everybody = frozenset(e.backend_id for e in engines)
    for _ in range(30):
        shared = share_engines(engines, NEEDS, held, everybody)
        if shared == held:
            return shared
        held = shared
    raise AssertionError("engines go to and fro")


def test_four_trainers_on_uneven_engines_are_late_alike() -> None:
    """Three trainers of long texts, one of short ones; m1 begins with slow engines only."""
    engines = uneven_engines()
    fast = [e for e in engines if e.event_seconds == FAST]
    slow = [e for e in engines if e.event_seconds == SLOW]
    held = {e.backend_id: frozenset(("m0",)) for e in fast}
    held |= {e.backend_id: frozenset((f"m{n % 3 + 1}",)) for n, e in enumerate(slow)}
    shared = share_until_settled(engines, held)
    times = {m: lateness(NEEDS[m], followers(engines, shared, m)) for m in NEEDS}
    assert max(times.values()) < 1.3 * min(times["m1"], times["m2"], times["m3"])
    assert all(
        any(e.event_seconds == FAST for e in followers(engines, shared, m))
        for m in ("m1", "m2", "m3")
    )


def test_one_exchange_at_a_time_and_none_of_engines_that_changed_lately() -> None:
    """Loads and orders are priced: an engine that has just changed stays."""
    engines = uneven_engines()
    held = {e.backend_id: frozenset((f"m{n % 4}",)) for n, e in enumerate(engines)}
    everybody = frozenset(held)
    shared = share_engines(engines, NEEDS, held, everybody)
    changed = [backend for backend in held if shared[backend] != held[backend]]
    assert 1 <= len(changed) <= 2
    assert share_engines(engines, NEEDS, held, frozenset()) == held


def test_no_model_is_left_without_an_engine() -> None:
    """A trainer's only engine has gone: another one takes its place at once."""
    engines = uneven_engines()
    held = {e.backend_id: frozenset((f"m{n % 3}",)) for n, e in enumerate(engines)}
    shared = share_engines(engines, NEEDS, held, frozenset(held))
    assert len(followers(engines, shared, "m3")) == 1


@pytest.mark.parametrize("lost", [("m1",), ("m2", "m3"), ("m1", "m2", "m3")])
def test_models_that_lost_all_engines_get_others_at_once(lost: tuple[str, ...]) -> None:
    """Zones are gone with all engines of some trainers; the others' have just changed models."""
    engines = uneven_engines()
    kept = [model for model in NEEDS if model not in lost]
    held = {e.backend_id: frozenset((kept[n % len(kept)],)) for n, e in enumerate(engines)}
    shared = share_engines(engines, NEEDS, held, frozenset())
    assert {m: len(followers(engines, shared, m)) for m in lost} == dict.fromkeys(lost, 1)
    assert all(len(followers(engines, shared, m)) > 1 for m in kept)


def test_work_of_a_turn_does_not_grow_with_the_square_of_the_engines(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Four trainers on 800 engines, all held: models are weighed as often as with 80."""
    weighed: list[int] = []

    def counted(need: ModelNeed, engines: Iterable[EngineRate]) -> float:
        weighed[-1] += 1
        return lateness(need, engines)

    monkeypatch.setattr(engine_shares, "lateness", counted)
    for count in (80, 800):
        weighed.append(0)
        engines = [engine(n, SLOW if n % 4 else FAST) for n in range(count)]
        held = {e.backend_id: frozenset((f"m{n % 4}",)) for n, e in enumerate(engines)}
        share_engines(engines, NEEDS, held, frozenset(held))
    assert weighed[0] == weighed[1]


def test_a_new_engine_goes_to_the_model_that_is_worst_off() -> None:
    engines = uneven_engines()
    held = {e.backend_id: frozenset((f"m{n % 4}",)) for n, e in enumerate(engines[:-1])}
    new = engines[-1].backend_id
    shared = share_engines(engines, NEEDS, held, frozenset())
    times = {m: lateness(NEEDS[m], followers(engines[:-1], shared | {}, m)) for m in NEEDS}
    assert shared[new] == frozenset((max(times, key=lambda model: times[model]),))


@pytest.mark.parametrize(
    ("seconds", "uneven"),
    [((), False), ((0.03, 0.035), False), ((0.03, 0.04), True)],
)
def test_small_differences_leave_engines_even(seconds: tuple[float, ...], uneven: bool) -> None:
    assert are_uneven(engine(n, time) for n, time in enumerate(seconds)) is uneven


def test_the_longest_texts_need_the_fastest_engines() -> None:
    """As many events a second, but no engine on which the longest text ends in time."""
    slow_only = [engine(n, SLOW) for n in range(6)]
    with_fast = [engine(0, FAST), engine(1, SLOW), engine(2, SLOW), engine(3, 4 * SLOW)]
    assert lateness(LONG, with_fast) < lateness(LONG, slow_only)
    assert lateness(LONG, ()) == float("inf")


@pytest.mark.parametrize(("hints", "jobs", "texts"), [((300, 20), 1, 2.0), ((300, 20), 3, 3.75)])
def test_needs_follow_from_the_newest_jobs(hints: tuple[int, ...], jobs: int, texts: float) -> None:
    """Jobs each 4 s that are due after 7.5 s: nearly two of them are under way at once."""
    job = job_of("m0", hints)
    need = need_of_jobs([JobState(job, 4.0 * (jobs - n)) for n in range(jobs)], 7.5)
    assert need is not None
    assert (need.texts, need.lengths[0], need.lengths[-1]) == (texts, 300.0, 20.0)


def test_jobs_without_guesses_of_length_tell_nothing() -> None:
    assert need_of_jobs([JobState(job_of("m0", (0, 0)), 0.0)], 7.5) is None
    assert need_of_jobs([], 7.5) is None


class Followed:
    """Six engines of two models, of which two are fast, and one job of each model."""

    def __init__(self, paces: tuple[float, ...], hint: int = 1000) -> None:
        service = Service(name="llm", slots=8, models=("m0", "m1"))
        route = make_route(RouteKind.BATCH, "llm", "/l/", result_deadline_seconds=7.5)
        report = DaemonReport(node_id="k", name="k", role="keeper")
        follower = DirectoryFollower((), lambda _now: report)
        follower.routes = RouteTable(
            RoutesDocument(version=1, routes=(route,), services=(service,))
        )
        follower.set_backends(
            Backend(backend_id=BackendId(f"e{n}"), service="llm", address=f"e{n}:1", slots=8)
            for n in range(len(paces))
        )
        follower.backends_revision = 1
        self.engines = EngineStates(follower)
        self.engines.refresh()
        self.jobs = {
            model: [JobState(job_of(model, (hint, *(hint // factor,) * 79)), 0.0)]
            for model, factor in (("m0", 10), ("m1", 2))
        }
        self.followed = ModelAssignments(
            follower, self.engines, lambda _model: 1.0, lambda model: self.jobs[model]
        )
        self.follower = follower
        self.followed.update(0.0)
        for pace, state in zip(paces, self.engines.states.values(), strict=True):
            state.record_event_time(pace, 1.0)

    def of(self, model: str) -> list[str]:
        return [b for b in self.engines.states if self.followed.is_assigned(b, model)]


def job_of(model: str, hints: tuple[int, ...]) -> BatchJob:
    items = tuple(
        BatchItem(item_id=f"i{n}", path="/", headers={}, body=b"", expected_tokens=hint)
        for n, hint in enumerate(hints)
    )
    return BatchJob(job_id=model, host="h", path="/l/", items=items, model=model)


def test_uneven_engines_are_exchanged_and_operators_see_it() -> None:
    """Both fast engines follow the model of less work: one goes over, then it is over."""
    held = Followed((FAST, SLOW, FAST, SLOW, SLOW, SLOW))
    assert held.of("m0") == ["e0", "e2", "e4"]
    effects = [e for second in range(10, 40) for e in held.followed.update(float(second))]
    moved = [e for e in effects if isinstance(e, LogEvent)]
    assert moved and {e.fields["worst"] for e in moved} <= {"m0", "m1"}
    assert len(moved) <= 4
    assert {"e0", "e2"} & set(held.of("m1"))
    gauges = [e for e in effects if isinstance(e, SetGauge)]
    assert {(e.name, e.labels["model"]) for e in gauges} == {
        (name, model)
        for name in ("batch_engines", "batch_lateness_share")
        for model in ("m0", "m1")
    }
    assert max(e.value for e in gauges[-4:] if e.name == "batch_lateness_share") == 1.0


def test_models_that_are_no_longer_trained_are_forgotten() -> None:
    """Operators take out the trainers of uneven engines: nothing is shown of their models."""
    held = Followed((FAST, SLOW, FAST, SLOW, SLOW, SLOW))
    assert any(isinstance(e, SetGauge) for e in held.followed.update(10.0))
    held.follower.routes = RouteTable(RoutesDocument(version=2))
    effects = [e for second in range(11, 40) for e in held.followed.update(float(second))]
    assert effects == []


@pytest.mark.parametrize(
    ("paces", "hint"),
    [
        ((SLOW,) * 6, 1000),
        ((FAST, SLOW, FAST, SLOW, SLOW, SLOW), 0),
        ((FAST, SLOW) * (SHARED_ENGINES_LIMIT // 2 + 1), 1000),
    ],
    ids=["even engines", "jobs without guesses", "very many engines"],
)
def test_other_engines_stay_shared_out_by_number(paces: tuple[float, ...], hint: int) -> None:
    held = Followed(paces, hint)
    before = held.of("m0")
    assert [e for second in range(10, 40) for e in held.followed.update(float(second))] == []
    assert held.of("m0") == before
    assert len(before) == len(paces) // 2
