"""The product decides what it decided when its decisions were last changed on purpose."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.pinned.decisions import SHORT_CASES, digests_of, pinned

ROOT = Path(__file__).parents[2]
HASH_SEED_CASE = "calm"


@pytest.mark.parametrize("name", SHORT_CASES)
def test_decisions_are_the_pinned_ones(name: str) -> None:
    assert digests_of(name) == pinned()[name]


@pytest.mark.parametrize("hash_seed", ["1", "4242"])
def test_decisions_do_not_depend_on_the_hash_seed(hash_seed: str) -> None:
    program = (
        f"from tests.pinned.decisions import digests_of; print(digests_of({HASH_SEED_CASE!r}))"
    )
    paths = os.pathsep.join(["platform", os.environ.get("PYTHONPATH", "")])
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed, "PYTHONPATH": paths}
    finished = subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        env=environment,
        capture_output=True,
        text=True,
        check=True,
    )
    assert finished.stdout.strip() == str(pinned()[HASH_SEED_CASE])
