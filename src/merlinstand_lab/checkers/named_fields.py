"""The promises as a reader checks them who knows only the fields that the brief names.

The full checkers read more and find more. This one shows that nobody has to believe them:
it needs no other file, no other field and no knowledge of the system.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator

from merlinstand_lab.checkers.report import PromiseResult, Report, Violation
from merlinstand_lab.records.kinds import CallerOutcome, Span
from merlinstand_lab.records.named_fields import NamedRecords, NamedRequest, NamedSample

DEFAULT_BOUND_VERSIONS = 2
"""Versions; the bound of a policy that names none."""


def verify_named_fields(
    records: NamedRecords, bound_versions: int = DEFAULT_BOUND_VERSIONS
) -> Report:
    """Check what can be checked on the named fields alone.

    Args:
        records: The named fields of a run.
        bound_versions: Staleness bound of the jobs' policies.
    """
    return Report(
        [
            _check_versions(records),
            _check_staleness(records, bound_versions),
            _check_exactly_once(records),
            _check_batches(records),
            _check_answers(records),
            _check_not_run(records),
            _check_at_most_once(records),
            _check_readable(records),
        ]
    )


def _samples(records: NamedRecords) -> list[NamedSample]:
    """Samples of all trainers."""
    return [sample for samples in records.samples.values() for sample in samples]


def _check_versions(records: NamedRecords) -> PromiseResult:
    """Spans cover a sample from its first token on, under versions that engines served."""
    served = {
        span[0]
        for generations in records.generations.values()
        for generation in generations
        for span in generation.spans
    }
    samples = _samples(records)
    violations = [
        Violation(sample.sample_id, fault)
        for sample in samples
        for fault in _span_faults(sample.weight_versions, served)
    ]
    return PromiseResult(
        name="versions-true",
        promise="A sample's versions cover all its tokens and were served by an engine.",
        checked=len(samples),
        unit="samples",
        violations=violations,
    )


def _span_faults(spans: list[Span], served: set[int]) -> Iterator[str]:
    """Everything wrong with one sample's spans."""
    if not spans:
        yield "names no versions"
    position = 0
    for version, first_token, end_token in spans:
        if first_token != position or end_token <= first_token:
            yield f"tokens {first_token} to {end_token} follow token {position}"
        if version not in served:
            yield f"no engine recorded a token of version {version}"
        position = end_token


def _check_staleness(records: NamedRecords, bound_versions: int) -> PromiseResult:
    """Compare each sample's oldest version with its trainer's."""
    violations = []
    samples = _samples(records)
    for sample in samples:
        oldest = min((span[0] for span in sample.weight_versions), default=0)
        behind = sample.trainer_version - oldest
        if behind > bound_versions:
            violations.append(Violation(sample.sample_id, f"{behind} versions behind its trainer"))
    return PromiseResult(
        name="staleness-bound",
        promise=f"No sample is more than {bound_versions} versions older than its trainer's.",
        checked=len(samples),
        unit="samples",
        violations=violations,
    )


def _check_exactly_once(records: NamedRecords) -> PromiseResult:
    """Look for samples that were received twice, under their id or under another."""
    samples = _samples(records)
    by_id = Counter((sample.job, sample.sample_id) for sample in samples)
    by_origin = Counter((sample.job, sample.prompt_id, sample.attempt) for sample in samples)
    violations = [
        Violation("/".join(map(str, key)), f"received {count} times")
        for key, count in [*by_id.items(), *by_origin.items()]
        if count > 1
    ]
    return PromiseResult(
        name="exactly-once",
        promise="Every sample reaches its trainer exactly once.",
        checked=len(samples),
        unit="samples",
        violations=violations,
    )


