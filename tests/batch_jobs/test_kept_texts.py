"""Text checkpoints preserve the texts of long items when the leading keeper fails, so that a
trainer's step is not delayed by generating them again."""

import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob, ItemResult, ResultState
from merlinstand.batch_jobs.item_run import RunPhase
from merlinstand.batch_jobs.kept_text import TextCheckpoint, TextPart
from merlinstand.batch_jobs.runner import ItemRunner
from merlinstand.batch_jobs.state_machine import (
    AcceptJob,
    CheckpointTexts,
    CloseJob,
    JobStates,
    ListResult,
    decode_command,
    encode_command,
)
from merlinstand.batch_jobs.text_keeping import CHECKPOINT_INTERVAL_SECONDS
from merlinstand.kernel.events import CallChunk, CallEnded, CallHeaders
from tests.batch_jobs.test_runner_scheduling import calls, make_runner

JOB = BatchJob(
    job_id="j",
    host="h",
    path="/l/",
    items=tuple(
        BatchItem(item_id=item, path="/l/1", headers={"host": "h"}, body=b"") for item in "ab"
    ),
)
VERSIONS = {"x-weight-versions": "3"}


def part(first: int, *pieces: str, item: str = "a") -> TextPart:
    return TextPart("j", item, first, pieces, (3,))


@pytest.mark.parametrize(
    ("parts", "event_data"),
    [
        ([part(1, "x", "y"), part(3, "z")], ["x", "y", "z"]),
        ([part(1, "x"), part(3, "z")], ["x"]),
        ([part(2, "y")], []),
        ([part(1, "x", "y"), part(1, "n")], ["n"]),
        ([part(1, "x"), part(1, "x")], ["x"]),
    ],
    ids=["consecutive", "gap", "first part missing", "restarted", "repeated"],
)
def test_parts_extend_a_checkpoint_only_without_gaps(
    parts: list[TextPart], event_data: list[str]
) -> None:
    checkpoint = TextCheckpoint()
    for text_part in parts:
        checkpoint.append(text_part)
    assert checkpoint.event_data == event_data


def states_with_job() -> JobStates:
    states = JobStates()
    states.apply(AcceptJob(JOB), 0.0)
    return states


def test_checkpoints_of_listed_items_and_ended_jobs_are_dropped() -> None:
    states = states_with_job()
    states.apply(CheckpointTexts((part(1, "x"), part(1, "y", item="b"))), 1.0)
    states.apply(ListResult("j", ItemResult(item_id="a", state=ResultState.SUCCEEDED)), 2.0)
    assert list(states.jobs["j"].text_checkpoints) == ["b"]
    states.apply(CheckpointTexts((part(1, "late"),)), 2.1)
    assert list(states.jobs["j"].text_checkpoints) == ["b"]
    states.apply(CloseJob("j"), 3.0)
    states.apply(CheckpointTexts((part(1, "late", item="b"), part(1, "foreign", item="q"))), 3.1)
    assert states.jobs["j"].text_checkpoints == {}


def test_a_new_leader_continues_after_the_last_checkpointed_event() -> None:
    states = states_with_job()
    command = decode_command(encode_command(CheckpointTexts((part(1, "x", "y"),))))
    states.apply(command, 1.0)
    restored = JobStates()
    restored.restore(states.snapshot())
    started = calls(make_runner(restored).start_if_due(0.0))
    assert {call.headers.get("last-event-id") for call in started} == {"2", None}


def test_only_long_items_are_checkpointed_and_each_event_once() -> None:
    proposed: list[tuple[TextPart, ...]] = []
    runner = make_runner(states_with_job(), proposed)
    call = calls(runner.start_if_due(0.0))[0]
    runner.on_call(CallHeaders(call.call_id, 200, VERSIONS), 0.1)
    runner.on_call(CallChunk(call.call_id, b"id: 1\ndata: x\n\n"), 0.2)
    runner.tick(0.5 * CHECKPOINT_INTERVAL_SECONDS)
    assert proposed == []
    runner.tick(CHECKPOINT_INTERVAL_SECONDS)
    runner.on_call(CallChunk(call.call_id, b"id: 2\ndata: y\n\n"), 1.2)
    runner.tick(2.5 * CHECKPOINT_INTERVAL_SECONDS)
    runner.tick(4.0 * CHECKPOINT_INTERVAL_SECONDS)
    checkpointed = [
        (text_part.first_event_id, text_part.event_data)
        for parts in proposed
        for text_part in parts
    ]
    assert checkpointed == [(1, ("x",)), (2, ("y",))]


