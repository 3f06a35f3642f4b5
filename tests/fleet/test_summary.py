"""The figures that a run ends with."""

import msgspec
import pytest

from merlinstand_lab.fleet.summary import render_summary, summarize
from merlinstand_lab.records.kinds import (
    CallerOutcome,
    CallerRecord,
    MemoryRecord,
    SampleRecord,
    StepRecord,
)
from merlinstand_lab.records.record_set import RecordSet


def step(batch: int, asked_at: float, received_at: float, ended_at: float) -> StepRecord:
    return StepRecord(
        batch=batch,
        asked_at=asked_at,
        received_at=received_at,
        step_ended_at=ended_at,
        trainer_version=batch,
        consumer="t",
    )


def sample(version: int, trainer_version: int) -> SampleRecord:
    return SampleRecord(
        sample_id=f"{version}-{trainer_version}",
        job="j",
        prompt_id="p",
        attempt=0,
        batch=1,
        trainer_version=trainer_version,
        weight_versions=[(version, 0, 1), (version + 1, 1, 2)],
        received_at=1.0,
    )


def lookup(seconds: float) -> CallerRecord:
    return CallerRecord(
        request_id="r",
        sent_at=0.0,
        ended_at=seconds,
        outcome=CallerOutcome.ANSWER,
        answered_by="s",
        digest_ok=True,
        service="shop",
        idempotency_key="",
        repeatable=True,
        kind="lookup",
    )


def test_idle_time_staleness_and_latency_are_taken_from_the_records() -> None:
    records = RecordSet()
    records.add("idle-t", step(1, 0.0, 2.0, 5.0))
    records.add("idle-t", step(2, 5.0, 6.0, 10.0))
    records.add("trainer-t", sample(1, 2))
    records.add("trainer-t", sample(2, 2))
    for hundredths in range(1, 101):
        records.add("callers", lookup(hundredths / 100))
    summary = summarize(records)
    (trainer,) = summary.trainers
    assert trainer.idle_share == pytest.approx(0.3)
    assert summary.staleness == {0: 1, 1: 1}
    assert summary.lookup_seconds == pytest.approx({0.5: 0.51, 0.99: 1.0})
    text = "\n".join(render_summary(summary))
    assert "idle 30.0%" in text and "1 at 0, 1 at 1" in text and "p99 1000.0 ms" in text


def test_steps_of_both_feeders_are_one_trainers_steps() -> None:
    records = RecordSet()
    fed_by_scripts = msgspec.structs.replace(step(1, 0.0, 2.0, 5.0), consumer="t@scripts")
    records.add("idle-t", fed_by_scripts)
    records.add("idle-t", step(1, 5.0, 6.0, 10.0))
    (trainer,) = summarize(records).trainers
    assert (trainer.consumer, trainer.steps, trainer.steps_fed_by_scripts) == ("t", 2, 1)
    assert trainer.idle_share == pytest.approx(0.3)
    assert "2 steps (1 fed by the old scripts)" in render_summary(summarize(records))[0]


def memory(node_id: str, process_id: int, mebibytes: int, at: float) -> MemoryRecord:
    size = mebibytes * 1024 * 1024
    return MemoryRecord(node_id=node_id, process_id=process_id, resident_bytes=size, at=at)


def test_memory_is_that_of_the_longest_life_of_each_daemon() -> None:
    records = RecordSet()
    for record in (
        memory("gateway-a", 7, 40, 0.0),
        memory("gateway-a", 7, 90, 10.0),
        memory("gateway-a", 8, 41, 15.0),
        memory("gateway-a", 8, 45, 75.0),
        memory("control-a", 9, 50, 0.0),
    ):
        records.add("memory", record)
    lines = render_summary(summarize(records))
    assert lines[-2:] == [
        "memory    control: 50 to 50 MiB in 0 s",
        "memory    gateway: 41 to 45 MiB in 60 s",
    ]


def test_a_run_without_records_has_a_summary_too() -> None:
    assert render_summary(summarize(RecordSet()))
