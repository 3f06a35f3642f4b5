"""The bound on sends to cold backends holds under any order of faults, and mutants violate it."""

from collections.abc import Callable
from typing import Any

import pytest

from merlinstand.cold_servers import follower as cold_follower
from merlinstand.cold_servers import leader as cold_leader
from merlinstand.cold_servers.follower import ColdBackendBudget
from tests.cold_servers.cold_machine import EXAMPLES, play

MUTANT_EXAMPLES = 300


def test_bound_holds_under_any_order_of_faults() -> None:
    play(EXAMPLES)


class FullBucket(cold_leader._Bucket):
    """A bucket that starts full."""

    def __post_init__(self) -> None:
        self.level = self.rate.burst


def start_with_full_bucket(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(cold_leader, "_Bucket", FullBucket)


def apply_grants_twice(patch: pytest.MonkeyPatch) -> None:
    """Accept grants for unknown pulls, or for the same pull twice."""
    original = ColdBackendBudget.apply_grants

    def apply(self: ColdBackendBudget, data: bytes, now: float) -> None:
        pull_sent_at = cold_follower.decode_grants(data).pull_sent_at
        self._pending_pulls[pull_sent_at] = None
        original(self, data, now)
        self._pending_pulls.pop(pull_sent_at, None)

    patch.setattr(ColdBackendBudget, "apply_grants", apply)


def start_lifetime_at_the_response(patch: pytest.MonkeyPatch) -> None:
    """Let grants expire some time after the response, however late it arrives.

    Raises the limit on pending pulls, which would mostly hide the fault.
    """
    patch.setattr(cold_follower, "MAXIMUM_PENDING_PULLS", 1_000)
    original = ColdBackendBudget.apply_grants

    def apply(self: ColdBackendBudget, data: bytes, now: float) -> None:
        pull_sent_at = cold_follower.decode_grants(data).pull_sent_at
        patch.setattr(cold_follower, "GRANT_LIFETIME_SECONDS", now - pull_sent_at + 0.3)
        original(self, data, now)

    patch.setattr(ColdBackendBudget, "apply_grants", apply)


def extend_lifetime_by_pushes(patch: pytest.MonkeyPatch) -> None:
    """Accept every response, with a lifetime from its arrival."""
    start_lifetime_at_the_response(patch)
    apply_grants_twice(patch)


def never_expire(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(cold_follower, "GRANT_LIFETIME_SECONDS", 3_600.0)


def skip_sends(patch: pytest.MonkeyPatch) -> None:
    """Don't count every second send."""
    original = ColdBackendBudget.record_send
    count = [0]

    def record_send(self: ColdBackendBudget, *args: Any) -> None:
        count[0] += 1
        if count[0] % 2:
            original(self, *args)

    patch.setattr(ColdBackendBudget, "record_send", record_send)


def fill_beyond_capacity(patch: pytest.MonkeyPatch) -> None:
    """Fill a bucket without limit while nothing is sent."""

    def fill(self: cold_leader._Bucket, now: float) -> None:
        self.level += (now - self.filled_at) * self.rate.per_second
        self.filled_at = now

    patch.setattr(cold_leader._Bucket, "fill", fill)


@pytest.mark.parametrize(
    "mutate",
    [
        start_with_full_bucket,
        apply_grants_twice,
        start_lifetime_at_the_response,
        extend_lifetime_by_pushes,
        never_expire,
        skip_sends,
        fill_beyond_capacity,
    ],
)
def test_mutant_breaks_the_bound(
    mutate: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    mutate(monkeypatch)
    with pytest.raises(AssertionError):
        play(MUTANT_EXAMPLES, shrinks=False)
