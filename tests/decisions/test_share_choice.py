"""Backend selection in a busy service by published shares and remaining capacity."""

from collections import Counter

import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.common.ids import BackendId
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.server_load.reports import ServerShare, ServiceLoad

BACKENDS = tuple(
    Backend(backend_id=BackendId(f"b{n}"), service="shop", address=f"10.0.0.{n}:1", zone=zone)
    for n, zone in enumerate("xxyy")
)
REQUESTS = 4_000


def load_of(**shares: float) -> ServiceLoad:
    servers = (ServerShare(BackendId(name), share, 0.031) for name, share in shares.items())
    return ServiceLoad("shop", 0.9, tuple(servers))


def draw_percentages(
    chooser: BackendChooser, load: ServiceLoad, tried: tuple[BackendId, ...] = ()
) -> Counter:
    """Choose for many requests; return each backend's share in percent."""
    counts: Counter[str] = Counter()
    for _ in range(REQUESTS):
        chosen = chooser.choose(BACKENDS, tried, 1.0, load=load)
        assert chosen is not None
        counts[chosen.backend_id] += 1
    return Counter({name: round(100 * count / REQUESTS) for name, count in counts.items()})


@pytest.mark.parametrize(
    ("shares", "percent"),
    [
        pytest.param(
            {"b0": 0.4, "b1": 0.4, "b2": 0.1, "b3": 0.1}, (40, 40, 10, 10), id="two are slow"
        ),
        pytest.param({"b0": 0.5, "b1": 0.5, "b2": 0.0}, (33, 33, 0, 33), id="one without a share"),
        pytest.param({"b0": 0.0, "b1": 0.0, "b2": 0.0, "b3": 0.0}, (25,) * 4, id="all shares zero"),
        pytest.param({}, (25,) * 4, id="no shares published"),
    ],
)
def test_backends_of_a_busy_service_get_their_shares(
    shares: dict[str, float], percent: tuple[int, ...]
) -> None:
    """Backends differ in speed, and one has just registered."""
    found = draw_percentages(BackendChooser(), load_of(**shares))
    assert [found[b.backend_id] for b in BACKENDS] == pytest.approx(percent, abs=3)


def test_gateways_with_the_same_summary_choose_different_backends() -> None:
    """48 gateways get the same summary and one request each at the same moment."""
    counts: Counter[str] = Counter()
    for seed in range(48):
        chooser = BackendChooser()
        chooser.seed(seed)
        chosen = chooser.choose(BACKENDS, (), 1.0, load=load_of(b0=0.25, b1=0.25, b2=0.25, b3=0.25))
        assert chosen is not None
        counts[chosen.backend_id] += 1
    assert max(counts.values()) <= 24


def test_own_evidence_takes_precedence_over_shares() -> None:
    """Of the two backends with large shares one has failed and one has refused a request."""
    chooser = BackendChooser()
    chooser.evidence(BACKENDS[0].backend_id).record_failure(0.9)
    chooser.evidence(BACKENDS[1].backend_id).record_refusal(0.99)
    found = draw_percentages(chooser, load_of(b0=0.45, b1=0.45, b2=0.05, b3=0.05))
    assert found[BACKENDS[0].backend_id] == found[BACKENDS[1].backend_id] == 0


def test_a_hedge_avoids_the_zone_of_the_unresponsive_backend() -> None:
    """A backend of zone x is unresponsive; the other one there has the largest share."""
    chooser = BackendChooser()
    for _ in range(100):
        chosen = chooser.choose(
            BACKENDS, {BACKENDS[0].backend_id}, 1.0, BACKENDS[:1], load=load_of(b1=0.9, b2=0.1)
        )
        assert chosen is not None
        assert chosen.zone == "y"


@pytest.mark.parametrize("load", [None, load_of(b0=0.97, b1=0.01, b2=0.01, b3=0.01)])
def test_requests_spread_over_backends_up_to_the_maximum_in_flight(
    load: ServiceLoad | None,
) -> None:
    """Eight requests at once at a gateway that may have two at each backend."""
    chooser = BackendChooser()
    for _ in range(2 * len(BACKENDS)):
        chosen = chooser.choose(BACKENDS, (), 1.0, load=load, maximum_in_flight=2)
        assert chosen is not None
        chooser.record_send(chosen, 1.0)
    assert {chooser.evidence(b.backend_id).in_flight for b in BACKENDS} == {2}
    assert chooser.choose(BACKENDS, (), 1.0, load=load, maximum_in_flight=2) is not None
