"""The leading keeper sends no items, orders, reports or scoring calls to an evacuated zone."""

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


class EvacuatedRunner:
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
        backends = {backend.backend_id: backend for backend in self.follower.backends}
        self.follower.set_backends(
            msgspec.structs.replace(backends[backend_id], zone=zone)
            for zone, backend_id in ZONES.items()
        )
        self.engines.refresh()

    def evacuate(self, *zones: str) -> None:
        evacuate(self.follower, *zones)
        self.engines.refresh()

    def started(self, now: float) -> list[StartCall]:
        return calls(self.runner.tick(now))


def calls(effects: list[Effect]) -> list[StartCall]:
    return [effect for effect in effects if isinstance(effect, StartCall)]


def address(zone: str) -> str:
    return {"a": "10.0.0.0:1", "b": "10.0.0.1:1"}[zone]


def test_no_item_starts_in_the_zone_until_it_is_restored() -> None:
    setup = EvacuatedRunner()
    setup.evacuate("a")
    first = setup.started(0.1)
    assert {call.address for call in first} == {address("b")}
    assert len(first) == SLOTS
    assert setup.started(0.2) == []
    setup.evacuate()
    second = setup.started(0.3)
    assert {call.address for call in second} == {address("a")}
    assert len(second) == SLOTS


def test_active_item_finishes_in_the_zone_and_its_slot_is_not_reused() -> None:
    setup = EvacuatedRunner()
    call = next(call for call in setup.started(0.0) if call.address == address("a"))
    runner = setup.runner
    setup.evacuate("a")
    effects = runner.tick(0.05)
    assert not [effect for effect in effects if isinstance(effect, CancelCall)]
    runner.on_call(CallHeaders(call.call_id, 200, {}), 0.1)
    runner.on_call(CallChunk(call.call_id, b"id: 1\ndata: x\n\n"), 0.15)
    runner.on_call(CallEnded(call.call_id), 0.2)
    assert setup.started(0.3) == []
    assert len(list(runner._calls.runs)) == 2 * SLOTS - 1


@pytest.mark.parametrize(
    "end",
    [
        pytest.param("not run", id="refused, waits for a retry"),
        pytest.param("broken", id="connection lost, resumes with its text"),
    ],
)
def test_interrupted_item_continues_in_another_zone(end: str) -> None:
    setup = EvacuatedRunner(items=2 * SLOTS)
    started = setup.started(0.0)
    runner = setup.runner
    call = next(call for call in started if call.address == address("a"))
    other = next(call for call in started if call.address == address("b"))
    if end == "not run":
        runner.on_call(CallHeaders(call.call_id, 503, {HeaderNames().not_run: "1"}), 0.1)
    else:
        runner.on_call(CallHeaders(call.call_id, 200, {}), 0.05)
        runner.on_call(CallChunk(call.call_id, b"id: 1\ndata: x\n\n"), 0.1)
        runner.on_call(CallFailed(call.call_id, CallPhase.BODY, "reset"), 0.1)
    setup.evacuate("a")
    assert setup.started(0.5) == []
    runner.on_call(CallHeaders(other.call_id, 200, {}), 0.55)
    runner.on_call(CallChunk(other.call_id, b"id: 1\ndata: y\n\n"), 0.55)
    runner.on_call(CallEnded(other.call_id), 0.6)
    [again] = setup.started(0.7)
    assert again.address == address("b")
    assert again.headers.get("last-event-id") == ("1" if end == "broken" else None)


def test_capacity_excludes_the_zone() -> None:
    setup = EvacuatedRunner()
    engines = list(setup.engines.states.values())
    total = engine_capacity(engines, 0.03, 0.0).events_per_second
    setup.evacuate("a")
    engines = list(setup.engines.states.values())
    assert engine_capacity(engines, 0.03, 0.0).events_per_second == pytest.approx(total / 2)


def test_scoring_calls_go_to_other_zones() -> None:
    scoring = Scoring(items=4)
    follower = scoring.runner._follower
    follower.set_backends(
        Backend(backend_id=BackendId(zone), service="shop", address=f"{zone}:1", zone=zone, slots=4)
        for zone in ZONES
    )
    evacuate(follower, "a")
    started = scoring.complete_texts()
    # Three quarters of the remaining slots.
    assert [call.address for call in started] == ["b:1"] * 3


# Weights


class ZonedLoading(Loading):
    """A loader with engines in two zones: even numbers in `a`, odd numbers in `b`."""

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


def test_no_engine_of_the_zone_gets_reports_or_orders() -> None:
    loading = ZonedLoading(engines=4)
    loading.evacuate("a")
    assert {call.address for call in loading.calls(0.0)} <= {"i-1:1", "i-3:1"}


def test_parallel_load_share_excludes_the_zone() -> None:
    """The share of engines that pause at once must not rise when a zone is evacuated."""
    loading = ZonedLoading(engines=10)
    assert len(loading.calls(0.0)) == 4
    loading = ZonedLoading(engines=10)
    loading.evacuate("a")
    assert len(loading.calls(0.0)) == 2


@pytest.mark.parametrize("step", ["report", "commit"])
def test_pending_order_is_not_sent_to_the_zone(step: str) -> None:
    """The zone is evacuated before the intent is proposed, or before it is committed."""
    loading = ZonedLoading()
    [call] = loading.calls(0.0)
    response = CallResponded(call.call_id, 200, {}, report(0, 1))
    if step == "report":
        loading.evacuate("a")
        assert loading.loader.on_call(response, True, 0.1) == []
        assert loading.proposed_intents == []
    else:
        loading.loader.on_call(response, True, 0.1)
        assert loading.proposed_intents == ["i-0"]
        loading.evacuate("a")
        assert loading.loader.on_intent_committed(BackendId("i-0"), True, 0.15) == []
    assert loading.calls(1.0) == []
    loading.evacuate()
    [again] = loading.calls(2.0)
    assert again.path == "/report"


def test_suspect_engine_of_the_zone_is_not_probed() -> None:
    loading = ZonedLoading(engines=2)
    for state in loading.states.states.values():
        state.backoff_seconds = 4.0
        state.backoff_until = 9.0
    loading.evacuate("a")
    assert [call.address for call in loading.calls(0.0)] == ["i-1:1"]
