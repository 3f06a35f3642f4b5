"""Finished samples, as stored in the journal and as sent to trainers."""

import msgspec

from merlinstand.coordinator.engine_protocol import Span


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """A finished sample of one slot."""

    job: str
    slot: int
    sample_id: str
    prompt_index: int
    attempt: int
    prompt: str
    text: str
    token_count: int
    spans: tuple[Span, ...]
    finish_reason: str
    score: float | None = None

    @property
    def oldest_version(self) -> int:
        """Oldest version of all spans, from which staleness is measured."""
        return min(span.version for span in self.spans)

    @property
    def version_count(self) -> int:
        """Number of different versions that generated the sample."""
        return len({span.version for span in self.spans})


class TrainerSample(msgspec.Struct, frozen=True, kw_only=True):
    """A sample in a batch, as a trainer receives it."""

    sample_id: str
    slot: int
    job: str
    prompt_id: str
    attempt: int
    prompt: str
    text: str
    token_count: int
    weight_versions: tuple[Span, ...]
    weight: float
    score: float | None


class BatchResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a 200 response to a trainer's request."""

    job: str
    consumer: str
    batch: int
    nonce: str
    newest_version: int
    samples: tuple[TrainerSample, ...]
    use_within_seconds: float | None = None
    """Seconds from when the trainer sent its request. A batch received later may exceed its
    staleness bound: the trainer must drop it and send a request with a new nonce."""


class BatchRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a trainer's request."""

    consumer: str
    last_received_batch: int
    trainer_version: int
    nonce: str
    last_received_nonce: str = ""
    """Nonce of the response that contained `last_received_batch`."""


def to_trainer(sample: Sample, weight: float) -> TrainerSample:
    """Convert a sample to the form that trainers receive."""
    return TrainerSample(
        sample_id=sample.sample_id,
        slot=sample.slot,
        job=sample.job,
        prompt_id=str(sample.prompt_index),
        attempt=sample.attempt,
        prompt=sample.prompt,
        text=sample.text,
        token_count=sample.token_count,
        weight_versions=sample.spans,
        weight=weight,
        score=sample.score,
    )
