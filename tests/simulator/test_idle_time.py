"""Trainers wait less than under the teams' own scripts, and receive no sample twice."""

from collections.abc import Iterator

import pytest

from merlinstand_lab.records.record_set import RecordSet
from merlinstand_lab.simulator.deployment import FleetPlan, Parts, Scheduler
from merlinstand_lab.simulator.plan import Plan
from merlinstand_lab.simulator.runner import Run

SEEDS = (1, 2)
DURATION_SECONDS = 40.0
RECOVERY_SECONDS = 43.0


def run_calm(scheduler: Scheduler, seed: int) -> RecordSet:
    fleet = FleetPlan(
        parts=Parts.WHOLE,
        standbys=1,
        scheduler=scheduler,
        lookups_per_second=1.0,
        bookings_per_second=0.2,
        completions_per_second=0.05,
        batch_size=8,
        maximum_tokens=200,
    )
    plan = Plan(
        fleet=fleet,
        recovery_seconds=RECOVERY_SECONDS,
        minimum_duration_seconds=DURATION_SECONDS,
    )
    run = Run(plan, seed)
    run.execute()
    return run.record_set(plan.duration_seconds())


def idle_share(records: RecordSet) -> float:
    waited = sum(step.received_at - step.asked_at for step in records.steps)
    return waited / (records.steps[-1].received_at - records.steps[0].asked_at)


def ages_in_versions(records: RecordSet) -> Iterator[int]:
    for sample in records.samples:
        stored = [one.version for one in records.stored if one.published_at <= sample.received_at]
        yield max(stored, default=0) - min(span[0] for span in sample.weight_versions)


@pytest.fixture(scope="module")
def runs() -> dict[Scheduler, list[RecordSet]]:
    schedulers = (Scheduler.SCRIPTS, Scheduler.MERLINSTAND)
    return {one: [run_calm(one, seed) for seed in SEEDS] for one in schedulers}


@pytest.mark.parametrize("scheduler", [Scheduler.SCRIPTS, Scheduler.MERLINSTAND])
def test_both_schedulers_feed_the_trainer_without_doubling(
    runs: dict[Scheduler, list[RecordSet]], scheduler: Scheduler
) -> None:
    for records in runs[scheduler]:
        assert len(records.steps) >= 3
        names = [sample.sample_id for sample in records.samples]
        assert len(names) == len(set(names))


def test_trainers_wait_less_than_under_scripts(runs: dict[Scheduler, list[RecordSet]]) -> None:
    pairs = zip(runs[Scheduler.MERLINSTAND], runs[Scheduler.SCRIPTS], strict=True)
    assert all(idle_share(ours) < idle_share(scripts) for ours, scripts in pairs)


def test_the_synchronous_scripts_are_never_stale(runs: dict[Scheduler, list[RecordSet]]) -> None:
    assert {age for records in runs[Scheduler.SCRIPTS] for age in ages_in_versions(records)} == {0}
