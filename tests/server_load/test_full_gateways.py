"""Selection of the gateways that may report themselves as full."""

import math

import pytest

from merlinstand.common.ids import NodeId
from merlinstand.server_load.follower import FRESH_SECONDS, LoadFollower
from merlinstand.server_load.full_gateways import FullGateways
from merlinstand.server_load.leader import EMPTY_SUMMARY_SECONDS, LoadLeader
from merlinstand.server_load.reports import GatewayLoad, encode_gateway_load
from tests.server_load.test_messages import make_state


def gateways(number: int, zone: str = "z") -> dict[NodeId, str]:
    return {NodeId(f"{zone}{n:02}"): zone for n in range(number)}


@pytest.mark.parametrize(
    ("number", "loads", "expected"),
    [
        pytest.param(10, [None, 0.9], ["z01"], id="one of many"),
        pytest.param(10, [0.81, 0.95, 0.9, 0.85], ["z01", "z02"], id="the fullest"),
        pytest.param(24, [1.0] * 24, ["z00", "z01", "z02", "z03"], id="all full"),
        pytest.param(3, [0.9, 0.9, 0.9], ["z00"], id="small zone"),
        pytest.param(1, [1.0], [], id="only gateway of its zone"),
    ],
)
def test_a_fifth_of_a_zone_may_be_full(
    number: int, loads: list[float | None], expected: list[str]
) -> None:
    """Uneven load, and a surge that fills all gateways of a zone."""
    full = FullGateways()
    zones = gateways(number) | gateways(number, "other")
    for gateway, load in zip(zones, loads, strict=False):
        full.record(gateway, load, 0.0)
    assert list(full.select(zones, 0.1)) == expected


def test_a_full_gateway_stays_selected_while_it_asks() -> None:
    """One gateway empties slowly while another fills; then it disappears, then most others do."""
    full = FullGateways()
    zones = gateways(5)
    first, second, *_rest = zones
    full.record(first, 0.9, 0.0)
    assert full.select(zones, 0.0) == (first,)
    full.record(first, 0.6, 0.3)
    full.record(second, 1.0, 0.3)
    assert full.select(zones, 0.3) == (first,)
    full.record(first, None, 0.6)
    assert full.select(zones, 0.6) == (second,)
    full.record(second, 1.0, 0.9)
    assert full.select(gateways(1), 0.9) == ()
    assert full.select(zones, 3.0) == ()
    assert full.is_empty


def test_a_gateway_learns_that_it_may_report_full() -> None:
    """One of five gateways is full while no service is busy; then the leader is unreachable."""
    zones = gateways(5)
    leader = LoadLeader(make_state(), lambda _now: zones)
    follower = LoadFollower()
    gateway = next(iter(zones))

    def pull(now: float) -> bytes | None:
        report = follower.next_report(now)
        reply = leader.handle_report(gateway, True, report, now)
        if reply.data is not None:
            follower.apply_summary(reply.data, now)
        return report

    assert pull(0.0) is None
    follower.set_full_share(0.9)
    pull(0.3)
    assert follower.may_report_full(gateway, 0.4)
    assert not follower.may_report_full(NodeId("z01"), 0.4)
    assert follower.report_interval_seconds(0.4) == math.inf
    assert not follower.may_report_full(gateway, 0.4 + FRESH_SECONDS)
    follower.set_full_share(None)
    pull(0.6)
    assert not follower.may_report_full(gateway, 0.6)
    keeper = encode_gateway_load(GatewayLoad(0.3, full_share=1.0))
    leader.handle_report(NodeId("z01"), False, keeper, 1.0)
    assert leader.handle_report(gateway, True, None, 1.0 + EMPTY_SUMMARY_SECONDS).data is None
