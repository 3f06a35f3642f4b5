"""What users measure, from a run's records: idle trainers, stale samples, slow lookups."""

from collections import Counter, defaultdict

import msgspec

from merlinstand_lab.records.kinds import CallerOutcome, MemoryRecord, StepRecord
from merlinstand_lab.records.record_set import RecordSet
from merlinstand_lab.standins.trainer_feed import trainer_of

_MEBIBYTE_BYTES = 1024 * 1024
"""Bytes."""
_QUANTILES = (0.5, 0.99)
"""Shares of the lookups."""


class TrainerSummary(msgspec.Struct, frozen=True, kw_only=True):
    """One trainer."""

    consumer: str
    steps: int
    steps_fed_by_scripts: int
    last_version: int
    idle_share: float
    """Time between the end of a step and the next batch, over all time of the trainer."""


class MemorySummary(msgspec.Struct, frozen=True, kw_only=True):
    """The longest-lived process of one daemon."""

    node_id: str
    first_bytes: int
    last_bytes: int
    seconds: float


class RunSummary(msgspec.Struct, frozen=True, kw_only=True):
    """One run."""

    trainers: list[TrainerSummary]
    samples: int
    staleness: dict[int, int]
    """Number of samples by versions between the newest and their oldest span, at receipt."""
    lookup_seconds: dict[float, float]
    """Quantiles of the time of answered lookups."""
    caller_outcomes: dict[str, int]
    memory: list[MemorySummary]
    faults: dict[str, int]
    """Number of faults by kind."""


def summarize(records: RecordSet) -> RunSummary:
    """Compute the summary of a run."""
    lookups = [
        record.ended_at - record.sent_at
        for record in records.callers
        if record.kind == "lookup" and record.outcome is CallerOutcome.ANSWER
    ]
    staleness = Counter(
        sample.trainer_version - min(span[0] for span in sample.weight_versions)
        for sample in records.samples
    )
    outcomes = Counter(record.outcome.value for record in records.callers)
    return RunSummary(
        trainers=_trainers(records),
        samples=len(records.samples),
        staleness=dict(sorted(staleness.items())),
        lookup_seconds={quantile: _quantile(lookups, quantile) for quantile in _QUANTILES},
        memory=_memory(records),
        faults=dict(Counter(fault.kind for fault in records.faults)),
        caller_outcomes={outcome.value: outcomes[outcome.value] for outcome in CallerOutcome},
    )


def render_summary(summary: RunSummary) -> list[str]:
    """Return the summary as lines for a terminal."""
    lines = [
        f"{one.consumer:<10}{one.steps} steps{_fed_by_scripts(one)}, "
        f"weights up to version {one.last_version}, idle {one.idle_share:.1%} of its time"
        for one in summary.trainers
    ]
    staleness = ", ".join(f"{count} at {age}" for age, count in summary.staleness.items())
    lines.append(f"samples   {summary.samples}; versions behind at receipt: {staleness or '-'}")
    times = ", ".join(
        f"p{quantile * 100:g} {seconds * 1000:.1f} ms"
        for quantile, seconds in summary.lookup_seconds.items()
    )
    lines.append(f"lookups   {times}")
    outcomes = ", ".join(f"{count} {name}" for name, count in summary.caller_outcomes.items())
    lines.append(f"callers   {outcomes}")
    lines += _memory_lines(summary.memory)
    if summary.faults:
        faults = ", ".join(f"{count} {kind}" for kind, count in summary.faults.items())
        lines.append(f"faults    {faults}")
    return lines


def _memory_lines(memory: list[MemorySummary]) -> list[str]:
    """One line for the daemons of each role."""
    by_role: dict[str, list[str]] = defaultdict(list)
    for one in memory:
        first, last = one.first_bytes / _MEBIBYTE_BYTES, one.last_bytes / _MEBIBYTE_BYTES
        text = f"{first:.0f} to {last:.0f} MiB in {one.seconds:.0f} s"
        by_role[one.node_id.split("-", 1)[0]].append(text)
    return [f"memory    {role}: {', '.join(texts)}" for role, texts in by_role.items()]


def _fed_by_scripts(trainer: TrainerSummary) -> str:
    """Tell how many steps the old scripts fed, if any."""
    count = trainer.steps_fed_by_scripts
    return f" ({count} fed by the old scripts)" if count else ""


def _trainers(records: RecordSet) -> list[TrainerSummary]:
    """Summaries of all trainers."""
    by_trainer: dict[str, list[StepRecord]] = defaultdict(list)
    for step in records.steps:
        by_trainer[trainer_of(step.consumer)].append(step)
    return [
        _trainer(name, sorted(steps, key=lambda step: step.received_at))
        for name, steps in sorted(by_trainer.items())
    ]


def _trainer(name: str, steps: list[StepRecord]) -> TrainerSummary:
    """Summary of one trainer, from its steps in order."""
    total = steps[-1].step_ended_at - steps[0].asked_at
    busy = sum(step.step_ended_at - step.received_at for step in steps)
    return TrainerSummary(
        consumer=name,
        steps=len(steps),
        steps_fed_by_scripts=sum(step.consumer != name for step in steps),
        last_version=steps[-1].trainer_version,
        idle_share=1.0 - busy / total if total > 0 else 0.0,
    )


def _memory(records: RecordSet) -> list[MemorySummary]:
    """First and last memory of each daemon's longest life."""
    lives: dict[tuple[str, int], list[MemoryRecord]] = defaultdict(list)
    for record in records.memory:
        lives[(record.node_id, record.process_id)].append(record)
    longest: dict[str, list[MemoryRecord]] = {}
    for (node_id, _), samples in lives.items():
        known = longest.get(node_id)
        if known is None or _life_seconds(samples) > _life_seconds(known):
            longest[node_id] = samples
    return [
        MemorySummary(
            node_id=node_id,
            first_bytes=samples[0].resident_bytes,
            last_bytes=samples[-1].resident_bytes,
            seconds=_life_seconds(samples),
        )
        for node_id, samples in sorted(longest.items())
    ]


def _life_seconds(samples: list[MemoryRecord]) -> float:
    """Time between the first and the last sample of one process."""
    return samples[-1].at - samples[0].at


def _quantile(values: list[float], quantile: float) -> float:
    """Nearest-rank quantile; 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]
