"""A job whose items can no longer run keeps their ids and counts, but not their requests."""

import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob, ItemResult, ScoringCall
from merlinstand.batch_jobs.state_machine import (
    AcceptJob,
    CloseJob,
    JobCommand,
    JobStates,
    ListResult,
)

BODY = b"prompt"


def _item(item_id: str) -> BatchItem:
    return BatchItem(
        item_id=item_id,
        path="/x",
        headers={"x-model": "m"},
        body=BODY,
        maximum_tokens=10,
        expected_tokens=4,
        group=f"group of {item_id}",
        scoring=ScoringCall("s", "host", "/score", b"text"),
    )


JOB = BatchJob(job_id="j", host="host", path="/x", items=(_item("a"), _item("b")), model="m")


def _list_result(item_id: str) -> ListResult:
    return ListResult("j", ItemResult.succeeded(item_id, "text", (1,), "score"))


def _states_after(*commands: JobCommand) -> JobStates:
    states = JobStates()
    states.apply(AcceptJob(JOB), 1.0)
    for command in commands:
        states.apply(command, 2.0)
    return states


@pytest.mark.parametrize(
    ("commands", "body"),
    [
        pytest.param((), BODY, id="open"),
        pytest.param((_list_result("a"),), BODY, id="open, one of two listed"),
        pytest.param((_list_result("a"), _list_result("b")), b"", id="all listed"),
        pytest.param((CloseJob("j"),), b"", id="closed"),
        pytest.param((_list_result("a"), CloseJob("j")), b"", id="closed, one of two listed"),
    ],
)
def test_requests_are_removed_once_no_item_may_run(
    commands: tuple[JobCommand, ...], body: bytes
) -> None:
    states = _states_after(*commands)
    assert [item.body for item in states.jobs["j"].job.items] == [body, body]
    assert states.mean_tokens_per_job("m") == 8
    assert states.jobs["j"].group_count == 2


def test_closed_job_still_lists_results_of_active_items() -> None:
    states = _states_after(
        _list_result("a"),
        CloseJob("j"),
        _list_result("b"),
        _list_result("a"),
        _list_result("unknown"),
    )
    assert [result.item_id for result in states.jobs["j"].results] == ["a", "b"]


@pytest.mark.parametrize("commands", [(), (_list_result("a"),), (_list_result("a"), CloseJob("j"))])
def test_restored_snapshot_equals_the_state(commands: tuple[JobCommand, ...]) -> None:
    states = _states_after(*commands)
    restored = JobStates()
    restored.restore(states.snapshot())
    assert restored.jobs == states.jobs
