"""Runs every variant under every seed, in several processes."""

import multiprocessing
from collections import Counter
from collections.abc import Iterator

import msgspec

from merlinstand_lab.experiments.measures import measure, staleness_counts
from merlinstand_lab.experiments.plans import DEPLOYMENTS, make_plan
from merlinstand_lab.experiments.results import ExperimentResult, RunOutcome
from merlinstand_lab.experiments.settings import Experiment, Variant
from merlinstand_lab.simulator.runner import Run

MAXIMUM_EXAMPLES = 5
"""Violations of a run that are kept with their detail."""


class Task(msgspec.Struct, frozen=True):
    """One run to make."""

    experiment: Experiment
    variant: Variant
    seed: int


def run_task(task: Task) -> RunOutcome:
    """Make one run and measure it."""
    workload = task.experiment.workload_of(task.variant)
    plan = make_plan(workload, task.variant, task.seed)
    run = Run(plan, task.seed)
    result = run.execute()
    records = run.record_set(plan.duration_seconds())
    engines = DEPLOYMENTS[workload.deployment].engines
    return RunOutcome(
        variant=task.variant.name,
        seed=task.seed,
        measures=measure(records, workload.engine, engines),
        violations=dict(Counter(violation.checker for violation in result.violations)),
        real_seconds=result.real_seconds,
        examples=tuple(
            f"{violation.checker}: {violation.detail}"
            for violation in result.violations[:MAXIMUM_EXAMPLES]
        ),
        staleness=staleness_counts(records),
    )


def run_experiment(experiment: Experiment, jobs: int) -> Iterator[RunOutcome]:
    """Make every run of an experiment; seeds are the outer loop, so that pairs end together."""
    seeds = range(experiment.first_seed, experiment.first_seed + experiment.seeds)
    tasks = [Task(experiment, variant, seed) for seed in seeds for variant in experiment.variants]
    if jobs <= 1:
        yield from map(run_task, tasks)
        return
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        yield from pool.imap(run_task, tasks)


def collect(experiment: Experiment, outcomes: list[RunOutcome]) -> ExperimentResult:
    """Put outcomes together."""
    return ExperimentResult(experiment=experiment, outcomes=tuple(outcomes))
