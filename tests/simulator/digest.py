"""Prints the trace digest of one run; a test calls it under different hash seeds."""

import sys

import msgspec

from merlinstand_lab.simulator.runner import run_plan
from merlinstand_lab.simulator.scenario import all_scenarios
from merlinstand_lab.simulator.trace import TraceLevel


def digest(name: str, seed: int) -> str:
    """Run one seed of a scenario, without judging liveness on a shortened run."""
    plan = all_scenarios()[name].plan(seed)
    plan = msgspec.structs.replace(plan, recovery_seconds=2.0)
    return run_plan(plan, seed, TraceLevel.DIGEST).digest


if __name__ == "__main__":
    print(digest(sys.argv[1], int(sys.argv[2])))
