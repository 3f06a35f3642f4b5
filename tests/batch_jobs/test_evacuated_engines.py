"""The leading keeper and an evacuated zone: no item, order, report or scoring call goes there."""

import msgspec
import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob
from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.overload import engine_capacity
from merlinstand.batch_jobs.runner import ItemRunner
from merlinstand.batch_jobs.state_machine import AcceptJob, JobStates
from merlinstand.cluster.backends import Backend
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.common.ids import BackendId
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.kernel.effects import CancelCall, Effect, StartCall
from merlinstand.kernel.events import (
    CallChunk,
    CallEnded,
    CallFailed,
    CallHeaders,
    CallPhase,
    CallResponded,
)
from tests.batch_jobs.test_runner_scheduling import SLOTS, make_runner
from tests.batch_jobs.test_scoring import Scoring
from tests.batch_jobs.test_weight_loader import Loading, report
from tests.evacuation.evacuating import evacuate

ZONES = {"a": BackendId("e0"), "b": BackendId("e1")}


class Evacuating:
    """A runner with an engine in each of two zones."""

    def __init__(self, items: int = 40) -> None:
        made = tuple(
            BatchItem(item_id=f"i{n}", path="/l/1", headers={"host": "h"}, body=b"", group=f"g{n}")
            for n in range(items)
        )
        jobs = JobStates()
        jobs.apply(AcceptJob(BatchJob(job_id="j", host="h", path="/l/", items=made)), 0.0)
        self.runner: ItemRunner = make_runner(jobs)
        self.follower: DirectoryFollower = self.runner._follower
        self.engines: EngineStates = self.runner._engines
        held = {backend.backend_id: backend for backend in self.follower.backends}
        self.follower.set_backends(
            msgspec.structs.replace(held[backend_id], zone=zone)
            for zone, backend_id in ZONES.items()
        )
        self.engines.refresh()

    def evacuate(self, *zones: str) -> None:
        evacuate(self.follower, *zones)
        self.engines.refresh()

    def begun(self, now: float) -> list[StartCall]:
        return calls(self.runner.tick(now))


def calls(effects: list[Effect]) -> list[StartCall]:
    return [effect for effect in effects if isinstance(effect, StartCall)]


def address(zone: str) -> str:
    return {"a": "10.0.0.0:1", "b": "10.0.0.1:1"}[zone]


def test_no_item_begins_in_the_zone_until_it_is_taken_back() -> None:
    evacuating = Evacuating()
    evacuating.evacuate("a")
    first = evacuating.begun(0.1)
    assert {call.address for call in first} == {address("b")}
    assert len(first) == SLOTS
    assert evacuating.begun(0.2) == []
    evacuating.evacuate()
    second = evacuating.begun(0.3)
    assert {call.address for call in second} == {address("a")}
    assert len(second) == SLOTS


def test_an_item_under_way_ends_where_it_runs_and_frees_no_slot_there() -> None:
    evacuating = Evacuating()
    call = next(call for call in evacuating.begun(0.0) if call.address == address("a"))
    runner = evacuating.runner
    evacuating.evacuate("a")
    effects = runner.tick(0.05)
    assert not [effect for effect in effects if isinstance(effect, CancelCall)]
    runner.on_call(CallHeaders(call.call_id, 200, {}), 0.1)
    runner.on_call(CallChunk(call.call_id, b"id: 1\ndata: x\n\n"), 0.15)
    runner.on_call(CallEnded(call.call_id), 0.2)
    assert evacuating.begun(0.3) == []
    assert len(list(runner._calls.runs)) == 2 * SLOTS - 1


