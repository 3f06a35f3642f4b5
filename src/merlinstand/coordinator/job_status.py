"""The status of a job for operators, and why it cannot run as configured."""

import msgspec

from merlinstand.configuration.objects import JobPhase, PoolKind
from merlinstand.coordinator.context import Context
from merlinstand.coordinator.engines import EnginePool
from merlinstand.coordinator.jobs import JobRunner


class JobStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One job in the response to `GET /v1/jobs`."""

    job: str
    phase: str
    mode: str
    epoch: int
    newest_version: int
    ready_samples: int
    generating: int
    needed_tokens_per_second: float | None = None
    """Rate that would keep all its trainers busy; null before the first measured step."""
    capacity_tokens_per_second: float = 0.0
    """Rate of the job's share of the serving engines."""
    problem: str = ""
    """Code of the reason why the job's demand cannot be met; empty if it can."""
    detail: str = ""


class JobsResponse(msgspec.Struct, frozen=True):
    """Response to `GET /v1/jobs`."""

    jobs: tuple[JobStatus, ...]


class Problem(msgspec.Struct, frozen=True):
    """Why a job's demand cannot be met; the code is stable."""

    code: str
    detail: str


def find_problem(context: Context, runner: JobRunner, pool: EnginePool) -> Problem | None:
    """Return the first reason why a job's demand cannot be met; None if none is known."""
    job = runner.job
    if job.phase is not JobPhase.RUNNING:
        return None
    if pool.pool.kind is not PoolKind.ENGINE or pool.pool.model != job.model:
        return Problem("wrong_pool", f"pool {job.pool} does not serve model {job.model}")
    weights = context.view.weights.get(job.model)
    if weights is None or not weights.versions:
        return Problem("no_weights", f"no version of {job.model} was published")
    if not job.prompts and not job.prompt_source:
        return Problem("no_prompts", "the job has neither prompts nor a prompt source")
    if not any(pool.serves(engine, weights, context.now) for engine in pool.engines.values()):
        return Problem("no_engines", f"no engine of {job.pool} serves published weights")
    return _find_shortage(runner, pool)


def _find_shortage(runner: JobRunner, pool: EnginePool) -> Problem | None:
    """Check whether samples are too long for the staleness bound or capacity is too low."""
    cycle_seconds = runner.shortest_cycle_seconds()
    if cycle_seconds is None:
        return None
    allowed = runner.terms().bound.maximum_versions + 1
    typical = runner.typical_sample_seconds()
    if typical > allowed * cycle_seconds:
        return Problem(
            "samples_too_long",
            f"half of the samples take {typical:.1f} s, weights change every {cycle_seconds:.1f} s",
        )
    needed = runner.needed_tokens_per_second()
    capacity = runner.capacity_tokens_per_second()
    if needed is not None and needed > capacity:
        return Problem(
            "too_little_capacity",
            f"trainers need {needed:.0f} tokens/s, the job's share of {pool.pool.name} makes"
            f" {capacity:.0f}: they wait",
        )
    return None


def describe(context: Context, runner: JobRunner, pool: EnginePool) -> JobStatus:
    """Return a job's status and its first problem."""
    problem = find_problem(context, runner, pool)
    return JobStatus(
        job=runner.job.name,
        phase=runner.job.phase.value,
        mode=runner.job.mode.value,
        epoch=runner.epoch,
        newest_version=context.version_clock(runner.job.model).newest,
        ready_samples=runner.ready_count(),
        generating=len(runner.generations),
        needed_tokens_per_second=runner.needed_tokens_per_second(),
        capacity_tokens_per_second=runner.capacity_tokens_per_second(),
        problem=problem.code if problem else "",
        detail=problem.detail if problem else "",
    )
