"""Item order, engine choice, run moves and engine assignment."""

import msgspec
import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob
from merlinstand.batch_jobs.engine_assignment import (
    assign_engines,
    engine_quotas,
    infer_assignment,
)
from merlinstand.batch_jobs.engines import EngineState, EngineStates, median_event_seconds
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.placement import ItemRequirements, choose_engine
from merlinstand.batch_jobs.run_moves import (
    MULTIPLE_MODELS,
    SlotSwapContext,
    find_slot_swaps,
    movable_runs,
    seconds_saved,
)
from merlinstand.batch_jobs.schedule import group_progress, job_ranks, latest_start, urgency_key
from merlinstand.batch_jobs.scheduling_pass import SchedulingPass
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.cluster.backends import Backend, LoadedModel
from merlinstand.cluster.daemons import DaemonReport
from merlinstand.cluster.routes import Service
from merlinstand.common.ids import BackendId
from merlinstand.directory.follower import DirectoryFollower


def engine(
    name: str, running: int = 0, version: int = 1, event_seconds: float = 0.03
) -> EngineState:
    backend = Backend(
        backend_id=BackendId(name),
        service="llm",
        address=f"{name}:1",
        slots=4,
        models=(LoadedModel("m0", version),),
    )
    return EngineState(backend, running=running, event_seconds=event_seconds)


def run(item: str, group: str, job: int = 1, expected: int = 0) -> ItemRun:
    batch_item = BatchItem(
        item_id=item, path="/l/1", headers={}, body=b"", group=group, expected_tokens=expected
    )
    return ItemRun(f"j{job}", batch_item, (job, int(item)))


def assigned_any_model(_backend: BackendId, _model: str) -> bool:
    return True


def choose_backend_id(
    engines: list[EngineState], minimum: int = 1, preferred: str | None = None, rest: float = 20.0
) -> str:
    held = BackendId(preferred) if preferred else None
    requirements = ItemRequirements(
        model="m0", minimum_version=minimum, remaining_events=rest, preferred_backend_id=held
    )
    chosen = choose_engine(
        engines, requirements, assigned_any_model, 0.0, median_event_seconds(engines, 0.0)
    )
    return chosen.backend.backend_id if chosen else ""


@pytest.mark.parametrize(
    ("local_running", "local_event_seconds", "expected"),
    [
        pytest.param(0, 0.03, "home", id="equal speed"),
        pytest.param(3, 0.03, "home", id="local engine partly busy"),
        pytest.param(4, 0.03, "away", id="no local slot free"),
        pytest.param(0, 0.06, "away", id="local engine twice as slow"),
    ],
)
def test_remote_engine_is_chosen_only_for_a_gain(
    local_running: int, local_event_seconds: float, expected: str
) -> None:
    home = engine("home", running=local_running, event_seconds=local_event_seconds)
    away = engine("away")
    away.is_remote = True
    home.measured_at = away.measured_at = 0.0
    assert choose_backend_id([away, home]) == expected


def test_each_model_is_assigned_one_of_the_best_engines() -> None:
    engines = [BackendId(name) for name in ("a1", "a2", "a3", "b1", "b2", "b3")]
    assignment = assign_engines(engines, {"m0": 1.0, "m1": 1.0, "m2": 1.0}, {})
    best = {model for name in ("a1", "a2", "a3") for model in assignment[BackendId(name)]}
    assert best == {"m0", "m1", "m2"}


def test_engine_below_the_minimum_version_is_not_chosen() -> None:
    assert (
        choose_backend_id([engine("a", version=1), engine("b", running=3, version=2)], minimum=2)
        == "b"
    )
    assert choose_backend_id([engine("a", version=1)], minimum=2) == ""


def test_group_prefers_the_engine_with_its_prompt_cached_unless_it_is_slow() -> None:
    assert choose_backend_id([engine("a"), engine("b", running=2)], preferred="b") == "b"
    assert choose_backend_id([engine("a"), engine("b", event_seconds=0.1)], preferred="b") == "a"


def test_full_loading_and_backed_off_engines_are_not_chosen() -> None:
    full, loading, backed_off = engine("a", running=4), engine("b"), engine("c")
    loading.is_loading = True
    backed_off.backoff_until = 1.0
    assert choose_backend_id([full, loading, backed_off]) == ""


