"""What a trainer records of the batches it received."""

from merlinstand_lab.records.kinds import SampleRecord, StepRecord
from merlinstand_lab.standins.engine_model.text import parse_text
from merlinstand_lab.standins.trainer_messages import PulledBatch, PulledSample


def step_record(
    batch: PulledBatch, consumer: str, trainer_version: int, asked_at: float, now: float
) -> StepRecord:
    """Return the record of a step that begins now; its end is not known yet."""
    return StepRecord(
        batch=batch.batch,
        asked_at=asked_at,
        received_at=now,
        step_ended_at=now,
        trainer_version=trainer_version,
        consumer=consumer,
        job=batch.job,
        samples=len(batch.samples),
        newest_version=batch.newest_version,
    )


def sample_record(
    sample: PulledSample, batch: PulledBatch, consumer: str, trainer_version: int, now: float
) -> SampleRecord:
    """Return the record of one sample, with what its text proves."""
    return SampleRecord(
        sample_id=sample.sample_id,
        job=sample.job,
        prompt_id=sample.prompt_id,
        attempt=sample.attempt,
        batch=batch.batch,
        trainer_version=trainer_version,
        weight_versions=sample.weight_versions,
        received_at=now,
        newest_version=batch.newest_version,
        consumer=consumer,
        token_count=sample.token_count,
        slot=sample.slot,
        produced=parse_text(sample.text).produced,
    )
