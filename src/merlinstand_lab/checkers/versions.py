"""Every sample names the weight versions that truly produced it."""

from collections import defaultdict

from merlinstand_lab.checkers.report import PromiseResult, Violation
from merlinstand_lab.records.kinds import (
    ActivationRecord,
    GenerationRecord,
    ProducedSpan,
    SampleRecord,
    Span,
    StartRecord,
)
from merlinstand_lab.records.record_set import RecordSet


def check_versions(records: RecordSet) -> PromiseResult:
    """Compare each sample's spans with its text and with the engines' records."""
    evidence = _EngineEvidence(records)
    violations: list[Violation] = []
    samples = records.samples
    for sample in samples:
        violations += [Violation(sample.sample_id, fault) for fault in _faults(sample, evidence)]
    return PromiseResult(
        name="versions-true",
        promise="Every sample names the weight versions that truly produced it.",
        checked=len(samples),
        unit="samples",
        violations=violations,
    )


class _EngineEvidence:
    """What the engines and the store recorded, indexed."""

    def __init__(self, records: RecordSet) -> None:
        """Index the records."""
        self._generations: dict[str, list[GenerationRecord]] = defaultdict(list)
        for generation in records.generations:
            self._generations[generation.request_id].append(generation)
        self._starts: dict[str, list[StartRecord]] = defaultdict(list)
        for start in records.starts:
            self._starts[start.request_id].append(start)
        # An engine may go back and serve a version a second time: the first time counts.
        self._activations: dict[tuple[str, int, int], ActivationRecord] = {}
        for one in sorted(records.activations, key=lambda record: record.activated_at):
            self._activations.setdefault((one.backend_id, one.incarnation, one.version), one)
        self._digests = {(one.model, one.version): one.digest for one in records.stored}

    def fault_of(self, produced: ProducedSpan, received_at: float) -> str | None:
        """Return why a part of a text was not made as it says, or None."""
        request_id, version, first_token, end_token = produced
        generations = self._generations.get(request_id, [])
        for generation in generations:
            if _covers(generation.spans, version, first_token, end_token):
                return self._activation_fault(
                    generation.backend_id, generation.incarnation, version, received_at
                )
        if generations:
            return f"engine's record of {request_id} has other spans: {generations[0].spans}"
        starts = self._starts.get(request_id, [])
        if not starts:
            return f"no engine began request {request_id}"
        # The engine died before it could record the end; its activations must bear it out.
        start = starts[0]
        return self._activation_fault(start.backend_id, start.incarnation, version, received_at)

    def _activation_fault(
        self, backend_id: str, incarnation: int, version: int, received_at: float
    ) -> str | None:
        """Return why an engine cannot have served a version, or None."""
        activation = self._activations.get((backend_id, incarnation, version))
        if activation is None:
            return f"{backend_id} never served version {version}"
        if activation.activated_at > received_at:
            return f"{backend_id} served version {version} only later"
        if self._digests.get((activation.model, version)) != activation.digest:
            return f"{backend_id} served a version {version} with another digest"
        return None


def _faults(sample: SampleRecord, evidence: _EngineEvidence) -> list[str]:
    """Return everything wrong with one sample's versions."""
    if not sample.produced:
        return ["its text names no origin"]
    faults = []
    proven: list[Span] = []
    position = 0
    for produced in sample.produced:
        fault = evidence.fault_of(produced, sample.received_at)
        if fault is not None:
            faults.append(fault)
        _, version, first_token, end_token = produced
        if first_token != position:
            faults.append(f"its text jumps from token {position} to {first_token}")
        position = end_token
        _extend(proven, (version, first_token, end_token))
    named = [tuple(span) for span in sample.weight_versions]
    if named != proven:
        faults.append(f"names {named}, its text proves {proven}")
    return faults


def _covers(spans: list[Span], version: int, first_token: int, end_token: int) -> bool:
    """Whether one recorded span holds these tokens under this version."""
    return any(
        span[0] == version and span[1] <= first_token and end_token <= span[2] for span in spans
    )


def _extend(spans: list[Span], span: Span) -> None:
    """Add a span, merged with the last one of the same version."""
    if spans and spans[-1][0] == span[0] and spans[-1][2] == span[1]:
        spans[-1] = (span[0], spans[-1][1], span[2])
    else:
        spans.append(span)