def sorted_item_ids(
    runs: list[ItemRun], latest_starts: dict[str, float], ranks: dict[str, int] | None = None
) -> list[str]:
    groups = group_progress(runs)
    waiting = [r for r in runs if r.phase is RunPhase.WAITING]
    waiting.sort(
        key=lambda r: urgency_key(
            r,
            groups[(r.job_id, r.item.group)],
            (ranks or {}).get(r.job_id, 0),
            latest_starts.get(r.item.item_id, 0.0),
        )
    )
    return [r.item.item_id for r in waiting]


def test_started_groups_and_earlier_jobs_come_first() -> None:
    started = run("1", "g1")
    started.phase = RunPhase.GENERATING
    runs = [run("4", "g2", job=2), run("3", "g2"), run("2", "g1"), started]
    assert sorted_item_ids(runs, {"4": latest_start(1.0, 10.0, 0.03)}) == ["2", "3", "4"]


@pytest.mark.parametrize(
    ("first", "second", "order"),
    [
        ((0.0, 10.0), (0.0, 90.0), ["2", "1"]),
        ((0.0, 10.0), (0.1, 90.0), ["2", "1"]),
        ((0.0, 10.0), (4.0, 90.0), ["1", "2"]),
    ],
    ids=["long before short", "long item of a slightly later job", "much later job"],
)
def test_item_with_the_least_slack_starts_first(
    first: tuple[float, float], second: tuple[float, float], order: list[str]
) -> None:
    """Long items must not wait behind short ones of other trainers' jobs."""
    runs = [run("1", "g1"), run("2", "g2", job=2)]
    latest_starts = {"1": latest_start(*first, 0.04), "2": latest_start(*second, 0.04)}
    assert sorted_item_ids(runs, latest_starts) == order


def test_short_items_precede_long_items_of_the_models_next_job() -> None:
    """A short item must not delay its own step by waiting for the next job's items."""
    runs = [run("1", "g1"), run("2", "g2", job=2)]
    latest_starts = {"1": latest_start(0.0, 10.0, 0.04), "2": latest_start(4.0, 160.0, 0.04)}
    assert latest_starts["2"] < latest_starts["1"]
    assert sorted_item_ids(runs, latest_starts, {"j1": 0, "j2": 1}) == ["1", "2"]


def test_open_jobs_are_ranked_by_model() -> None:
    def job(name: str, model: str, accepted_at: float, is_ended: bool = False) -> JobState:
        items = (BatchItem(item_id="i", path="/", headers={}, body=b""),)
        batch_job = BatchJob(job_id=name, host="h", path="/", items=items, model=model)
        return JobState(batch_job, accepted_at, is_ended=is_ended)

    jobs = [job("b", "m", 4.0), job("a", "m", 0.0), job("c", "n", 5.0), job("d", "m", 1.0, True)]
    assert job_ranks(jobs) == {"a": 0, "b": 1, "c": 0}


def test_run_moves_away_from_a_slowed_engine() -> None:
    """A long item on a slowed engine would make its whole group late."""
    slow, healthy = engine("a", event_seconds=0.12), engine("b")
    moved_run = run("1", "g1")
    moved_run.is_streaming = True
    assert seconds_saved(moved_run, slow, healthy, 20.0, 0.03, now=2.0) > 0.0
    assert seconds_saved(moved_run, slow, healthy, 20.0, 0.03, now=0.3) == 0.0
    # An old measurement does not count: the engine may have recovered.
    assert seconds_saved(moved_run, slow, healthy, 20.0, 0.03, now=9.0) == 0.0


@pytest.mark.parametrize(
    ("source_seconds", "remaining_events", "moves"),
    [(0.039, 100.0, True), (0.039, 10.0, False), (0.033, 1000.0, False), (0.12, 2.0, False)],
    ids=["many events left", "few events left", "hardly slower", "almost done"],
)
def test_run_moves_only_if_the_gain_exceeds_another_prefill(
    source_seconds: float, remaining_events: float, moves: bool
) -> None:
    """Long texts must not stay on slower engines until they end."""
    moved_run = run("1", "g1")
    moved_run.is_streaming = True
    source = engine("a", event_seconds=source_seconds)
    saved = seconds_saved(moved_run, source, engine("b"), remaining_events, 0.03, now=2.0)
    assert (saved > 0.0) == moves


