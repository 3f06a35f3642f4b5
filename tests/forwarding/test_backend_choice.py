"""Which backend a request goes to: connections are reused, slow or failing backends avoided."""

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


def record_response(chooser: BackendChooser, backend: Backend, seconds: float, now: float) -> None:
    evidence = chooser.evidence(backend.backend_id)
    evidence.record_response(now)
    evidence.record_success()
    evidence.record_latency(seconds, now)


@pytest.mark.parametrize("seconds", [0.01, 0.03, 0.05], ids=lambda s: f"responds in {s:g} s")
@pytest.mark.parametrize("seed", range(5))
def test_infrequent_requests_stay_with_one_backend(seed: int, seconds: float) -> None:
    """Many gateways with few requests each must not open connections to all backends."""
    chooser = BackendChooser()
    chooser.seed(seed)
    chosen = set()
    for step in range(REQUESTS):
        now = 2.5 * step
        backend = choose(chooser, now)
        chosen.add(backend.backend_id)
        record_response(chooser, backend, seconds, now + seconds)
    assert len(chosen) == 1


def test_gateways_spread_over_all_backends() -> None:
    chosen = set()
    for seed in range(30):
        chooser = BackendChooser()
        chooser.seed(seed)
        chosen.add(choose(chooser, 0.0).backend_id)
    assert len(chosen) == len(BACKENDS)


def make_slow(evidence: BackendEvidence) -> None:
    evidence.record_latency(0.03 * 6, 1.0)


def make_failing(evidence: BackendEvidence) -> None:
    evidence.record_failure(1.0)


def make_busy(evidence: BackendEvidence) -> None:
    evidence.in_flight = 2


@pytest.mark.parametrize("make_worse", [make_slow, make_failing, make_busy])
@pytest.mark.parametrize("seed", range(5))
def test_a_slow_failing_or_busy_backend_is_avoided(
    make_worse: Callable[[BackendEvidence], None], seed: int
) -> None:
    chooser = BackendChooser()
    chooser.seed(seed)
    first = choose(chooser, 0.0)
    record_response(chooser, first, 0.03, 0.03)
    make_worse(chooser.evidence(first.backend_id))
    assert choose(chooser, 1.0) is not first


def test_an_expired_idle_connection_is_not_preferred() -> None:
    chosen = set()
    for seed in range(30):
        chooser = BackendChooser()
        chooser.seed(seed)
        record_response(chooser, BACKENDS[0], 0.03, 0.0)
        chosen.add(choose(chooser, CONNECTION_KEEP_ALIVE_SECONDS + 1.0).backend_id)
    assert len(chosen) > 1
