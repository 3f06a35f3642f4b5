"""The terms that apply to a job at one moment: configuration, policy, lease and staleness bound."""

from collections.abc import Iterable

import msgspec
from result import Err

from merlinstand.configuration.objects import Job, JobPhase
from merlinstand.coordinator.context import Context
from merlinstand.coordinator.samples import Sample
from merlinstand.coordinator.staleness import StalenessBound, VersionClock
from merlinstand.policy.program import CompiledPolicy
from merlinstand.policy.records import RequestRecord, SampleRecord

LONGEST_AGE_SECONDS = 1e9
"""Largest age passed to policy programs, also for an unknown age: they get finite numbers only."""

NEUTRAL_WEIGHT = 1.0
"""Weight of a sample (no unit) if the policy's weight program fails."""

NEUTRAL_PRIORITY = 0
"""Priority of a generation (no unit) if the policy's priority program fails."""


def has_sole_consumer(job: Job, jobs: Iterable[Job]) -> bool:
    """Return whether one trainer alone receives the samples of a job's model, across all jobs.

    That trainer cannot publish while it waits for a batch, so no version is published then.
    """
    trainers = len(job.consumers)
    for other in jobs:
        if other.name != job.name and other.model == job.model:
            trainers += len(other.consumers) if other.phase is not JobPhase.CANCELLED else 0
    return trainers == 1


class JobTerms(msgspec.Struct, frozen=True):
    """A job's configuration, its accepted policy, its lease and its model's versions."""

    job: Job
    policy: CompiledPolicy
    epoch: int
    clock: VersionClock
    bound: StalenessBound

    @property
    def unit_size(self) -> int:
        """Samples delivered together: all of a prompt if that divides the batch size, else 1."""
        per_prompt = max(1, self.job.samples_per_prompt)
        return per_prompt if self.job.batch_size % per_prompt == 0 else 1

    @property
    def sole_consumer(self) -> bool:
        """Whether one trainer alone receives the samples of the job's model."""
        return self.bound.sole_consumer

    def allows(
        self, context: Context, oldest_version: int, newest: int, *, at_bound: bool = False
    ) -> bool:
        """Return whether a sample is fresh enough to be committed at version `newest`."""
        age_seconds = self.clock.age_seconds(oldest_version, context.now)
        return self.bound.allows(oldest_version, newest, age_seconds, at_bound=at_bound)

    def weight(self, context: Context, sample: Sample, newest: int) -> float:
        """Run the policy's weight program; returns `NEUTRAL_WEIGHT` if it fails.

        A failure drops no samples, since a typing error could then starve the trainer. It does not
        affect the staleness bound, which is not a program.
        """
        record = SampleRecord(
            prompt_id=sample.prompt_index,
            attempt=sample.attempt,
            prompt=sample.prompt,
            text=sample.text,
            token_count=sample.token_count,
            finish_reason=sample.finish_reason,
            has_score=sample.score is not None,
            score=sample.score if sample.score is not None else 0.0,
            oldest_version=sample.oldest_version,
            newest_version=newest,
            age_versions=max(0, newest - sample.oldest_version),
            age_seconds=self._age_seconds(context, sample),
            version_count=sample.version_count,
        )
        outcome = self.policy.weight(record)
        if isinstance(outcome, Err):
            self._count_failure(context, outcome.err_value.field, outcome.err_value.detail)
            return NEUTRAL_WEIGHT
        return outcome.ok_value

    def priority(self, context: Context, record: RequestRecord) -> int:
        """Run the policy's priority program; returns `NEUTRAL_PRIORITY` if it fails."""
        outcome = self.policy.priority(record)
        if isinstance(outcome, Err):
            self._count_failure(context, outcome.err_value.field, outcome.err_value.detail)
            return NEUTRAL_PRIORITY
        return outcome.ok_value

    def _age_seconds(self, context: Context, sample: Sample) -> float:
        return min(self.clock.age_seconds(sample.oldest_version, context.now), LONGEST_AGE_SECONDS)

    def _count_failure(self, context: Context, field: str, detail: str) -> None:
        context.count("policy_failures_total", job=self.job.name, field=field)
        context.log("policy.failed", "warning", job=self.job.name, field=field, detail=detail)