@pytest.mark.parametrize(
    ("slow_seconds", "remaining_events", "moves"),
    [(0.5, 100.0, False), (3.0, 100.0, True), (3.0, 8.0, False)],
    ids=["short pause", "slow for seconds", "gain too small"],
)
def test_run_leaves_a_shared_engine_only_for_sustained_slowness(
    slow_seconds: float, remaining_events: float, moves: bool
) -> None:
    """With many engines, one of them is pausing at any time."""
    moved_run, source = run("1", "g1"), engine("a")
    moved_run.is_streaming = True
    for tick in range(60):
        now = 0.1 * tick
        source.record_event_time(0.06 if now >= 5.9 - slow_seconds else 0.03, now)
    saved = seconds_saved(
        moved_run, source, engine("b"), remaining_events, 0.03, 5.9, MULTIPLE_MODELS
    )
    assert (saved > 0.0) == moves


@pytest.mark.parametrize(
    ("models", "waiting", "movable"),
    [
        ((("a", "b"),), (), ["a", "b"]),
        ((("a", "b"),), ("a",), ["b"]),
        ((("a",), ("b",)), ("a",), []),
        ((("a", "b"),), ("",), []),
    ],
    ids=["nothing waits", "shared engines", "one model per service", "item for any model"],
)
def test_runs_move_while_only_items_of_other_models_wait(
    models: tuple[tuple[str, ...], ...], waiting: tuple[str, ...], movable: list[str]
) -> None:
    """With several trainers some item nearly always waits; other models' runs must still move."""
    services = [Service(name=f"s{n}", models=held) for n, held in enumerate(models)]
    runs = [run("1", "a"), run("2", "b")]
    waiting_runs = [run("3", model) for model in waiting]
    found = movable_runs(runs, waiting_runs, lambda of: of.item.group, services)
    assert [of.item.group for of in found] == movable


@pytest.mark.parametrize(
    ("models", "free_seconds", "remaining", "chosen"),
    [
        (("m0", "m1"), 0.026, (100.0, 90.0, 20.0), ["1"]),
        (("m0", "m1"), 0.026, (100.0, 120.0, 20.0), ["2"]),
        (("m0", "m1"), 0.026, (20.0, 10.0, 5.0), []),
        (("m0", "m1"), 0.026, (100.0, 90.0, 110.0), []),
        (("m0", "m1"), 0.045, (100.0, 90.0, 20.0), []),
        (("m0",), 0.026, (100.0, 90.0, 20.0), []),
    ],
    ids=[
        "first run longest",
        "second run longest",
        "gain too small",
        "waiting item longer",
        "similar speeds",
        "one model",
    ],
)
def test_longest_text_takes_the_fast_slot_ahead_of_a_shorter_waiting_one(
    models: tuple[str, ...], free_seconds: float, remaining: tuple[float, ...], chosen: list[str]
) -> None:
    """The longest texts miss their deadline on most engines."""
    assert (
        swapped_item_ids(
            models, free_seconds, remaining, ItemRequirements(model="m0", minimum_version=1)
        )
        == chosen
    )


@pytest.mark.parametrize(
    "requirements",
    [
        ItemRequirements(model="m0", minimum_version=2),
        ItemRequirements(model="m0", minimum_version=1, allowed_zones=frozenset({"zone-b"})),
    ],
    ids=["outdated weights", "zone not allowed"],
)
def test_text_stays_if_the_fast_engine_does_not_fit(requirements: ItemRequirements) -> None:
    """The fast engine lacks the required weights or is in another zone."""
    assert swapped_item_ids(("m0", "m1"), 0.026, (100.0, 90.0, 20.0), requirements) == []


def swapped_item_ids(
    models: tuple[str, ...],
    free_seconds: float,
    remaining: tuple[float, ...],
    requirements: ItemRequirements,
) -> list[str]:
    """Return which of two runs on a full, slow engine leave it before a third item starts."""
    slow, fast = engine("a", running=4, event_seconds=0.0), engine("b", event_seconds=0.0)
    for tick in range(40):
        slow.record_event_time(0.058, 0.05 * tick)
        fast.record_event_time(free_seconds, 0.05 * tick)
    report = DaemonReport(node_id="k", name="k", role="keeper")
    follower = DirectoryFollower((), lambda _now: report)
    engines = EngineStates(follower)
    engines.states = {state.backend.backend_id: state for state in (slow, fast)}
    scheduling_pass = SchedulingPass(engines, assigned_any_model, follower.cold_budget, 2.0)
    runs = [run("1", "g"), run("2", "g")]
    for moved_run in runs:
        moved_run.is_streaming, moved_run.backend_id = True, BackendId("a")
    context = SlotSwapContext(
        lambda _run: "m0",
        lambda of: remaining[int(of.item.item_id) - 1],
        lambda of: msgspec.structs.replace(
            requirements, remaining_events=remaining[int(of.item.item_id) - 1]
        ),
        assigned_any_model,
    )
    services = [Service(name="llm", models=models)]
    found = find_slot_swaps(runs, [run("3", "g")], scheduling_pass, context, services, 2.0)
    return [of.item.item_id for of in found]


