"""The choice of a backend by distance, load and timeouts."""

from collections.abc import Callable

import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.ids import BackendId
from merlinstand.decisions.backend_evidence import BackendEvidence
from merlinstand.decisions.distance import Distance, ProcessLocation
from merlinstand.decisions.server_choice import BackendChooser

ZONE_MAP = ZoneMap({"a1": "a", "a2": "a", "a3": "a", "b1": "b"})


def backend(name: str, zone: str) -> Backend:
    return Backend(backend_id=BackendId(name), service="s", address=f"{name}:1", zone=zone)


NEAR = backend("near", "a1")
OTHER_ZONE = backend("other-zone", "a2")
THIRD_ZONE = backend("third-zone", "a3")
OTHER_REGION = backend("other-region", "b1")
ALL = (OTHER_REGION, THIRD_ZONE, OTHER_ZONE, NEAR)
SEEDS = range(20)


def make_chooser(seed: int, is_out_of_touch: bool = False) -> BackendChooser:
    chooser = BackendChooser(ProcessLocation("a1", ZONE_MAP), lambda _now: is_out_of_touch)
    chooser.seed(seed)
    return chooser


@pytest.mark.parametrize(
    ("own_zone", "other_zone", "expected"),
    [
        pytest.param("a1", "a1", Distance.OWN_ZONE, id="the same zone"),
        pytest.param("a1", "a2", Distance.OWN_REGION, id="another zone of the region"),
        pytest.param("a1", "b1", Distance.OTHER_REGION, id="another region"),
        pytest.param("a1", "", Distance.OWN_ZONE, id="a backend without a zone"),
        pytest.param("", "b1", Distance.OWN_ZONE, id="a process without a zone"),
    ],
)
def test_distance(own_zone: str, other_zone: str, expected: Distance) -> None:
    assert ProcessLocation(own_zone, ZONE_MAP).distance_to(other_zone) is expected


def test_zones_without_regions_count_as_one_region() -> None:
    assert ProcessLocation("x", ZoneMap()).distance_to("y") is Distance.OWN_REGION


@pytest.mark.parametrize(
    ("candidates", "expected"),
    [
        pytest.param(ALL, {"near"}, id="own zone first"),
        pytest.param(ALL[:3], {"other-zone", "third-zone"}, id="then the own region"),
        pytest.param(ALL[:1], {"other-region"}, id="then another region"),
    ],
)
def test_without_other_evidence_the_nearest_backend_is_chosen(
    candidates: tuple[Backend, ...], expected: set[str]
) -> None:
    chosen = [make_chooser(seed).choose(candidates, set(), 0.0) for seed in SEEDS]
    assert {backend.backend_id for backend in chosen if backend} == expected


def make_busy(evidence: BackendEvidence) -> None:
    evidence.in_flight = 3


def make_slow(evidence: BackendEvidence) -> None:
    evidence.record_latency(0.03 * 6, 1.0)


def make_failing(evidence: BackendEvidence) -> None:
    evidence.record_failure(1.0)


@pytest.mark.parametrize("make_worse", [make_busy, make_slow, make_failing])
def test_a_remote_backend_is_chosen_over_a_busy_slow_or_failing_near_one(
    make_worse: Callable[[BackendEvidence], None],
) -> None:
    for seed in SEEDS:
        chooser = make_chooser(seed)
        chooser.choose((NEAR, OTHER_ZONE), set(), 0.0)
        chooser.record_response(NEAR, 0.5)
        make_worse(chooser.evidence(NEAR.backend_id))
        assert chooser.choose((NEAR, OTHER_ZONE), set(), 1.0) is OTHER_ZONE


def test_an_open_connection_to_another_zone_outweighs_the_distance() -> None:
    for seed in SEEDS:
        chooser = make_chooser(seed)
        chooser.record_response(OTHER_ZONE, 0.0)
        assert chooser.choose((NEAR, OTHER_ZONE), set(), 1.0) is OTHER_ZONE


