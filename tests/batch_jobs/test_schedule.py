"""Which item runs next, where, and when a run moves."""

import msgspec
import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob
from merlinstand.batch_jobs.engine_assignment import (
    apparent_assignment,
    assign_engines,
    engine_quotas,
)
from merlinstand.batch_jobs.engines import EngineState, EngineStates, median_event_seconds
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.placement import ItemRequirements, choose_engine
from merlinstand.batch_jobs.run_moves import (
    SHARED_ENGINES,
    SlotSwapContext,
    find_slot_swaps,
    movable_runs,
    seconds_won,
)
from merlinstand.batch_jobs.schedule import group_progress, job_ranks, latest_begin, urgency
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


def any_model(_backend: BackendId, _model: str) -> bool:
    return True


def choose(
    engines: list[EngineState], minimum: int = 1, preferred: str | None = None, rest: float = 20.0
) -> str:
    held = BackendId(preferred) if preferred else None
    demand = ItemRequirements(
        model="m0", minimum_version=minimum, remaining_events=rest, preferred=held
    )
    chosen = choose_engine(engines, demand, any_model, 0.0, median_event_seconds(engines, 0.0))
    return chosen.backend.backend_id if chosen else ""


@pytest.mark.parametrize(
    ("running_at_home", "event_seconds_at_home", "expected"),
    [
        pytest.param(0, 0.03, "home", id="equally fast: no text crosses the regions' link"),
        pytest.param(3, 0.03, "home", id="a little busy at home"),
        pytest.param(4, 0.03, "away", id="no free slot at home"),
        pytest.param(0, 0.06, "away", id="twice as slow at home"),
    ],
)
def test_an_engine_in_another_region_must_win_something(
    running_at_home: int, event_seconds_at_home: float, expected: str
) -> None:
    home = engine("home", running=running_at_home, event_seconds=event_seconds_at_home)
    away = engine("away")
    away.is_remote = True
    home.measured_at = away.measured_at = 0.0
    assert choose([away, home]) == expected


def test_each_model_gets_its_share_of_the_best_engines() -> None:
    engines = [BackendId(name) for name in ("a1", "a2", "a3", "b1", "b2", "b3")]
    assignment = assign_engines(engines, {"m0": 1.0, "m1": 1.0, "m2": 1.0}, {})
    best = {model for name in ("a1", "a2", "a3") for model in assignment[BackendId(name)]}
    assert best == {"m0", "m1", "m2"}


def test_an_engine_below_the_minimum_version_gets_nothing() -> None:
    assert choose([engine("a", version=1), engine("b", running=3, version=2)], minimum=2) == "b"
    assert choose([engine("a", version=1)], minimum=2) == ""


def test_a_group_goes_where_its_prompt_is_unless_that_engine_is_slow() -> None:
    assert choose([engine("a"), engine("b", running=2)], preferred="b") == "b"
    assert choose([engine("a"), engine("b", event_seconds=0.1)], preferred="b") == "a"


def test_full_loading_and_avoided_engines_get_nothing() -> None:
    full, loading, avoided = engine("a", running=4), engine("b"), engine("c")
    loading.is_loading = True
    avoided.backoff_until = 1.0
    assert choose([full, loading, avoided]) == ""


def in_order(
    runs: list[ItemRun], begins: dict[str, float], ranks: dict[str, int] | None = None
) -> list[str]:
    groups = group_progress(runs)
    waiting = [r for r in runs if r.phase is RunPhase.WAITING]
    waiting.sort(
        key=lambda r: urgency(
            r,
            groups[(r.job_id, r.item.group)],
            (ranks or {}).get(r.job_id, 0),
            begins.get(r.item.item_id, 0.0),
        )
    )
    return [r.item.item_id for r in waiting]


def test_begun_groups_are_finished_first_and_earlier_jobs_before_later_ones() -> None:
    begun = run("1", "g1")
    begun.phase = RunPhase.GENERATING
    runs = [run("4", "g2", job=2), run("3", "g2"), run("2", "g1"), begun]
    assert in_order(runs, {"4": latest_begin(1.0, 10.0, 0.03)}) == ["2", "3", "4"]