def test_long_items_prefer_fast_engines_and_short_ones_the_cached_prompt() -> None:
    slow, fast = engine("a", event_seconds=0.039), engine("b")
    assert choose_backend_id([slow, fast], preferred="a", rest=100.0) == "b"
    assert choose_backend_id([slow, fast], preferred="a", rest=3.0) == "a"


def test_idle_engine_counts_with_its_best_event_time() -> None:
    idle = engine("a", event_seconds=0.0)
    for _ in range(3):
        idle.record_event_time(0.05, 0.0)
    idle.record_event_time(0.2, 0.0)
    assert idle.estimated_event_seconds(0.03, 60.0) == pytest.approx(0.05)
    assert engine("b", event_seconds=0.0).estimated_event_seconds(0.03, 60.0) == 0.03


def test_outdated_slow_measurement_is_ignored() -> None:
    formerly_slow, busy = engine("a", event_seconds=0.5), engine("b", running=2)
    busy.measured_at = 9.0
    requirements = ItemRequirements(model="m0", minimum_version=1)
    chosen = choose_engine(
        [formerly_slow, busy],
        requirements,
        assigned_any_model,
        9.0,
        median_event_seconds([formerly_slow, busy], 9.0),
    )
    assert chosen is formerly_slow


def test_event_times_during_weight_loads_are_ignored() -> None:
    state = engine("a")
    state.is_loading = True
    state.record_event_time(0.9, 1.0)
    assert state.event_seconds == 0.03


def test_engines_are_allocated_by_demand() -> None:
    assert engine_quotas(5, {"a": 350.0, "b": 770.0, "c": 900.0}) == {"a": 1, "b": 2, "c": 2}
    assert engine_quotas(3, {"a": 0.0, "b": 1.0, "c": 900.0}) == {"a": 1, "b": 1, "c": 1}


def test_engines_keep_their_models_when_another_joins() -> None:
    names = [BackendId(name) for name in ("e1", "e2", "e3", "e4")]
    requirements = {"a": 1.0, "b": 1.0}
    before = assign_engines(names[:3], requirements, {})
    after = assign_engines(names, requirements, before)
    assert all(after[name] == before[name] for name in names[:3])
    assert sorted(m for models in after.values() for m in models) == ["a", "a", "b", "b"]


def test_assignment_does_not_depend_on_the_order_of_engines() -> None:
    """Leaders in different regions list the engines in different orders."""
    names = [BackendId(name) for name in ("e1", "e2")]
    requirements = {"a": 1.0, "b": 1.0}
    before = assign_engines(names, requirements, {})
    assert assign_engines(names[::-1], requirements, before) == before


def test_engines_are_assigned_several_models_if_there_are_fewer() -> None:
    assignment = assign_engines([BackendId("e1"), BackendId("e2")], dict.fromkeys("abc", 1.0), {})
    assert {m for models in assignment.values() for m in models} == {"a", "b", "c"}


def test_new_leader_infers_the_current_assignment() -> None:
    """A new leader must not reassign engines and cause needless weight loads."""
    lags = {
        BackendId("e1"): {"a": 0, "b": 3},
        BackendId("e2"): {"a": 4, "b": 1},
        BackendId("e3"): {"a": 0, "b": 0},
    }
    apparent = infer_assignment(lags)
    assert apparent == {BackendId("e1"): frozenset("a"), BackendId("e2"): frozenset("b")}
    engines = sorted(lags)
    after = assign_engines(engines, {"a": 1.0, "b": 1.0}, apparent)
    assert (after[BackendId("e1")], after[BackendId("e2")]) == (frozenset("a"), frozenset("b"))
