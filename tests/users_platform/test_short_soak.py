"""Short runs of the fault soak with the real programs."""

import pytest

from tests.users_platform.soak import run_seed

STEPS = 3
FAULT_SECONDS = 10.0


@pytest.mark.parametrize("seed", [1202001, 1202002])
def test_short_soak_has_no_violations(seed: int) -> None:
    found, summary = run_seed(seed, STEPS, FAULT_SECONDS)
    assert found == [], summary
