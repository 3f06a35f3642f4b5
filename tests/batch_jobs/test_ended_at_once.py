"""A job that ends while its items are under way: all of its work stops in the same turn."""

import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob
from merlinstand.batch_jobs.state_machine import AcceptJob, JobStates
from merlinstand.kernel.effects import CancelCall, Effect, StartCall
from merlinstand.kernel.events import CallChunk, CallEnded, CallHeaders
from tests.batch_jobs.test_runner_scheduling import ENGINES, SLOTS, make_runner
from tests.batch_jobs.test_scoring import Scoring

SLOTS_FOR_THREE = 4
"""Three quarters of a service's slots score."""


def begun(effects: list[Effect]) -> list[StartCall]:
    return [effect for effect in effects if isinstance(effect, StartCall)]


def cancelled(effects: list[Effect]) -> set[str]:
    return {effect.call_id for effect in effects if isinstance(effect, CancelCall)}


def test_scoring_calls_under_way_are_cancelled_and_waiting_ones_never_begin() -> None:
    scoring = Scoring(items=8, slots=SLOTS_FOR_THREE)
    calls = scoring.end_generation()
    assert len(calls) == 3
    effects = scoring.runner.end_job("j", 1.1)
    assert cancelled(effects) == {call.call_id for call in calls}
    assert begun(effects + scoring.runner.tick(1.3) + scoring.runner.tick(2.0)) == []
    assert len(scoring.runner) == 0


def test_a_scoring_call_that_is_to_be_tried_again_is_not() -> None:
    scoring = Scoring(items=1)
    scoring.end_generation()
    scoring.run.wait_until = 1.2
    scoring.runner.end_job("j", 1.1)
    assert begun(scoring.runner.tick(2.0)) == []


@pytest.mark.parametrize(
    "events",
    [
        pytest.param([], id="sent"),
        pytest.param(["head"], id="head"),
        pytest.param(["head", "chunk"], id="events"),
    ],
)
def test_runs_under_way_are_cancelled_and_none_follows(events: list[str]) -> None:
    items = tuple(
        BatchItem(item_id=f"i{n}", path="/l/1", headers={"host": "h"}, body=b"") for n in range(20)
    )
    jobs = JobStates()
    jobs.apply(AcceptJob(BatchJob(job_id="j", host="h", path="/l/", items=items)), 0.0)
    runner = make_runner(jobs)
    calls = begun(runner.start_if_due(0.0))
    assert len(calls) == SLOTS * ENGINES
    for call in calls:
        if "head" in events:
            runner.on_call(CallHeaders(call.call_id, 200, {}), 0.1)
        if "chunk" in events:
            runner.on_call(CallChunk(call.call_id, b"id: 1\ndata: x\n\n"), 0.1)
    effects = runner.end_job("j", 0.2)
    assert cancelled(effects) == {call.call_id for call in calls}
    late = [effect for call in calls for effect in runner.on_call(CallEnded(call.call_id), 0.3)]
    assert begun([*late, *runner.start_if_due(0.3), *runner.tick(1.0)]) == []
    assert len(runner) == 0
