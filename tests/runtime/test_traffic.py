"""Byte counts by kind and peer, with a limited number of peers."""

import pytest

from merlinstand.common.ids import CallId
from merlinstand.runtime import traffic
from merlinstand.runtime.traffic import OTHER_PEER, Direction, TrafficCounters, call_kind


def rows(counters: TrafficCounters) -> dict[tuple[str, str], dict[str, int]]:
    return {(kind, direction.value): peers for kind, direction, peers in counters.rows()}


def test_bytes_add_up_by_kind_direction_and_peer() -> None:
    counters = TrafficCounters()
    for kind, direction, address, size in [
        ("item", Direction.SENT, "10.0.0.1:80", 3),
        ("item", Direction.SENT, "10.0.0.1:81", 4),
        ("item", Direction.RECEIVED, "10.0.0.1:80", 9),
        ("batch", Direction.SENT, "10.0.0.2:80", 1),
    ]:
        counters.add(kind, direction, address, size)
    assert rows(counters) == {
        ("item", "sent"): {"10.0.0.1": 7},
        ("item", "received"): {"10.0.0.1": 9},
        ("batch", "sent"): {"10.0.0.2": 1},
    }


def test_peers_beyond_the_limit_are_counted_as_other(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(traffic, "MAXIMUM_ROWS", 2)
    counters = TrafficCounters()
    for number in range(6):
        counters.add("item", Direction.SENT, f"10.0.0.{number}:80", 1)
    assert rows(counters) == {
        ("item", "sent"): {"10.0.0.0": 1, "10.0.0.1": 1, OTHER_PEER: 4},
    }


@pytest.mark.parametrize(
    ("call_id", "kind"), [("item:7", "item"), ("weights:order:1:e", "weights"), ("plain", "plain")]
)
def test_a_call_without_a_kind_is_counted_by_its_prefix(call_id: str, kind: str) -> None:
    assert call_kind(CallId(call_id)) == kind
