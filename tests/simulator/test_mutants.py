"""Every checker reports the mutant of its guard; without the mutant the seed passes."""

import pytest

from merlinstand_lab.simulator.runner import run_plan
from merlinstand_lab.simulator.scenario import all_scenarios
from tests.simulator.mutants import MUTANTS, Mutant, find_seed

WINDOW = 12
"""Seeds tried from the recorded one on: changes of timing move the catching seed."""


@pytest.mark.parametrize("mutant", MUTANTS, ids=[mutant.name for mutant in MUTANTS])
def test_a_mutant_is_reported(mutant: Mutant) -> None:
    found = find_seed(mutant, range(mutant.seed, mutant.seed + WINDOW))
    assert found is not None, f"{mutant.checker} did not notice that {mutant.guard} is gone"
    result = run_plan(all_scenarios()[mutant.scenario].plan(found), found)
    assert not result.violations, "the unchanged product must pass the same seed"