@pytest.mark.parametrize(
    ("first", "second", "order"),
    [
        ((0.0, 10.0), (0.0, 90.0), ["2", "1"]),
        ((0.0, 10.0), (0.1, 90.0), ["2", "1"]),
        ((0.0, 10.0), (4.0, 90.0), ["1", "2"]),
    ],
    ids=["long before short", "long one of a job that came just after", "much later job"],
)
def test_the_item_with_the_least_slack_begins_first(
    first: tuple[float, float], second: tuple[float, float], order: list[str]
) -> None:
    """hanbit-reg-grown: long items waited 1 s behind short ones of other trainers' jobs."""
    runs = [run("1", "g1"), run("2", "g2", job=2)]
    begins = {"1": latest_begin(*first, 0.04), "2": latest_begin(*second, 0.04)}
    assert in_order(runs, begins) == order


def test_short_items_of_an_earlier_job_do_not_wait_for_long_ones_of_the_next() -> None:
    """hanbit-reg inc-d8a1: an item of 18 events waited 5 s and ended its step."""
    runs = [run("1", "g1"), run("2", "g2", job=2)]
    begins = {"1": latest_begin(0.0, 10.0, 0.04), "2": latest_begin(4.0, 160.0, 0.04)}
    assert begins["2"] < begins["1"]
    assert in_order(runs, begins, {"j1": 0, "j2": 1}) == ["1", "2"]


def test_open_jobs_are_ranked_within_their_model() -> None:
    def job(name: str, model: str, accepted_at: float, is_ended: bool = False) -> JobState:
        items = (BatchItem(item_id="i", path="/", headers={}, body=b""),)
        batch_job = BatchJob(job_id=name, host="h", path="/", items=items, model=model)
        return JobState(batch_job, accepted_at, is_ended=is_ended)

    jobs = [job("b", "m", 4.0), job("a", "m", 0.0), job("c", "n", 5.0), job("d", "m", 1.0, True)]
    assert job_ranks(jobs) == {"a": 0, "b": 1, "c": 0}


def test_a_run_leaves_an_engine_that_turned_slow() -> None:
    """vitrina-ro quiet-1: a group came after 9.8 s, its long item on an engine slowed 3.9 times."""
    slow, sound = engine("a", event_seconds=0.12), engine("b")
    moving = run("1", "g1")
    moving.has_head = True
    assert seconds_won(moving, slow, sound, 20.0, 0.03, now=2.0) > 0.0
    assert seconds_won(moving, slow, sound, 20.0, 0.03, now=0.3) == 0.0
    # What was measured long ago says nothing: the engine may have recovered.
    assert seconds_won(moving, slow, sound, 20.0, 0.03, now=9.0) == 0.0


@pytest.mark.parametrize(
    ("present_seconds", "rest_events", "is_worth"),
    [(0.039, 100.0, True), (0.039, 10.0, False), (0.033, 1000.0, False), (0.12, 2.0, False)],
    ids=["long rest", "short rest", "hardly slower", "almost done"],
)
def test_a_run_moves_if_its_rest_is_worth_reading_its_prompt_again(
    present_seconds: float, rest_events: float, is_worth: bool
) -> None:
    """hanbit-reg: texts of 165 events took 8.3 s on the slower third of the engines, not 6.4 s."""
    moving = run("1", "g1")
    moving.has_head = True
    present = engine("a", event_seconds=present_seconds)
    won = seconds_won(moving, present, engine("b"), rest_events, 0.03, now=2.0)
    assert (won > 0.0) == is_worth


@pytest.mark.parametrize(
    ("slow_seconds", "rest_events", "is_worth"),
    [(0.5, 100.0, False), (3.0, 100.0, True), (3.0, 8.0, False)],
    ids=["a pause of the machine", "slow for seconds", "wins less than a reader sees"],
)
def test_where_models_share_engines_a_run_leaves_a_lasting_slowness_only(
    slow_seconds: float, rest_events: float, is_worth: bool
) -> None:
    """Four trainers on 23 engines, of which one pauses at any moment."""
    moving, present = run("1", "g1"), engine("a")
    moving.has_head = True
    for tick in range(60):
        now = 0.1 * tick
        present.record_event_time(0.06 if now >= 5.9 - slow_seconds else 0.03, now)
    won = seconds_won(moving, present, engine("b"), rest_events, 0.03, 5.9, SHARED_ENGINES)
    assert (won > 0.0) == is_worth


