"""Seeds that once broke a promise, and a few of the scenarios in which most coincides.

A later draw in a scenario changes what its seeds do; each cause has a test of its own as well.
"""

import pytest

from merlinstand_lab.simulator.runner import run_plan
from merlinstand_lab.simulator.scenario import all_scenarios

SEEDS = [
    # The configuration lease outlasted the few seconds of a leaving server.
    ("drain-at-cut", 1),
    ("drain-at-cut", 2),
    ("drain-at-cut", 4),
    # Overlapping slow disks were multiplied, and a sync outlasted the last heal by many seconds.
    ("torn-tail", 327),
    ("torn-tail", 684),
    # Two trainers publish: a batch that was late on its way arrived over its staleness bound.
    ("version-race", 7),
    # The injector kept two control replicas down for 30 s after they had stopped at once.
    ("planned-stop", 6),
    # An engine died after its last token; the one that resumed had nothing left to make.
    ("engine-crash-mid-stream", 40),
    ("leave-under-faults", 1),
    ("fleet-chaos", 1),
]


@pytest.mark.parametrize(("name", "seed"), SEEDS)
def test_a_seed_keeps_every_promise(name: str, seed: int) -> None:
    result = run_plan(all_scenarios()[name].plan(seed), seed)
    assert result.violations == []
