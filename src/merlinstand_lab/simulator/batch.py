"""Runs many seeds of many scenarios, in several processes."""

import multiprocessing
from collections.abc import Iterator

import msgspec

from merlinstand_lab.simulator.observers import Violation
from merlinstand_lab.simulator.runner import run_plan
from merlinstand_lab.simulator.scenario import all_scenarios


class SeedResult(msgspec.Struct, frozen=True, kw_only=True):
    """One seed of one scenario."""

    scenario: str
    seed: int
    violations: list[Violation]
    checked: dict[str, int]
    virtual_seconds: float
    real_seconds: float
    events: int


def run_seed(task: tuple[str, int]) -> SeedResult:
    """Run one seed of one scenario."""
    name, seed = task
    result = run_plan(all_scenarios()[name].plan(seed), seed)
    return SeedResult(
        scenario=name,
        seed=seed,
        violations=result.violations,
        checked=result.checked,
        virtual_seconds=result.virtual_seconds,
        real_seconds=result.real_seconds,
        events=result.events,
    )


def run_batch(names: list[str], seeds: range, jobs: int) -> Iterator[SeedResult]:
    """Run every seed of every scenario, in order of scenario and seed."""
    tasks = [(name, seed) for name in names for seed in seeds]
    if jobs <= 1:
        yield from map(run_seed, tasks)
        return
    context = multiprocessing.get_context("spawn")
    with context.Pool(jobs) as pool:
        yield from pool.imap(run_seed, tasks, chunksize=4)
