"""Every sample reaches its trainer exactly once, in whole batches numbered without gap."""

from collections import Counter, defaultdict

from merlinstand_lab.checkers.report import PromiseResult, Violation
from merlinstand_lab.records.kinds import OperatorRecord, SampleRecord, StepRecord
from merlinstand_lab.records.record_set import RecordSet

_FIRST_BATCH = 1


def check_exactly_once(records: RecordSet) -> PromiseResult:
    """Look for a sample or a slot that reached trainers twice."""
    samples = _without_rewound(records)
    violations = []
    by_id = Counter((sample.job, sample.sample_id) for sample in samples)
    violations += [
        Violation(sample_id, f"received {count} times")
        for (_, sample_id), count in by_id.items()
        if count > 1
    ]
    slots: dict[tuple[str, int], set[str]] = defaultdict(set)
    for sample in samples:
        if sample.slot >= 0:
            slots[(sample.job, sample.slot)].add(sample.sample_id)
    violations += [
        Violation(f"{job} slot {slot}", f"received as {sorted(names)}")
        for (job, slot), names in slots.items()
        if len(names) > 1
    ]
    return PromiseResult(
        name="exactly-once",
        promise="Every sample reaches its trainer exactly once.",
        checked=len(samples),
        unit="samples",
        violations=violations,
    )


def check_batches(records: RecordSet) -> PromiseResult:
    """Look for gaps, repetitions and incomplete batches of each trainer."""
    violations: list[Violation] = []
    rewinds = _rewinds(records.operators)
    received = Counter((one.job, one.consumer, one.batch) for one in _without_rewound(records))
    by_consumer: dict[tuple[str, str], list[StepRecord]] = defaultdict(list)
    for step in records.steps:
        by_consumer[(step.job, step.consumer)].append(step)
    for (job, consumer), steps in by_consumer.items():
        expected = _FIRST_BATCH
        for step in steps:
            rewound = (job, consumer, step.batch) in rewinds
            if step.batch != expected and not rewound:
                detail = f"batch {step.batch} came where {expected} was due"
                violations.append(Violation(f"{job}/{consumer}", detail))
            count = received[(job, consumer, step.batch)]
            if count != step.samples:
                detail = f"{count} samples recorded, {step.samples} received"
                violations.append(Violation(f"{job}/{consumer} batch {step.batch}", detail))
            expected = step.batch + 1
    return PromiseResult(
        name="batches-in-order",
        promise="A trainer's batches are numbered without gap and are whole.",
        checked=len(records.steps),
        unit="batches",
        violations=violations,
    )


def _rewinds(operators: list[OperatorRecord]) -> dict[tuple[str, str, int], float]:
    """Batches that operators rewound a consumer to, with the time of the command."""
    return {
        (
            str(record.command["job"]),
            str(record.command["consumer"]),
            int(str(record.command["batch"])),
        ): record.sent_at
        for record in operators
        if record.command.get("command") == "rewind_job" and record.outcome != "refused"
    }


def _without_rewound(records: RecordSet) -> list[SampleRecord]:
    """Samples less those that an operator's rewind made the trainer throw away."""
    rewinds = _rewinds(records.operators)
    if not rewinds:
        return records.samples
    return [
        sample
        for sample in records.samples
        if not any(
            (sample.job, sample.consumer) == (job, consumer)
            and sample.batch >= batch
            and sample.received_at < sent_at
            for (job, consumer, batch), sent_at in rewinds.items()
        )
    ]
