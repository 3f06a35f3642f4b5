"""Reads recorded samples on which `merlinstand policy check` runs a program.

Each line is JSON: either a complete `SampleRecord`, or a batch as trainers receive it, so that a
trainer can record its batches as JSON Lines.
"""

import msgspec

from merlinstand.policy.records import SampleRecord

DEFAULT_FINISH_REASON = "stop"
"""Used for batches, which do not contain the finish reason of a sample."""

DEFAULT_AGE_SECONDS = 0.0
"""Used for batches, which do not contain the start time of a sample."""


class DeliveredSample(msgspec.Struct, frozen=True, kw_only=True):
    """The fields that are read from a sample of a batch; others are ignored."""

    sample_id: str
    """`job/prompt/attempt`."""
    attempt: int
    prompt: str
    text: str
    token_count: int
    weight_versions: tuple[tuple[int, int, int], ...]
    score: float | None = None


class DeliveredBatch(msgspec.Struct, frozen=True, kw_only=True):
    """The fields that are read from a batch; others are ignored."""

    newest_version: int
    samples: tuple[DeliveredSample, ...]


def decode_recorded_samples(line: str) -> tuple[SampleRecord, ...]:
    """Decode a line of recorded samples.

    Raises:
        msgspec.DecodeError: The line is neither a sample record nor a batch.
    """
    fields = msgspec.json.decode(line, type=dict[str, msgspec.Raw])
    if "samples" not in fields:
        return (msgspec.json.decode(line, type=SampleRecord),)
    batch = msgspec.json.decode(line, type=DeliveredBatch)
    return tuple(_to_record(sample, batch.newest_version) for sample in batch.samples)


def _to_record(sample: DeliveredSample, newest_version: int) -> SampleRecord:
    prompt_part = sample.sample_id.split("/")[-2:][0]
    if not prompt_part.isdecimal() or not sample.weight_versions:
        raise msgspec.ValidationError(
            f"sample {sample.sample_id!r} has no prompt number or no version"
        )
    versions = [version for version, _first_token, _end_token in sample.weight_versions]
    return SampleRecord(
        prompt_id=int(prompt_part),
        attempt=sample.attempt,
        prompt=sample.prompt,
        text=sample.text,
        token_count=sample.token_count,
        finish_reason=DEFAULT_FINISH_REASON,
        has_score=sample.score is not None,
        score=sample.score if sample.score is not None else 0.0,
        oldest_version=min(versions),
        newest_version=newest_version,
        age_versions=max(0, newest_version - min(versions)),
        age_seconds=DEFAULT_AGE_SECONDS,
        version_count=len(set(versions)),
    )