def test_another_region_is_chosen_only_after_fast_responses() -> None:
    """The latency of a remote backend is assumed until responses provide evidence."""
    chooser = make_chooser(0)
    assert chooser.choose((OTHER_REGION, OTHER_ZONE), set(), 0.0) is OTHER_ZONE
    assert chooser.evidence(OTHER_REGION.backend_id).latency(0.0) > 0.06
    for _ in range(20):
        chooser.evidence(OTHER_REGION.backend_id).record_latency(0.01, 0.0)
    chooser.record_response(OTHER_REGION, 0.0)
    assert chooser.choose((OTHER_REGION, OTHER_ZONE), set(), 0.0) is OTHER_REGION


@pytest.mark.parametrize(
    "unresponsive",
    [
        pytest.param((OTHER_ZONE,), id="a backend in another zone is unresponsive"),
        pytest.param((OTHER_REGION,), id="a backend in another region is unresponsive"),
    ],
)
def test_after_a_remote_timeout_the_next_attempt_goes_near(
    unresponsive: tuple[Backend, ...],
) -> None:
    """When a zone is cut off, both attempts of a lookup must not go to backends of other zones."""
    for seed in SEEDS:
        chooser = make_chooser(seed)
        chooser.record_response(THIRD_ZONE, 0.0)
        tried = {backend.backend_id for backend in unresponsive}
        assert chooser.choose(ALL, tried, 1.0, unresponsive) is NEAR


def test_a_gateway_without_control_leader_stays_in_its_zone() -> None:
    for seed in SEEDS:
        chooser = make_chooser(seed, is_out_of_touch=True)
        chooser.record_response(OTHER_ZONE, 0.0)
        assert chooser.choose(ALL, set(), 1.0) is NEAR


def test_a_gateway_without_control_leader_still_avoids_a_failing_backend() -> None:
    chooser = make_chooser(0, is_out_of_touch=True)
    chooser.evidence(NEAR.backend_id).record_failure(0.0)
    assert chooser.choose((NEAR, OTHER_ZONE), set(), 0.1) is OTHER_ZONE


ZONE_BACKENDS = (backend("c", "a2"), backend("d", "a2"), backend("e", "a2"), OTHER_REGION)


@pytest.mark.parametrize(
    ("timeouts", "responses", "now", "expected"),
    [
        pytest.param(
            ZONE_BACKENDS[:1], (), 0.1, "a2", id="one unresponsive backend is weak evidence"
        ),
        pytest.param(ZONE_BACKENDS[:2], (), 0.1, "b1", id="several make their zone unreachable"),
        pytest.param(
            ZONE_BACKENDS[:2],
            ZONE_BACKENDS[2:3],
            0.1,
            "a2",
            id="a response makes the zone reachable",
        ),
        pytest.param(ZONE_BACKENDS[:2], (), 0.6, "a2", id="the zone is tried again"),
    ],
)
def test_timeouts_count_as_evidence_about_the_zone(
    timeouts: tuple[Backend, ...], responses: tuple[Backend, ...], now: float, expected: str
) -> None:
    for seed in SEEDS:
        chooser = make_chooser(seed)
        for unresponsive in timeouts:
            chooser.record_timeout(unresponsive, 0.0)
        for responding in responses:
            chooser.record_response(responding, 0.0)
        chosen = chooser.choose(ZONE_BACKENDS[2:], set(), now)
        assert chosen is not None
        assert chosen.zone == expected


def test_an_unresponsive_zone_is_tried_less_and_less_often() -> None:
    chooser = make_chooser(0)
    for unresponsive in ZONE_BACKENDS[:2]:
        chooser.record_timeout(unresponsive, 0.0)
    chooser.record_timeout(ZONE_BACKENDS[2], 0.6)
    chosen = chooser.choose(ZONE_BACKENDS[2:], set(), 1.5)
    assert chosen is OTHER_REGION
