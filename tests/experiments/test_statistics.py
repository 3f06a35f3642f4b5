"""Intervals and the lower bound, on numbers worked out by hand."""

import math

import pytest

from merlinstand_lab.experiments.lower_bound import (
    aggregate_tokens_per_second,
    lower_bound_idle_share,
)
from merlinstand_lab.experiments.measures import measure
from merlinstand_lab.experiments.statistics import mean_interval, paired_difference
from merlinstand_lab.quantiles import quantile
from merlinstand_lab.records.kinds import ActivationRecord, SampleRecord, StepRecord, StoreRecord
from merlinstand_lab.records.record_set import RecordSet
from merlinstand_lab.standins.settings import EngineProfile

ENGINE = EngineProfile(
    step_base_seconds=0.1,
    step_seconds_per_sequence=0.0,
    step_seconds_per_context_token=0.0,
    maximum_batch=10,
)
"""100 tokens/s at a full batch."""


def sample(batch: int, number: int, version: int, tokens: int, received_at: float) -> SampleRecord:
    return SampleRecord(
        sample_id=f"job/{number}/0",
        job="job",
        prompt_id=str(number),
        attempt=0,
        batch=batch,
        trainer_version=version,
        weight_versions=[(version, 0, tokens)],
        received_at=received_at,
        consumer="trainer-1",
        token_count=tokens,
    )


def step(batch: int, asked_at: float, received_at: float, ended_at: float) -> StepRecord:
    return StepRecord(
        batch=batch,
        asked_at=asked_at,
        received_at=received_at,
        step_ended_at=ended_at,
        trainer_version=batch,
        consumer="trainer-1",
    )


def two_steps() -> RecordSet:
    """Two batches of 1,000 tokens: 10 s of work each for one engine of 100 tokens/s."""
    records = RecordSet()
    records.add("store", StoreRecord(model="m", version=1, digest="d", published_at=0.0))
    records.add("store", StoreRecord(model="m", version=2, digest="e", published_at=18.0))
    records.add(
        "versions-e1",
        ActivationRecord(
            backend_id="e1", model="m", version=1, digest="d", activated_at=0.0, incarnation=1
        ),
    )
    records.add("trainer-1", sample(1, 1, 1, 1000, 14.0))
    records.add("trainer-1", sample(2, 2, 1, 1000, 26.0))
    records.add("idle-1", step(1, 0.0, 14.0, 18.0))
    records.add("idle-1", step(2, 18.0, 26.0, 30.0))
    return records


def test_quantile_is_the_smallest_value_that_covers_the_share() -> None:
    values = [float(value) for value in range(1, 101)]
    assert quantile(values, 0.99) == 99.0
    assert quantile(values, 1.0) == 100.0
    assert quantile([], 0.5) is None


def test_full_batches_of_all_engines_add_up() -> None:
    assert aggregate_tokens_per_second(ENGINE, 3, 500.0) == pytest.approx(300.0)


def test_lower_bound_overlaps_generation_with_training() -> None:
    # Batch 1 at 10 s at best; training takes 4 s, so batch 2 is asked for at 14 s and can be
    # whole at 20 s: 10 + 6 seconds of waiting out of 20.
    bound = lower_bound_idle_share(two_steps(), ENGINE, 1)
    assert bound == pytest.approx(16.0 / 20.0)


def test_measures_of_a_run_worked_out_by_hand() -> None:
    measures = measure(two_steps(), ENGINE, 1)
    assert measures.steps == 2
    assert measures.idle_share == pytest.approx((14.0 + 8.0) / 26.0)
    assert measures.idle_share_after_first == pytest.approx(8.0 / 8.0)
    assert measures.tokens_per_second == pytest.approx(2000 / 26.0)
    # The second sample of version 1 came when version 2 was stored.
    assert measures.staleness_maximum == 1.0
    assert measures.staleness_mean == 0.5
    assert measures.doubled_samples == 0
    assert measures.lookup_p99_seconds is None


def test_a_doubled_sample_is_counted() -> None:
    records = two_steps()
    records.add("trainer-1", sample(2, 1, 1, 1000, 26.0))
    assert measure(records, ENGINE, 1).doubled_samples == 1


def test_bootstrap_interval_holds_the_mean_and_is_reproducible() -> None:
    values = [1.0, 2.0, 3.0, 4.0, math.nan]
    interval = mean_interval(values)
    assert interval.mean == 2.5
    assert interval.low < 2.5 < interval.high
    assert interval == mean_interval(values)


def test_pairs_remove_what_seeds_have_in_common() -> None:
    baseline = [10.0, 20.0, 30.0, 40.0]
    better = [9.0, 19.0, 29.0, 39.0]
    difference = paired_difference(better, baseline)
    assert (difference.mean, difference.low, difference.high) == (-1.0, -1.0, -1.0)
    assert difference.excludes_zero
    assert not paired_difference([11.0, 9.0], [10.0, 10.0]).excludes_zero
