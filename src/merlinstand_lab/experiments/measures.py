"""What the users measure, from the records of outsiders alone."""

from collections import Counter

import msgspec

from merlinstand_lab.experiments.lower_bound import lower_bound_idle_share
from merlinstand_lab.quantiles import quantile
from merlinstand_lab.records.kinds import CallerOutcome, CallerRecord, SampleRecord
from merlinstand_lab.records.record_set import RecordSet
from merlinstand_lab.simulator.whole_fleet import FLOOD_CALLER
from merlinstand_lab.standins.settings import EngineProfile


class Measures(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one run. Shares are fractions of 1, latencies seconds.

    None stands for a figure without anything to measure.
    """

    steps: float | None
    samples: float | None
    idle_share: float | None
    """Time trainers waited for batches, from their first request on, as a share."""
    idle_share_after_first: float | None
    """The same without the wait for the first batch, while the fleet starts."""
    lower_bound_idle_share: float | None
    """The least idle share that any scheduler could reach (`lower_bound.py`)."""
    tokens_per_second: float | None
    """Tokens delivered to trainers."""
    staleness_mean: float | None
    staleness_p99: float | None
    staleness_maximum: float | None
    lookup_p50_seconds: float | None
    lookup_p99_seconds: float | None
    lookup_p99_in_rollouts_seconds: float | None
    lookup_p99_outside_rollouts_seconds: float | None
    lookups_answered_share: float | None
    generated_but_unused_share: float | None
    """Tokens made by engines for the job that no trainer received (discarded, repeated)."""
    doubled_samples: float | None


def measure(records: RecordSet, engine: EngineProfile, engines: int) -> Measures:
    """Compute the figures of one run."""
    staleness = sorted(_staleness(records))
    lookups = [caller for caller in records.callers if _is_measured_lookup(caller)]
    answered = [caller for caller in lookups if caller.outcome is CallerOutcome.ANSWER]
    inside, outside = _split_by_rollouts(records, answered)
    latencies = _latencies(answered)
    samples = records.samples
    started_at, ended_at = _span(records)
    elapsed = max(ended_at - started_at, 1e-9)
    return Measures(
        steps=len(records.steps),
        samples=len(samples),
        idle_share=_idle_share(records, first_step=0),
        idle_share_after_first=_idle_share(records, first_step=1),
        lower_bound_idle_share=lower_bound_idle_share(records, engine, engines),
        tokens_per_second=sum(sample.token_count for sample in samples) / elapsed,
        staleness_mean=sum(staleness) / len(staleness) if staleness else None,
        staleness_p99=quantile(staleness, 0.99),
        staleness_maximum=staleness[-1] if staleness else None,
        lookup_p50_seconds=quantile(latencies, 0.5),
        lookup_p99_seconds=quantile(latencies, 0.99),
        lookup_p99_in_rollouts_seconds=quantile(_latencies(inside), 0.99),
        lookup_p99_outside_rollouts_seconds=quantile(_latencies(outside), 0.99),
        lookups_answered_share=len(answered) / len(lookups) if lookups else None,
        generated_but_unused_share=_unused_share(records),
        doubled_samples=_doubled(samples),
    )


def _is_measured_lookup(caller: CallerRecord) -> bool:
    return caller.kind == "lookup" and caller.caller != FLOOD_CALLER


def _latencies(callers: list[CallerRecord]) -> list[float]:
    return sorted(caller.ended_at - caller.sent_at for caller in callers)


def _span(records: RecordSet) -> tuple[float, float]:
    """When trainers first asked and when the last complete step was received."""
    steps = records.steps
    if not steps:
        return 0.0, 0.0
    return min(step.asked_at for step in steps), max(step.received_at for step in steps)


def _idle_share(records: RecordSet, first_step: int) -> float | None:
    """Waiting time of all trainers over their time from a step's request to the last receipt."""
    waited, present = 0.0, 0.0
    for consumer in {step.consumer for step in records.steps}:
        steps = [step for step in records.steps if step.consumer == consumer][first_step:]
        if not steps:
            continue
        waited += sum(step.received_at - step.asked_at for step in steps)
        present += steps[-1].received_at - steps[0].asked_at
    return waited / present if present else None


def staleness_counts(records: RecordSet) -> dict[str, int]:
    """Return how many samples were received at each staleness, in versions."""
    counts = Counter(_staleness(records))
    return {f"{value:.0f}": counts[value] for value in sorted(counts)}


def _staleness(records: RecordSet) -> list[float]:
    """Versions between the newest stored at receipt and each sample's oldest span."""
    stored = sorted((version.published_at, version.version) for version in records.stored)
    result = []
    for sample in records.samples:
        newest = max((version for at, version in stored if at <= sample.received_at), default=0)
        oldest = min(span[0] for span in sample.weight_versions)
        result.append(float(newest - oldest))
    return result


def _split_by_rollouts(
    records: RecordSet, callers: list[CallerRecord]
) -> tuple[list[CallerRecord], list[CallerRecord]]:
    """Split requests by whether they overlap a rollout (store put to last activation)."""
    windows = []
    for version in records.stored:
        ends = [a.activated_at for a in records.activations if a.version == version.version]
        if ends:
            windows.append((version.published_at, max(ends)))
    inside: list[CallerRecord] = []
    outside: list[CallerRecord] = []
    for caller in callers:
        overlaps = any(caller.sent_at <= end and caller.ended_at >= begin for begin, end in windows)
        (inside if overlaps else outside).append(caller)
    return inside, outside


def _unused_share(records: RecordSet) -> float | None:
    """Share of the tokens that engines made for the job and no trainer received."""
    made = 0
    for generation in records.generations:
        if "~" in generation.request_id:
            made += sum(span[2] - span[1] for span in generation.spans)
    used = sum(sample.token_count for sample in records.samples)
    return max(0.0, 1.0 - used / made) if made else None


def _doubled(samples: list[SampleRecord]) -> int:
    """Samples received more than once, over all trainers."""
    counts = Counter(sample.sample_id for sample in samples)
    return sum(count - 1 for count in counts.values())
