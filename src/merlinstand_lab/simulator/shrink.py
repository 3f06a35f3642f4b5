"""Finds a shorter schedule that still fails."""

from collections.abc import Callable

import msgspec

from merlinstand_lab.simulator.plan import Plan
from merlinstand_lab.simulator.runner import RunResult, run_plan

MAXIMUM_RUNS = 40
"""Runs; chosen, not measured."""

Execute = Callable[[Plan, int], RunResult]


class Shrunk(msgspec.Struct, frozen=True):
    """A failing plan from which no single fault can be taken away."""

    plan: Plan
    result: RunResult
    runs: int


def shrink(plan: Plan, seed: int, result: RunResult, execute: Execute = run_plan) -> Shrunk:
    """Remove faults while some checker that failed at first still fails.

    Args:
        plan: A plan that fails under the seed.
        seed: The seed.
        result: The result of that run.
        execute: Runs a plan.

    Returns:
        The shortest failing plan found within `MAXIMUM_RUNS` runs.
    """
    wanted = {violation.checker for violation in result.violations}
    runs = 0
    position = 0
    # Recovery is measured from the last heal: keep that time while faults are removed.
    duration = plan.duration_seconds()
    plan = msgspec.structs.replace(plan, minimum_duration_seconds=duration)
    while position < len(plan.faults) and runs < MAXIMUM_RUNS:
        faults = plan.faults[:position] + plan.faults[position + 1 :]
        smaller = msgspec.structs.replace(plan, faults=faults)
        attempt = execute(smaller, seed)
        runs += 1
        if any(violation.checker in wanted for violation in attempt.violations):
            plan, result = smaller, attempt
        else:
            position += 1
    return Shrunk(plan, result, runs)
