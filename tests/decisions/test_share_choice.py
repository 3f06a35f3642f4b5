"""Which server of a busy service gets a request: by published shares, and where there is room."""

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


def drawn(chooser: BackendChooser, load: ServiceLoad, tried: tuple[BackendId, ...] = ()) -> Counter:
    """Choose for many requests; give the share of each server in percent."""
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
            {"b0": 0.4, "b1": 0.4, "b2": 0.1, "b3": 0.1}, (40, 40, 10, 10), id="half are slow"
        ),
        pytest.param({"b0": 0.5, "b1": 0.5, "b2": 0.0}, (33, 33, 0, 33), id="one is new"),
        pytest.param({"b0": 0.0, "b1": 0.0, "b2": 0.0, "b3": 0.0}, (25,) * 4, id="no share at all"),
        pytest.param({}, (25,) * 4, id="nothing known of any"),
    ],
)
def test_servers_of_a_busy_service_get_their_shares(
    shares: dict[str, float], percent: tuple[int, ...]
) -> None:
    """Load: a crowd that fits; servers differ in speed, and one has just registered."""
    found = drawn(BackendChooser(), load_of(**shares))
    assert [found[b.backend_id] for b in BACKENDS] == pytest.approx(percent, abs=3)


def test_gateways_that_know_the_same_do_not_go_to_the_same_server() -> None:
    """Load: 48 gateways get the same summary, and a request each, at one moment."""
    counts: Counter[str] = Counter()
    for seed in range(48):
        chooser = BackendChooser()
        chooser.seed(seed)
        chosen = chooser.choose(BACKENDS, (), 1.0, load=load_of(b0=0.25, b1=0.25, b2=0.25, b3=0.25))
        assert chosen is not None
        counts[chosen.backend_id] += 1
    assert max(counts.values()) <= 24


def test_shares_do_not_go_before_what_this_gateway_saw() -> None:
    """Load: busy; of the two with large shares one has failed, and one turns requests away."""
    chooser = BackendChooser()
    chooser.evidence(BACKENDS[0].backend_id).record_failure(0.9)
    chooser.evidence(BACKENDS[1].backend_id).record_refusal(0.99)
    found = drawn(chooser, load_of(b0=0.45, b1=0.45, b2=0.05, b3=0.05))
    assert found[BACKENDS[0].backend_id] == found[BACKENDS[1].backend_id] == 0


def test_a_hedge_leaves_the_zone_of_the_silent_server() -> None:
    """Load: busy; a server of zone x is silent, and the other one there has the largest share."""
    chooser = BackendChooser()
    for _ in range(100):
        chosen = chooser.choose(
            BACKENDS, {BACKENDS[0].backend_id}, 1.0, BACKENDS[:1], load=load_of(b1=0.9, b2=0.1)
        )
        assert chosen is not None
        assert chosen.zone == "y"


@pytest.mark.parametrize("load", [None, load_of(b0=0.97, b1=0.01, b2=0.01, b3=0.01)])
def test_connections_are_spread_before_a_server_gets_too_many(load: ServiceLoad | None) -> None:
    """Load: eight requests at once at a gateway that may have two at each server."""
    chooser = BackendChooser()
    for _ in range(2 * len(BACKENDS)):
        chosen = chooser.choose(BACKENDS, (), 1.0, load=load, maximum_in_flight=2)
        assert chosen is not None
        chooser.record_send(chosen, 1.0)
    assert {chooser.evidence(b.backend_id).in_flight for b in BACKENDS} == {2}
    assert chooser.choose(BACKENDS, (), 1.0, load=load, maximum_in_flight=2) is not None
