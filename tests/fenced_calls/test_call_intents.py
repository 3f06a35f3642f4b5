"""Model test: holders never alternate within a lease, whatever leaders succeed each other.

Leaders hold disjoint periods of time, as the consensus lease ensures. Each may make a call only
after its intent was recorded according to `CallIntents`; a call arrives within the margin after its
intent.
"""

import random

import pytest

from merlinstand.fenced_calls.call_intents import MAXIMUM_SUBJECTS, CallIntents
from merlinstand.fenced_calls.caller import LEASE_MARGIN_SECONDS

LEASE = 3.0
SEEDS = 1_000


def arrivals(seed: int, lease_seconds: float) -> list[tuple[str, float]]:
    """Return the holders and arrival times of calls in a minute of changing leaders."""
    generator = random.Random(seed)
    intents = CallIntents()
    now = 0.0
    seen: list[tuple[str, float]] = []
    while now < 60.0:
        holder = generator.choice(("a", "b", "c"))
        led_until = now + generator.uniform(0.1, 5.0)
        while now < led_until:
            if (
                intents.seconds_until_free("s", holder, now, lease_seconds) <= 0.0
                and generator.random() < 0.6
            ):
                intents.record("s", holder, now)
                # The next call of the same holder waits until this one is over.
                arrived = now + generator.uniform(0.0, LEASE_MARGIN_SECONDS)
                seen.append((holder, arrived))
                now = max(now, arrived)
            now += generator.uniform(0.05, 0.4)
    return seen


def alternated(seen: list[tuple[str, float]]) -> bool:
    ordered = sorted(seen, key=lambda call: call[1])
    runs: list[tuple[str, float, float]] = []
    for holder, at in ordered:
        if runs and runs[-1][0] == holder:
            runs[-1] = (holder, runs[-1][1], at)
        else:
            runs.append((holder, at, at))
    return any(
        first[0] == third[0] and third[1] - first[2] < LEASE
        for first, third in zip(runs, runs[2:], strict=False)
    )


def test_holders_do_not_alternate_within_a_lease() -> None:
    for seed in range(SEEDS):
        seen = arrivals(seed, LEASE + LEASE_MARGIN_SECONDS)
        assert len({holder for holder, _at in seen}) > 1
        assert not alternated(seen), seed


@pytest.mark.parametrize("lease_seconds", [0.0, 0.5, LEASE / 3])
def test_model_detects_a_lease_that_is_too_short(lease_seconds: float) -> None:
    assert any(alternated(arrivals(seed, lease_seconds)) for seed in range(200))


def test_stored_intents_are_bounded() -> None:
    intents = CallIntents()
    for number in range(MAXIMUM_SUBJECTS + 10):
        intents.record(f"s{number}", "a", float(number))
    assert len(intents.latest) == MAXIMUM_SUBJECTS
