"""Which back end a request goes to: few connections, none to one that is slow or fails."""

from collections.abc import Callable

import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId
from merlinstand.decisions.backend_evidence import CONNECTION_KEEP_ALIVE_SECONDS, BackendEvidence
from merlinstand.decisions.server_choice import BackendChooser

BACKENDS = tuple(
    Backend(backend_id=BackendId(f"b{number}"), service="s", address=f"10.0.0.{number}:1")
    for number in range(5)
)
REQUESTS = 40


def choose(chooser: BackendChooser, now: float) -> Backend:
    chosen = chooser.choose(BACKENDS, set(), now)
    assert chosen is not None
    return chosen


def answer(chooser: BackendChooser, backend: Backend, seconds: float, now: float) -> None:
    evidence = chooser.evidence(backend.backend_id)
    evidence.record_response(now)
    evidence.record_success()
    evidence.record_latency(seconds, now)


@pytest.mark.parametrize("seconds", [0.01, 0.03, 0.05], ids=lambda s: f"answers in {s:g} s")
@pytest.mark.parametrize("seed", range(5))
def test_requests_now_and_then_stay_with_one_back_end(seed: int, seconds: float) -> None:
    """vitrina-ro-large: 165 gateways with few requests each opened 1,400 connections a day."""
    chooser = BackendChooser()
    chooser.seed(seed)
    chosen = set()
    for step in range(REQUESTS):
        now = 2.5 * step
        backend = choose(chooser, now)
        chosen.add(backend.backend_id)
        answer(chooser, backend, seconds, now + seconds)
    assert len(chosen) == 1


def test_gateways_spread_over_all_back_ends() -> None:
    chosen = set()
    for seed in range(30):
        chooser = BackendChooser()
        chooser.seed(seed)
        chosen.add(choose(chooser, 0.0).backend_id)
    assert len(chosen) == len(BACKENDS)


def slow(evidence: BackendEvidence) -> None:
    evidence.record_latency(0.03 * 6, 1.0)


def failing(evidence: BackendEvidence) -> None:
    evidence.record_failure(1.0)


def busy(evidence: BackendEvidence) -> None:
    evidence.in_flight = 2


@pytest.mark.parametrize("becomes", [slow, failing, busy])
@pytest.mark.parametrize("seed", range(5))
def test_a_back_end_that_is_slow_fails_or_is_busy_is_left(
    becomes: Callable[[BackendEvidence], None], seed: int
) -> None:
    chooser = BackendChooser()
    chooser.seed(seed)
    first = choose(chooser, 0.0)
    answer(chooser, first, 0.03, 0.03)
    becomes(chooser.evidence(first.backend_id))
    assert choose(chooser, 1.0) is not first


def test_a_connection_that_rested_too_long_counts_no_more() -> None:
    chosen = set()
    for seed in range(30):
        chooser = BackendChooser()
        chooser.seed(seed)
        answer(chooser, BACKENDS[0], 0.03, 0.0)
        chosen.add(choose(chooser, CONNECTION_KEEP_ALIVE_SECONDS + 1.0).backend_id)
    assert len(chosen) > 1
