"""What holds for a job at one moment."""

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
"""Age, in seconds, that policies see where it is not known: programs get finite numbers only."""

NEUTRAL_WEIGHT = 1.0
"""Weight of a sample, without unit, where the program of the job's policy fails."""

NEUTRAL_PRIORITY = 0
"""Priority of a generation, without unit, where the program of the job's policy fails."""


def has_sole_consumer(job: Job, jobs: Iterable[Job]) -> bool:
    """Tell whether one trainer alone receives what a job's model makes, over all jobs.

    That trainer cannot publish while it waits for a batch, so nobody does.
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
        """Samples that leave together: a prompt's, where they divide the batch."""
        per_prompt = max(1, self.job.samples_per_prompt)
        return per_prompt if self.job.batch_size % per_prompt == 0 else 1

    @property
    def sole_consumer(self) -> bool:
        """Whether one trainer alone receives batches made by the job's model."""
        return self.bound.sole_consumer

    def allows(
        self, context: Context, oldest_version: int, newest: int, *, at_bound: bool = False
    ) -> bool:
        """Tell whether a sample is fresh enough to be committed against `newest`."""
        age_seconds = self.clock.age_seconds(oldest_version, context.now)
        return self.bound.allows(oldest_version, newest, age_seconds, at_bound=at_bound)

    def weight(self, context: Context, sample: Sample, newest: int) -> float:
        """Run the policy's weight program; a failing program counts as `NEUTRAL_WEIGHT`.

        A failure neither drops samples (a typing slip would starve the trainer overnight)
        nor loosens the staleness bound, which is no program.
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
        """Run the policy's priority program; a failing one counts as `NEUTRAL_PRIORITY`."""
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
