"""The same seed gives the same trace, byte for byte, also under other hash seeds."""

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

from merlinstand_lab.simulator.runner import run_plan
from merlinstand_lab.simulator.scenario import all_scenarios
from merlinstand_lab.simulator.trace import TraceLevel
from tests.simulator.digest import digest

ROOT = Path(__file__).parents[2]
CASES = [("everything-at-once", 3), ("control-chaos", 5), ("config-in-force", 2)]


def digest_in_process(name: str, seed: int, hash_seed: str) -> str:
    command = [sys.executable, "-m", "tests.simulator.digest", name, str(seed)]
    environment = {**os.environ, "PYTHONHASHSEED": hash_seed}
    finished = subprocess.run(
        command, cwd=ROOT, env=environment, capture_output=True, text=True, check=True
    )
    return finished.stdout.strip()


@pytest.mark.parametrize(("name", "seed"), CASES)
def test_same_trace_under_other_hash_seeds(name: str, seed: int) -> None:
    digests = {digest_in_process(name, seed, hash_seed) for hash_seed in ("0", "1", "4242")}
    assert len(digests) == 1


def test_another_seed_gives_another_trace() -> None:
    assert digest("control-chaos", 5) != digest("control-chaos", 6)


def normalized_lines(name: str, seed: int, encode_messages: bool) -> list[str]:
    plan = all_scenarios()[name].plan(seed)
    lines = run_plan(plan, seed, TraceLevel.TEXT, encode_messages).lines
    # The codec gives an enumeration back as its integer.
    return [re.sub(r"<\w+\.\w+: (\d+)>", r"\1", line) for line in lines]


@pytest.mark.parametrize(("name", "seed"), CASES[1:])
def test_the_wire_codec_changes_nothing(name: str, seed: int) -> None:
    assert normalized_lines(name, seed, False) == normalized_lines(name, seed, True)