@pytest.mark.parametrize(
    ("models", "waiting", "movable"),
    [
        ((("a", "b"),), (), ["a", "b"]),
        ((("a", "b"),), ("a",), ["b"]),
        ((("a",), ("b",)), ("a",), []),
        ((("a", "b"),), ("",), []),
    ],
    ids=["nothing waits", "shared engines", "one model a service", "an item for any engine"],
)
def test_runs_move_while_only_items_of_other_models_wait(
    models: tuple[tuple[str, ...], ...], waiting: tuple[str, ...], movable: list[str]
) -> None:
    """Four trainers: some item waits at nearly every moment, and long texts stayed where slow."""
    services = [Service(name=f"s{n}", models=held) for n, held in enumerate(models)]
    runs = [run("1", "a"), run("2", "b")]
    waits = [run("3", model) for model in waiting]
    found = movable_runs(runs, waits, lambda of: of.item.group, services)
    assert [of.item.group for of in found] == movable


@pytest.mark.parametrize(
    ("models", "free_seconds", "rests", "chosen"),
    [
        (("m0", "m1"), 0.026, (100.0, 90.0, 20.0), ["1"]),
        (("m0", "m1"), 0.026, (100.0, 120.0, 20.0), ["2"]),
        (("m0", "m1"), 0.026, (20.0, 10.0, 5.0), []),
        (("m0", "m1"), 0.026, (100.0, 90.0, 110.0), []),
        (("m0", "m1"), 0.045, (100.0, 90.0, 20.0), []),
        (("m0",), 0.026, (100.0, 90.0, 20.0), []),
    ],
    ids=["longest", "longest again", "little won", "longer waits", "alike", "one model"],
)
def test_the_longest_text_leaves_a_slow_engine_before_a_short_one_begins_at_a_fast_one(
    models: tuple[str, ...], free_seconds: float, rests: tuple[float, ...], chosen: list[str]
) -> None:
    """A trainer's texts of 147 events take 8.5 s on three of four engines, and are due in 7.5."""
    assert (
        exchanged(models, free_seconds, rests, ItemRequirements(model="m0", minimum_version=1))
        == chosen
    )


@pytest.mark.parametrize(
    "demand",
    [
        ItemRequirements(model="m0", minimum_version=2),
        ItemRequirements(model="m0", minimum_version=1, allowed_zones=frozenset({"zone-b"})),
    ],
    ids=["older weights", "zone not allowed"],
)
def test_a_text_stays_if_it_may_not_run_at_the_fast_engine(demand: ItemRequirements) -> None:
    """A trainer's fast engine lacks the newest weights, or stands in another region."""
    assert exchanged(("m0", "m1"), 0.026, (100.0, 90.0, 20.0), demand) == []


def exchanged(
    models: tuple[str, ...], free_seconds: float, rests: tuple[float, ...], demand: ItemRequirements
) -> list[str]:
    """Give which of two runs at a full, slow engine leave it before a third item begins."""
    slow, fast = engine("a", running=4, event_seconds=0.0), engine("b", event_seconds=0.0)
    for tick in range(40):
        slow.record_event_time(0.058, 0.05 * tick)
        fast.record_event_time(free_seconds, 0.05 * tick)
    report = DaemonReport(node_id="k", name="k", role="keeper")
    follower = DirectoryFollower((), lambda _now: report)
    engines = EngineStates(follower)
    engines.states = {state.backend.backend_id: state for state in (slow, fast)}
    turn = SchedulingPass(engines, any_model, follower.cold, 2.0)
    runs = [run("1", "g"), run("2", "g")]
    for moving in runs:
        moving.has_head, moving.backend_id = True, BackendId("a")
    rules = SlotSwapContext(
        lambda _run: "m0",
        lambda of: rests[int(of.item.item_id) - 1],
        lambda of: msgspec.structs.replace(
            demand, remaining_events=rests[int(of.item.item_id) - 1]
        ),
        any_model,
    )
    services = [Service(name="llm", models=models)]
    found = find_slot_swaps(runs, [run("3", "g")], turn, rules, services, 2.0)
    return [of.item.item_id for of in found]


