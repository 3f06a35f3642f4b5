"""The bound on what reaches cold back ends holds in any order of faults, and mutants break it."""

from collections.abc import Callable
from typing import Any

import pytest

from merlinstand.cold_servers import follower as cold_budget
from merlinstand.cold_servers import leader as cold_feeding
from merlinstand.cold_servers.follower import ColdBackendBudget
from tests.cold_servers.cold_machine import EXAMPLES, play

MUTANT_EXAMPLES = 300


def test_no_order_of_faults_floods_a_cold_back_end() -> None:
    play(EXAMPLES)


class FullBucket(cold_feeding._Bucket):
    """A bucket that begins full."""

    def __post_init__(self) -> None:
        self.level = self.rate.burst


def begin_full(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(cold_feeding, "_Bucket", FullBucket)


def take_twice(patch: pytest.MonkeyPatch) -> None:
    """Grants that answer no pull of this process, or one for the second time."""
    sound = ColdBackendBudget.apply_grants

    def take(self: ColdBackendBudget, data: bytes, now: float) -> None:
        asked_at = cold_budget.decode_grants(data).pull_sent_at
        self._pending_pulls[asked_at] = None
        sound(self, data, now)
        self._pending_pulls.pop(asked_at, None)

    patch.setattr(ColdBackendBudget, "apply_grants", take)


def count_from_the_answer(patch: pytest.MonkeyPatch) -> None:
    """A grant that ends some time after its answer came, however late that was.

    That only few pulls wait for their answers hides it mostly.
    """
    patch.setattr(cold_budget, "MAXIMUM_PENDING_PULLS", 1_000)
    sound = ColdBackendBudget.apply_grants

    def take(self: ColdBackendBudget, data: bytes, now: float) -> None:
        asked_at = cold_budget.decode_grants(data).pull_sent_at
        patch.setattr(cold_budget, "GRANT_LIFETIME_SECONDS", now - asked_at + 0.3)
        sound(self, data, now)

    patch.setattr(ColdBackendBudget, "apply_grants", take)


def extend_by_pushes(patch: pytest.MonkeyPatch) -> None:
    """Whatever comes counts, from when it comes."""
    count_from_the_answer(patch)
    take_twice(patch)


def never_end(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(cold_budget, "GRANT_LIFETIME_SECONDS", 3_600.0)


def forget_sends(patch: pytest.MonkeyPatch) -> None:
    """Every second send isn't counted."""
    sound = ColdBackendBudget.record_send
    count = [0]

    def note_sent(self: ColdBackendBudget, *args: Any) -> None:
        count[0] += 1
        if count[0] % 2:
            sound(self, *args)

    patch.setattr(ColdBackendBudget, "record_send", note_sent)


def fill_without_end(patch: pytest.MonkeyPatch) -> None:
    """A bucket that fills up while nobody sends."""

    def fill(self: cold_feeding._Bucket, now: float) -> None:
        self.level += (now - self.filled_at) * self.rate.per_second
        self.filled_at = now

    patch.setattr(cold_feeding._Bucket, "fill", fill)


@pytest.mark.parametrize(
    "mutate",
    [
        begin_full,
        take_twice,
        count_from_the_answer,
        extend_by_pushes,
        never_end,
        forget_sends,
        fill_without_end,
    ],
)
def test_a_mutant_is_found(
    mutate: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        play(MUTANT_EXAMPLES, shrinks=False)