@pytest.mark.parametrize(
    "end",
    [
        pytest.param("not run", id="turned away, waits for a retry"),
        pytest.param("broken", id="broken off, resumes with its text"),
    ],
)
def test_an_item_that_is_to_go_on_goes_on_in_another_zone(end: str) -> None:
    evacuating = Evacuating(items=2 * SLOTS)
    begun = evacuating.begun(0.0)
    runner = evacuating.runner
    call = next(call for call in begun if call.address == address("a"))
    other = next(call for call in begun if call.address == address("b"))
    if end == "not run":
        runner.on_call(CallHeaders(call.call_id, 503, {HeaderNames().not_run: "1"}), 0.1)
    else:
        runner.on_call(CallHeaders(call.call_id, 200, {}), 0.05)
        runner.on_call(CallChunk(call.call_id, b"id: 1\ndata: x\n\n"), 0.1)
        runner.on_call(CallFailed(call.call_id, CallPhase.BODY, "reset"), 0.1)
    evacuating.evacuate("a")
    assert evacuating.begun(0.5) == []
    runner.on_call(CallHeaders(other.call_id, 200, {}), 0.55)
    runner.on_call(CallChunk(other.call_id, b"id: 1\ndata: y\n\n"), 0.55)
    runner.on_call(CallEnded(other.call_id), 0.6)
    [again] = evacuating.begun(0.7)
    assert again.address == address("b")
    assert again.headers.get("last-event-id") == ("1" if end == "broken" else None)


def test_capacity_and_slots_leave_the_zone_out() -> None:
    evacuating = Evacuating()
    engines = list(evacuating.engines.states.values())
    whole = engine_capacity(engines, 0.03, 0.0).events_per_second
    evacuating.evacuate("a")
    engines = list(evacuating.engines.states.values())
    assert engine_capacity(engines, 0.03, 0.0).events_per_second == pytest.approx(whole / 2)


def test_scoring_calls_go_to_other_zones() -> None:
    scoring = Scoring(items=4)
    follower = scoring.runner._follower
    follower.set_backends(
        Backend(backend_id=BackendId(zone), service="shop", address=f"{zone}:1", zone=zone, slots=4)
        for zone in ZONES
    )
    evacuate(follower, "a")
    begun = scoring.end_generation()
    # Three quarters of the slots that are left.
    assert [call.address for call in begun] == ["b:1"] * 3


# Weights


class ZonedLoading(Loading):
    """A loader with engines in two zones: even numbers in `a`, odd ones in `b`."""

    def register(self, *backend_ids: str) -> None:
        super().register(*backend_ids)
        self.follower.set_backends(
            [
                msgspec.structs.replace(backend, zone="ab"[number % 2])
                for number, backend in enumerate(self.follower.backends)
            ]
        )
        self.states.refresh()

    def evacuate(self, *zones: str) -> None:
        evacuate(self.follower, *zones)
        self.states.refresh()


def test_no_engine_of_the_zone_is_asked_or_ordered() -> None:
    loading = ZonedLoading(engines=4)
    loading.evacuate("a")
    assert {call.address for call in loading.calls(0.0)} <= {"i-1:1", "i-3:1"}


def test_the_share_that_loads_at_once_is_of_the_engines_that_stay() -> None:
    """Of the engines left, no more may pause together than of all before."""
    loading = ZonedLoading(engines=10)
    assert len(loading.calls(0.0)) == 4
    loading = ZonedLoading(engines=10)
    loading.evacuate("a")
    assert len(loading.calls(0.0)) == 2


@pytest.mark.parametrize("step", ["report", "note"])
def test_an_order_under_way_is_not_given_in_the_zone(step: str) -> None:
    """The zone is evacuated between the report, its note in the log and the order."""
    loading = ZonedLoading()
    [call] = loading.calls(0.0)
    answer = CallResponded(call.call_id, 200, {}, report(0, 1))
    if step == "report":
        loading.evacuate("a")
        assert loading.loader.on_call(answer, True, 0.1) == []
        assert loading.notes == []
    else:
        loading.loader.on_call(answer, True, 0.1)
        assert loading.notes == ["i-0"]
        loading.evacuate("a")
        assert loading.loader.on_order_committed(BackendId("i-0"), True, 0.15) == []
    assert loading.calls(1.0) == []
    loading.evacuate()
    [again] = loading.calls(2.0)
    assert again.path == "/report"


def test_a_suspect_engine_of_the_zone_is_not_probed() -> None:
    loading = ZonedLoading(engines=2)
    for state in loading.states.states.values():
        state.backoff_seconds = 4.0
        state.backoff_until = 9.0
    loading.evacuate("a")
    assert [call.address for call in loading.calls(0.0)] == ["i-1:1"]
