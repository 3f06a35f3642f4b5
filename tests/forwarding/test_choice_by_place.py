"""The choice of a server by what it costs to reach: distance, load, silence."""

from collections.abc import Callable

import pytest

from merlinstand.cluster.backends import Backend
from merlinstand.cluster.places import ZoneMap
from merlinstand.common.ids import BackendId
from merlinstand.decisions.backend_evidence import BackendEvidence
from merlinstand.decisions.distance import Distance, ProcessLocation
from merlinstand.decisions.server_choice import BackendChooser

PLACES = ZoneMap({"a1": "a", "a2": "a", "a3": "a", "b1": "b"})


def backend(name: str, zone: str) -> Backend:
    return Backend(backend_id=BackendId(name), service="s", address=f"{name}:1", zone=zone)


NEAR = backend("near", "a1")
OTHER_ZONE = backend("other-zone", "a2")
THIRD_ZONE = backend("third-zone", "a3")
OTHER_REGION = backend("other-region", "b1")
ALL = (OTHER_REGION, THIRD_ZONE, OTHER_ZONE, NEAR)
SEEDS = range(20)


def chooser(seed: int, is_out_of_touch: bool = False) -> BackendChooser:
    made = BackendChooser(ProcessLocation("a1", PLACES), lambda _now: is_out_of_touch)
    made.seed(seed)
    return made


@pytest.mark.parametrize(
    ("own", "other", "expected"),
    [
        pytest.param("a1", "a1", Distance.OWN_ZONE, id="the same zone"),
        pytest.param("a1", "a2", Distance.OWN_REGION, id="another zone of the region"),
        pytest.param("a1", "b1", Distance.OTHER_REGION, id="another region"),
        pytest.param("a1", "", Distance.OWN_ZONE, id="a server that tells no zone"),
        pytest.param("", "b1", Distance.OWN_ZONE, id="a process that knows no zone"),
    ],
)
def test_distance(own: str, other: str, expected: Distance) -> None:
    assert ProcessLocation(own, PLACES).distance_to(other) is expected


def test_zones_without_regions_are_near_each_other() -> None:
    assert ProcessLocation("x", ZoneMap()).distance_to("y") is Distance.OWN_REGION


@pytest.mark.parametrize(
    ("candidates", "expected"),
    [
        pytest.param(ALL, {"near"}, id="own zone first"),
        pytest.param(ALL[:3], {"other-zone", "third-zone"}, id="then the own region"),
        pytest.param(ALL[:1], {"other-region"}, id="then another"),
    ],
)
def test_where_nothing_else_tells_the_nearest_goes_first(
    candidates: tuple[Backend, ...], expected: set[str]
) -> None:
    chosen = [chooser(seed).choose(candidates, set(), 0.0) for seed in SEEDS]
    assert {backend.backend_id for backend in chosen if backend} == expected


def busy(evidence: BackendEvidence) -> None:
    evidence.in_flight = 3


def slow(evidence: BackendEvidence) -> None:
    evidence.record_latency(0.03 * 6, 1.0)


def failing(evidence: BackendEvidence) -> None:
    evidence.record_failure(1.0)


@pytest.mark.parametrize("becomes", [busy, slow, failing])
def test_a_near_server_that_is_busy_slow_or_failing_loses_to_a_far_one(
    becomes: Callable[[BackendEvidence], None],
) -> None:
    for seed in SEEDS:
        made = chooser(seed)
        made.choose((NEAR, OTHER_ZONE), set(), 0.0)
        made.record_response(NEAR, 0.5)
        becomes(made.evidence(NEAR.backend_id))
        assert made.choose((NEAR, OTHER_ZONE), set(), 1.0) is OTHER_ZONE


def test_a_kept_connection_to_another_zone_is_worth_more_than_the_bytes() -> None:
    for seed in SEEDS:
        made = chooser(seed)
        made.record_response(OTHER_ZONE, 0.0)
        assert made.choose((NEAR, OTHER_ZONE), set(), 1.0) is OTHER_ZONE


def test_a_region_that_answers_as_fast_as_the_own_one_needs_evidence_first() -> None:
    """A far server's latency is assumed, until answers tell."""
    made = chooser(0)
    assert made.choose((OTHER_REGION, OTHER_ZONE), set(), 0.0) is OTHER_ZONE
    assert made.evidence(OTHER_REGION.backend_id).latency(0.0) > 0.06
    for _ in range(20):
        made.evidence(OTHER_REGION.backend_id).record_latency(0.01, 0.0)
    made.record_response(OTHER_REGION, 0.0)
    assert made.choose((OTHER_REGION, OTHER_ZONE), set(), 0.0) is OTHER_REGION


@pytest.mark.parametrize(
    "silent",
    [
        pytest.param((OTHER_ZONE,), id="a far server is silent"),
        pytest.param((OTHER_REGION,), id="a server of another region is silent"),
    ],
)
def test_after_silence_from_afar_the_second_try_goes_near(silent: tuple[Backend, ...]) -> None:
    """Shared shop, a zone cut off: both tries of a lookup went to servers of other zones."""
    for seed in SEEDS:
        made = chooser(seed)
        made.record_response(THIRD_ZONE, 0.0)
        tried = {backend.backend_id for backend in silent}
        assert made.choose(ALL, tried, 1.0, silent) is NEAR


def test_a_gateway_that_hears_no_leader_stays_in_its_zone() -> None:
    for seed in SEEDS:
        made = chooser(seed, is_out_of_touch=True)
        made.record_response(OTHER_ZONE, 0.0)
        assert made.choose(ALL, set(), 1.0) is NEAR


def test_a_gateway_that_hears_no_leader_still_leaves_a_server_that_fails() -> None:
    made = chooser(0, is_out_of_touch=True)
    made.evidence(NEAR.backend_id).record_failure(0.0)
    assert made.choose((NEAR, OTHER_ZONE), set(), 0.1) is OTHER_ZONE


TWINS = (backend("c", "a2"), backend("d", "a2"), backend("e", "a2"), OTHER_REGION)


@pytest.mark.parametrize(
    ("silences", "answers", "now", "expected"),
    [
        pytest.param(TWINS[:1], (), 0.1, "a2", id="one silent server says little"),
        pytest.param(TWINS[:2], (), 0.1, "b1", id="several put their zone in doubt"),
        pytest.param(TWINS[:2], TWINS[2:3], 0.1, "a2", id="an answer takes the doubt away"),
        pytest.param(TWINS[:2], (), 0.6, "a2", id="the zone is probed again"),
    ],
)
def test_servers_of_a_zone_share_what_their_silence_tells(
    silences: tuple[Backend, ...], answers: tuple[Backend, ...], now: float, expected: str
) -> None:
    for seed in SEEDS:
        made = chooser(seed)
        for silent in silences:
            made.record_timeout(silent, 0.0)
        for heard in answers:
            made.record_response(heard, 0.0)
        chosen = made.choose(TWINS[2:], set(), now)
        assert chosen is not None
        assert chosen.zone == expected


def test_a_zone_that_stays_silent_is_probed_less_and_less() -> None:
    made = chooser(0)
    for silent in TWINS[:2]:
        made.record_timeout(silent, 0.0)
    made.record_timeout(TWINS[2], 0.6)
    chosen = made.choose(TWINS[2:], set(), 1.5)
    assert chosen is OTHER_REGION