def test_long_items_go_to_fast_engines_and_short_ones_where_their_prompt_is() -> None:
    slow, fast = engine("a", event_seconds=0.039), engine("b")
    assert choose([slow, fast], preferred="a", rest=100.0) == "b"
    assert choose([slow, fast], preferred="a", rest=3.0) == "a"


def test_an_idle_engine_is_as_fast_as_it_ever_was() -> None:
    idle = engine("a", event_seconds=0.0)
    for _ in range(3):
        idle.record_event_time(0.05, 0.0)
    idle.record_event_time(0.2, 0.0)
    assert idle.speed(0.03, 60.0) == pytest.approx(0.05)
    assert engine("b", event_seconds=0.0).speed(0.03, 60.0) == 0.03


def test_an_engine_that_was_slow_long_ago_is_tried_again() -> None:
    once_slow, busy = engine("a", event_seconds=0.5), engine("b", running=2)
    busy.measured_at = 9.0
    demand = ItemRequirements(model="m0", minimum_version=1)
    chosen = choose_engine(
        [once_slow, busy], demand, any_model, 9.0, median_event_seconds([once_slow, busy], 9.0)
    )
    assert chosen is once_slow


def test_pauses_for_weights_do_not_make_an_engine_slow() -> None:
    state = engine("a")
    state.is_loading = True
    state.record_event_time(0.9, 1.0)
    assert state.event_seconds == 0.03


def test_engines_are_shared_out_by_demand() -> None:
    assert engine_quotas(5, {"a": 350.0, "b": 770.0, "c": 900.0}) == {"a": 1, "b": 2, "c": 2}
    assert engine_quotas(3, {"a": 0.0, "b": 1.0, "c": 900.0}) == {"a": 1, "b": 1, "c": 1}


def test_an_engine_keeps_its_model_when_another_comes() -> None:
    names = [BackendId(name) for name in ("e1", "e2", "e3", "e4")]
    demand = {"a": 1.0, "b": 1.0}
    before = assign_engines(names[:3], demand, {})
    after = assign_engines(names, demand, before)
    assert all(after[name] == before[name] for name in names[:3])
    assert sorted(m for models in after.values() for m in models) == ["a", "a", "b", "b"]


def test_as_many_engines_as_models_keep_theirs_whoever_leads() -> None:
    """Leaders in two regions list the engines in different orders."""
    names = [BackendId(name) for name in ("e1", "e2")]
    demand = {"a": 1.0, "b": 1.0}
    before = assign_engines(names, demand, {})
    assert assign_engines(names[::-1], demand, before) == before


def test_fewer_engines_than_models_follow_several() -> None:
    assignment = assign_engines([BackendId("e1"), BackendId("e2")], dict.fromkeys("abc", 1.0), {})
    assert {m for models in assignment.values() for m in models} == {"a", "b", "c"}


def test_a_new_leader_sees_which_model_each_engine_follows() -> None:
    """tatravet-book, own day with freezes: a new leader dealt the engines anew and loaded twice."""
    lags = {
        BackendId("e1"): {"a": 0, "b": 3},
        BackendId("e2"): {"a": 4, "b": 1},
        BackendId("e3"): {"a": 0, "b": 0},
    }
    apparent = apparent_assignment(lags)
    assert apparent == {BackendId("e1"): frozenset("a"), BackendId("e2"): frozenset("b")}
    engines = sorted(lags)
    after = assign_engines(engines, {"a": 1.0, "b": 1.0}, apparent)
    assert (after[BackendId("e1")], after[BackendId("e2")]) == (frozenset("a"), frozenset("b"))
