"""Every sample reaches its trainer exactly once, in whole batches numbered without gap."""

from collections import Counter, defaultdict

from merlinstand_lab.checkers.report import PromiseResult, Violation
from merlinstand_lab.records.kinds import OperatorRecord, StepRecord
from merlinstand_lab.records.record_set import RecordSet

_FIRST_BATCH = 1
"""Number; batches are counted from one."""


def check_exactly_once(records: RecordSet) -> PromiseResult:
    """Look for a sample or a slot that reached trainers twice.

    Not even an operator's rewind lets a sample be delivered again.
    """
    samples = records.samples
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
    received = Counter(
        (one.job, one.consumer, one.batch, one.received_at) for one in records.samples
    )
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
            count = received[(job, consumer, step.batch, step.received_at)]
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


def _rewinds(operators: list[OperatorRecord]) -> set[tuple[str, str, int]]:
    """Batches that operators rewound a consumer to."""
    return {
        (
            str(record.command["job"]),
            str(record.command["consumer"]),
            int(str(record.command["batch"])),
        )
        for record in operators
        if record.command.get("command") == "rewind_job" and record.outcome != "refused"
    }