def _check_batches(records: NamedRecords) -> PromiseResult:
    """A trainer's batches of a job are numbered from 1 without gap."""
    batches: dict[tuple[str, str], set[int]] = defaultdict(set)
    for trainer, samples in records.samples.items():
        for sample in samples:
            batches[(trainer, sample.job)].add(sample.batch)
    violations = [
        Violation(f"{trainer}, job {job}", f"batch {batch} is missing")
        for (trainer, job), numbers in batches.items()
        for batch in sorted(set(range(1, max(numbers) + 1)) ^ numbers)
    ]
    return PromiseResult(
        name="batches-in-order",
        promise="A trainer's batches are numbered from 1 without gap.",
        checked=sum(len(numbers) for numbers in batches.values()),
        unit="batches",
        violations=violations,
    )


def _runs(records: NamedRecords) -> dict[str, set[str]]:
    """Which back ends recorded each request."""
    runs: dict[str, set[str]] = defaultdict(set)
    for node, generations in records.generations.items():
        for generation in generations:
            runs[generation.request_id].add(node)
    for node, service_runs in records.service_runs.items():
        for run in service_runs:
            runs[run.request_id].add(node)
    return runs


def _check_answers(records: NamedRecords) -> PromiseResult:
    """Answers are whole, and of the back end that they name."""
    runs = _runs(records)
    answered = [one for one in records.requests if one.outcome is CallerOutcome.ANSWER]
    violations = [
        Violation(request.request_id, fault)
        for request in answered
        for fault in _answer_faults(request, runs.get(request.request_id, set()))
    ]
    ends = Counter(request.request_id for request in records.requests)
    violations += [
        Violation(request_id, f"ended {count} times")
        for request_id, count in ends.items()
        if count > 1
    ]
    return PromiseResult(
        name="whole-answers",
        promise="Every caller receives the whole answer to its own request.",
        checked=len(answered),
        unit="answers",
        violations=violations,
    )


def _answer_faults(request: NamedRequest, ran_at: set[str]) -> Iterator[str]:
    """Everything wrong with one answer."""
    if not request.digest_ok:
        yield "the answer is not whole or not its own"
    if request.ended_at < request.sent_at:
        yield "ended before it was sent"
    # A twin of a booking takes the recorded answer: then nobody ran it under its own name.
    if ran_at and request.answered_by not in ran_at:
        yield f"{request.answered_by or 'nobody'} is named, {sorted(ran_at)} ran it"


def _check_not_run(records: NamedRecords) -> PromiseResult:
    """No back end recorded a request that was refused as not run."""
    runs = _runs(records)
    refused = [one for one in records.requests if one.outcome is CallerOutcome.NOT_RUN]
    return PromiseResult(
        name="not-run-is-true",
        promise='When the system refuses a request as "not run", it was indeed not run.',
        checked=len(refused),
        unit="refusals",
        violations=[
            Violation(one.request_id, f"refused as not run, {sorted(runs[one.request_id])} ran it")
            for one in refused
            if one.request_id in runs
        ],
        required=False,
    )


def _check_at_most_once(records: NamedRecords) -> PromiseResult:
    """Count the runs of each key of requests that must not be repeated."""
    keys = Counter(
        run.idempotency_key
        for service_runs in records.service_runs.values()
        for run in service_runs
        if not run.repeatable
    )
    return PromiseResult(
        name="at-most-once",
        promise="A request marked as not repeatable runs at most once.",
        checked=len(keys),
        unit="keys",
        violations=[
            Violation(key or "a request without key", f"ran {count} times")
            for key, count in keys.items()
            if count > 1
        ],
    )


def _check_readable(records: NamedRecords) -> PromiseResult:
    """Every line has the named fields."""
    readable = (
        len(_samples(records))
        + sum(len(one) for one in records.generations.values())
        + sum(len(one) for one in records.service_runs.values())
        + len(records.requests)
    )
    return PromiseResult(
        name="records-complete",
        promise="Every line has the named fields.",
        checked=readable,
        unit="lines",
        violations=[
            Violation(f"{one.stream}.jsonl line {one.line_number}", one.detail)
            for one in records.unreadable
        ],
    )
