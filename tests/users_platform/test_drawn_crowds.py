"""Some seeds of drawn mixtures of clients; see `drawn_crowds`."""

from pathlib import Path

import pytest

from tests.users_platform.drawn_crowds import DrawnCrowds


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_drawn_crowds(tmp_path: Path, crowd_lock: None, seed: int) -> None:
    assert DrawnCrowds(seed, tmp_path).run() == []
