"""Recorded samples on which `merlinstand policy check` tries a program.

A line is either a whole `SampleRecord`, or a batch as trainers receive it, so that a trainer
that keeps its batches as JSON Lines has all that is needed.
"""

import msgspec

from merlinstand.policy.records import SampleRecord

UNKNOWN_FINISH_REASON = "stop"
"""Batches do not tell how a sample ended."""

UNKNOWN_AGE_SECONDS = 0.0
"""Nor when it was begun."""


class DeliveredSample(msgspec.Struct, frozen=True, kw_only=True):
    """What a batch tells of one sample; other fields are ignored."""

    sample_id: str
    """`job/prompt/attempt`."""
    attempt: int
    prompt: str
    text: str
    token_count: int
    weight_versions: tuple[tuple[int, int, int], ...]
    score: float | None = None


class DeliveredBatch(msgspec.Struct, frozen=True, kw_only=True):
    """A batch as trainers receive it; other fields are ignored."""

    newest_version: int
    samples: tuple[DeliveredSample, ...]


def decode_recorded_samples(line: str) -> tuple[SampleRecord, ...]:
    """Decode a line of recorded samples.

    Raises:
        msgspec.DecodeError: The line is neither form.
    """
    fields = msgspec.json.decode(line, type=dict[str, msgspec.Raw])
    if "samples" not in fields:
        return (msgspec.json.decode(line, type=SampleRecord),)
    batch = msgspec.json.decode(line, type=DeliveredBatch)
    return tuple(_to_record(sample, batch.newest_version) for sample in batch.samples)


def _to_record(sample: DeliveredSample, newest_version: int) -> SampleRecord:
    prompt_part = sample.sample_id.split("/")[-2:][0]
    if not prompt_part.isdecimal() or not sample.weight_versions:
        raise msgspec.ValidationError(f"sample {sample.sample_id!r} names no prompt or no version")
    versions = [version for version, _first_token, _end_token in sample.weight_versions]
    return SampleRecord(
        prompt_id=int(prompt_part),
        attempt=sample.attempt,
        prompt=sample.prompt,
        text=sample.text,
        token_count=sample.token_count,
        finish_reason=UNKNOWN_FINISH_REASON,
        has_score=sample.score is not None,
        score=sample.score if sample.score is not None else 0.0,
        oldest_version=min(versions),
        newest_version=newest_version,
        age_versions=max(0, newest_version - min(versions)),
        age_seconds=UNKNOWN_AGE_SECONDS,
        version_count=len(set(versions)),
    )
