"""Lightweight replacements of standard library functions return the same results."""

import hashlib
import statistics

import pytest

from merlinstand.common.digest import sha256
from merlinstand.common.median import median
from merlinstand.common.system_random import random_bits


@pytest.mark.parametrize(
    "values",
    [
        pytest.param([3.0], id="one value"),
        pytest.param([4.0, 1.0], id="two values"),
        pytest.param([9.0, -1.0, 5.0], id="odd count"),
        pytest.param([2.0, 2.0, 8.0, 1.0], id="even count"),
    ],
)
def test_median_equals_statistics_median(values: list[float]) -> None:
    assert median(values) == statistics.median(values)


@pytest.mark.parametrize("data", [b"", b"key", b"x" * 1_000])
def test_digest_equals_hashlib_sha256(data: bytes) -> None:
    assert sha256(data).digest() == hashlib.sha256(data).digest()


@pytest.mark.parametrize("count", [1, 62, 64])
def test_random_bits_are_in_range_and_vary(count: int) -> None:
    drawn = {random_bits(count) for _ in range(100)}
    assert len(drawn) > 1
    assert all(0 <= number < 2**count for number in drawn)
