"""Helpers that stand in for heavy modules of the standard library give the same as those."""

import hashlib
import statistics

import pytest

from merlinstand.common.digest import sha256
from merlinstand.common.median import median
from merlinstand.common.system_random import random_bits


@pytest.mark.parametrize(
    "values",
    [
        pytest.param([3.0], id="one"),
        pytest.param([4.0, 1.0], id="two"),
        pytest.param([9.0, -1.0, 5.0], id="odd"),
        pytest.param([2.0, 2.0, 8.0, 1.0], id="even"),
    ],
)
def test_the_median_is_that_of_statistics(values: list[float]) -> None:
    assert median(values) == statistics.median(values)


@pytest.mark.parametrize("data", [b"", b"key", b"x" * 1_000])
def test_the_digest_is_that_of_hashlib(data: bytes) -> None:
    assert sha256(data).digest() == hashlib.sha256(data).digest()


@pytest.mark.parametrize("count", [1, 62, 64])
def test_random_bits_fit_and_differ(count: int) -> None:
    drawn = {random_bits(count) for _ in range(100)}
    assert len(drawn) > 1
    assert all(0 <= number < 2**count for number in drawn)
