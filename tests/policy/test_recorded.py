"""Decoding of recorded samples: complete records, or batches as trainers receive them."""

import msgspec
import pytest

from merlinstand.client.batches import Batch, Sample
from merlinstand.policy.recorded import decode_recorded_samples
from merlinstand.policy.records import EXAMPLE_SAMPLE

SAMPLE = Sample(
    sample_id="blurbs/7/1",
    slot=15,
    job="blurbs",
    prompt_id="7",
    attempt=1,
    prompt="Write a blurb.",
    text="A light shirt.",
    token_count=5,
    weight_versions=((3, 0, 2), (4, 2, 5)),
    weight=1.0,
    score=0.25,
)


def encode_batch(*samples: Sample) -> str:
    batch = Batch(job="blurbs", consumer="t", batch=1, nonce="n", newest_version=5, samples=samples)
    return msgspec.json.encode(batch).decode()


def test_a_client_batch_is_converted_to_sample_records() -> None:
    unscored = msgspec.structs.replace(SAMPLE, score=None, sample_id="blurbs/8/0", attempt=0)
    first, second = decode_recorded_samples(encode_batch(SAMPLE, unscored))
    assert (first.prompt_id, first.attempt, first.token_count) == (7, 1, 5)
    assert (first.oldest_version, first.newest_version, first.age_versions) == (3, 5, 2)
    assert (first.version_count, first.has_score, first.score) == (2, True, 0.25)
    assert (second.prompt_id, second.has_score, second.score) == (8, False, 0.0)


def test_a_complete_record_is_decoded_unchanged() -> None:
    assert decode_recorded_samples(msgspec.json.encode(EXAMPLE_SAMPLE).decode()) == (
        EXAMPLE_SAMPLE,
    )


@pytest.mark.parametrize(
    "line",
    [
        "",
        "[]",
        "{}",
        '{"samples": 5}',
        '{"samples": [{}], "newest_version": 1}',
        encode_batch(msgspec.structs.replace(SAMPLE, sample_id="seven")),
        encode_batch(msgspec.structs.replace(SAMPLE, weight_versions=())),
    ],
)
def test_invalid_lines_are_rejected(line: str) -> None:
    with pytest.raises(msgspec.DecodeError):
        decode_recorded_samples(line)
