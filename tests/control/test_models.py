"""Invariants of the state machine on random histories."""

import random
from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from tests.control import models

MODELS = (
    models.play_ledger,
    models.play_claims,
    models.play_leases,
    models.play_objects,
    models.play_replay,
)


@pytest.mark.parametrize("play", MODELS, ids=lambda play: play.__name__)
@settings(
    max_examples=60, deadline=None, derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)  # fmt: skip
@given(seed=st.integers(0, 2**32))
def test_random_histories_keep_the_invariants(
    play: Callable[[random.Random], None], seed: int
) -> None:
    play(random.Random(seed))