def test_a_restarted_text_is_checkpointed_from_event_1() -> None:
    proposed: list[tuple[TextPart, ...]] = []
    runner: ItemRunner = make_runner(states_with_job(), proposed)
    call = calls(runner.start_if_due(0.0))[0]
    runner.on_call(CallHeaders(call.call_id, 200, VERSIONS), 0.1)
    runner.on_call(CallChunk(call.call_id, b"id: 1\ndata: x\n\n"), 0.2)
    runner.tick(CHECKPOINT_INTERVAL_SECONDS)
    [run] = [r for r in runner._runs.values() if r.call_id == call.call_id]
    assert run.phase is RunPhase.GENERATING
    run.restart_text()
    assert run.next_checkpoint_part().first_event_id == 1


def succeeded_result(text: str) -> ItemResult:
    return ItemResult.succeeded("a", text, (3,), "s")


@pytest.mark.parametrize(
    ("parts", "remaining", "events", "text"),
    [
        ([part(1, "x", "y")], "\nz", 2, "x\ny\nz"),
        ([part(1, "x", "y")], "", 2, "x\ny"),
        ([part(1, "x", "y")], "\nq", 1, "x\nq"),
        ([part(1, "x" * 300)], "\n" + "y" * 300, 1, "x" * 300 + "\n" + "y" * 300),
        ([part(1, "x")], "\nz", 2, None),
        ([], "z", 1, None),
    ],
    ids=[
        "text continues",
        "no text after the checkpoint",
        "longer checkpoint",
        "compressed",
        "shorter checkpoint",
        "no checkpoint",
    ],
)
def test_a_listed_result_is_appended_to_its_checkpointed_prefix(
    parts: list[TextPart], remaining: str, events: int, text: str | None
) -> None:
    states = states_with_job()
    for text_part in parts:
        states.apply(CheckpointTexts((text_part,)), 1.0)
    command = decode_command(encode_command(ListResult("j", succeeded_result(remaining), events)))
    changed = states.apply(command, 2.0)
    results = states.jobs["j"].results
    if text is None:
        assert (changed, results) == ("", [])
        return
    assert changed == "j"
    assert [result.full_text().unwrap() for result in results] == [text]


@pytest.mark.parametrize(
    "is_applied", [True, False], ids=["checkpoint applied", "checkpoint in flight"]
)
def test_text_that_the_log_contains_is_not_sent_again(is_applied: bool) -> None:
    states = states_with_job()
    proposed: list[tuple[TextPart, ...]] = []
    listed: list[ListResult] = []
    runner = make_runner(states, proposed, listed)
    call = calls(runner.start_if_due(0.0))[0]
    runner.on_call(CallHeaders(call.call_id, 200, VERSIONS), 0.1)
    runner.on_call(CallChunk(call.call_id, b"id: 1\ndata: x\n\n"), 0.2)
    runner.tick(CHECKPOINT_INTERVAL_SECONDS)
    if is_applied:
        states.apply(CheckpointTexts(proposed[0]), 1.1)
    runner.on_call(CallChunk(call.call_id, b"id: 2\ndata: y\n\n"), 1.2)
    runner.on_call(CallEnded(call.call_id), 1.3)
    [command] = listed
    shown = (command.checkpointed_events, command.result.full_text().unwrap())
    assert shown == ((1, "\ny") if is_applied else (0, "x\ny"))
    runner.list_full_text("j", command.result.item_id, 1.4)
    assert listed[-1].checkpointed_events == 0
    assert listed[-1].result.full_text().unwrap() == "x\ny"
