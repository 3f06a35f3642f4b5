"""The end of a job cancels its runs and scoring calls at once."""

import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob
from merlinstand.batch_jobs.state_machine import AcceptJob, JobStates
from merlinstand.kernel.effects import CancelCall, Effect, StartCall
from merlinstand.kernel.events import CallChunk, CallEnded, CallHeaders
from tests.batch_jobs.test_runner_scheduling import ENGINES, SLOTS, make_runner
from tests.batch_jobs.test_scoring import Scoring

SLOTS_FOR_THREE_CALLS = 4
"""Slots that allow three concurrent scoring calls: `SCORING_SHARE` is 0.75."""


def started_calls(effects: list[Effect]) -> list[StartCall]:
    return [effect for effect in effects if isinstance(effect, StartCall)]


def cancelled_calls(effects: list[Effect]) -> set[str]:
    return {effect.call_id for effect in effects if isinstance(effect, CancelCall)}


def test_scoring_calls_in_progress_are_cancelled_and_queued_ones_never_start() -> None:
    scoring = Scoring(items=8, slots=SLOTS_FOR_THREE_CALLS)
    calls = scoring.complete_texts()
    assert len(calls) == 3
    effects = scoring.runner.end_job("j", 1.1)
    assert cancelled_calls(effects) == {call.call_id for call in calls}
    assert started_calls(effects + scoring.runner.tick(1.3) + scoring.runner.tick(2.0)) == []
    assert len(scoring.runner) == 0


def test_a_scheduled_scoring_retry_is_not_made() -> None:
    scoring = Scoring(items=1)
    scoring.complete_texts()
    scoring.run.wait_until = 1.2
    scoring.runner.end_job("j", 1.1)
    assert started_calls(scoring.runner.tick(2.0)) == []


@pytest.mark.parametrize(
    "events",
    [
        pytest.param([], id="no-response-yet"),
        pytest.param(["headers"], id="response-headers"),
        pytest.param(["headers", "chunk"], id="events"),
    ],
)
def test_active_runs_are_cancelled_and_no_run_starts_afterwards(events: list[str]) -> None:
    items = tuple(
        BatchItem(item_id=f"i{n}", path="/l/1", headers={"host": "h"}, body=b"") for n in range(20)
    )
    jobs = JobStates()
    jobs.apply(AcceptJob(BatchJob(job_id="j", host="h", path="/l/", items=items)), 0.0)
    runner = make_runner(jobs)
    calls = started_calls(runner.start_if_due(0.0))
    assert len(calls) == SLOTS * ENGINES
    for call in calls:
        if "headers" in events:
            runner.on_call(CallHeaders(call.call_id, 200, {}), 0.1)
        if "chunk" in events:
            runner.on_call(CallChunk(call.call_id, b"id: 1\ndata: x\n\n"), 0.1)
    effects = runner.end_job("j", 0.2)
    assert cancelled_calls(effects) == {call.call_id for call in calls}
    late_effects = [
        effect for call in calls for effect in runner.on_call(CallEnded(call.call_id), 0.3)
    ]
    assert started_calls([*late_effects, *runner.start_if_due(0.3), *runner.tick(1.0)]) == []
    assert len(runner) == 0
