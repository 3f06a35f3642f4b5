"""Promises to callers: whole answers, truthful refusals, at most one run."""

from collections import Counter, defaultdict

from merlinstand_lab.checkers.report import PromiseResult, Violation
from merlinstand_lab.records.kinds import (
    CallerOutcome,
    CallerRecord,
    GenerationOutcome,
    GenerationRecord,
    SampleRecord,
)
from merlinstand_lab.records.record_set import RecordSet

_REQUEST_OF_SAMPLE = "~"
"""Between the sample's id and the rest in the request ids of its generations."""


def check_whole_answers(records: RecordSet) -> PromiseResult:
    """Check digests, request ids and that the named back end did run the request."""
    callers = records.callers
    answers = [record for record in callers if record.outcome is CallerOutcome.ANSWER]
    violations = _wrong_answers(records, answers)
    ended = Counter(record.request_id for record in callers)
    violations += [
        Violation(request_id, f"ended {count} times")
        for request_id, count in ended.items()
        if count > 1
    ]
    violations += _samples_without_their_end(records)
    return PromiseResult(
        name="whole-answers",
        promise="Every caller receives the whole answer to its own request.",
        checked=len(answers) + len(records.samples),
        unit="answers",
        violations=violations,
    )


def _wrong_answers(records: RecordSet, answers: list[CallerRecord]) -> list[Violation]:
    """Find answers of a wrong digest, or by a back end that did not run the request."""
    ran = {(start.request_id, start.backend_id) for start in records.starts}
    violations: list[Violation] = []
    for record in answers:
        if not record.digest_ok:
            detail = f"the answer is not whole or not its own: {record.reason}"
            violations.append(Violation(record.request_id, detail))
        elif record.repeatable and (record.request_id, record.answered_by) not in ran:
            detail = f"{record.answered_by or 'nobody'} is named but did not run it"
            violations.append(Violation(record.request_id, detail))
    return violations


def _samples_without_their_end(records: RecordSet) -> list[Violation]:
    """Find samples whose text does not end where an engine ended it."""
    ends = _GenerationEnds(records.generations)
    violations: list[Violation] = []
    for sample in records.samples:
        last_request, end_token = "", 0
        if sample.produced:
            last_request, end_token = sample.produced[-1][0], sample.produced[-1][3]
        if not ends.has_end_of(sample):
            detail = f"no engine ended {last_request} at token {sample.token_count}"
            violations.append(Violation(sample.sample_id, detail))
        if end_token != sample.token_count or sample.token_count == 0:
            detail = f"text ends at token {end_token} of {sample.token_count}"
            violations.append(Violation(sample.sample_id, detail))
    return violations


class _GenerationEnds:
    """Where engines said that a text ends; they record it before they tell anybody."""

    def __init__(self, generations: list[GenerationRecord]) -> None:
        """Index the generations that came to their end."""
        self._by_request: set[tuple[str, int]] = set()
        self._without_tokens: set[tuple[str, int]] = set()
        """By sample: an engine took a whole text over from one that died, and said that it is."""
        for generation in generations:
            if generation.outcome not in (GenerationOutcome.STOP, GenerationOutcome.LENGTH):
                continue
            if generation.spans:
                self._by_request.add((generation.request_id, generation.spans[-1][2]))
            elif generation.first_token > 0:
                sample_id = generation.request_id.partition(_REQUEST_OF_SAMPLE)[0]
                self._without_tokens.add((sample_id, generation.first_token))

    def has_end_of(self, sample: SampleRecord) -> bool:
        """Whether an engine ended a sample exactly where its text ends."""
        last_request = sample.produced[-1][0] if sample.produced else ""
        return (last_request, sample.token_count) in self._by_request or (
            sample.sample_id,
            sample.token_count,
        ) in self._without_tokens


def check_not_run(records: RecordSet) -> PromiseResult:
    """Check that no back end began a request that was refused as not run."""
    refused = [one for one in records.callers if one.outcome is CallerOutcome.NOT_RUN]
    starts = {start.request_id: start.backend_id for start in records.starts}
    starts |= {one.request_id: one.backend_id for one in records.services}
    violations = [
        Violation(record.request_id, f"refused as not run, but {starts[record.request_id]} ran it")
        for record in refused
        if record.request_id in starts
    ]
    return PromiseResult(
        name="not-run-is-true",
        promise='When the system refuses a request as "not run", it was indeed not run.',
        checked=len(refused),
        unit="refusals",
        violations=violations,
        # Whether anything is refused depends on the run; the lab's floods make sure of it.
        required=False,
    )


def check_at_most_once(records: RecordSet) -> PromiseResult:
    """Count the runs of each idempotency key of requests that must not be repeated."""
    keys = {
        record.request_id: record.idempotency_key
        for record in records.callers
        if not record.repeatable and record.idempotency_key
    }
    named = set(keys.values())
    runs: dict[str, list[str]] = defaultdict(list)
    for start in records.starts:
        key = keys.get(start.request_id)
        if key is None and start.idempotency_key in named:
            key = start.idempotency_key
        if key is not None:
            runs[key].append(f"{start.backend_id}:{start.request_id}")
    violations = [
        Violation(key, f"ran {len(where)} times: {', '.join(where)}")
        for key, where in runs.items()
        if len(where) > 1
    ]
    return PromiseResult(
        name="at-most-once",
        promise="A request marked as not repeatable runs at most once.",
        checked=len(named),
        unit="keys",
        violations=violations,
    )
