"""When usage windows are closed, and the true time that defines them."""

import pytest

from merlinstand.common.ids import NodeId
from merlinstand.metering.ledger import UsageLedger
from merlinstand.metering.true_time import TrueTime, TrueTimeEstimate
from merlinstand.metering.windows import GatewayContact, UsageReporter

WINDOW = 10
END = (WINDOW + 1) * 5.0
"""End of the window in true time, which equals local time in these tests."""


def reporter(leader_since: float = 0.0) -> UsageReporter:
    ledger = UsageLedger()
    ledger.begin(WINDOW)
    created = UsageReporter(ledger, 5.0, 10.0)
    created.begin(leader_since)
    return created


@pytest.mark.parametrize(
    ("age", "reported", "leader_since", "window"),
    [
        pytest.param(0.5, [0.5], 0.0, None, id="too-soon"),
        pytest.param(1.5, [1.2, 1.4], 0.0, WINDOW, id="all-reported-after-the-end"),
        pytest.param(1.5, [1.2, 0.2], 0.0, None, id="one-report-too-old"),
        pytest.param(1.5, [1.2, -6.0], 0.0, WINDOW, id="one-stopped-before-the-window"),
        pytest.param(1.5, [1.2, -3.0], 0.0, None, id="one-stopped-within-the-window"),
        pytest.param(6.1, [1.2, -3.0], 0.0, WINDOW, id="wait-is-over"),
        pytest.param(1.5, [1.2], END - 2.0, None, id="new-leader-may-lack-reports"),
        pytest.param(6.1, [1.2], END - 2.0, WINDOW, id="new-leader-after-the-wait"),
        pytest.param(1.5, [], 0.0, WINDOW, id="no-gateways"),
        pytest.param(60.0, [59.0], 0.0, WINDOW + 11, id="after-an-outage"),
    ],
)
def test_when_a_window_is_closed(
    age: float, reported: list[float], leader_since: float, window: int | None
) -> None:
    gateways = [GatewayContact(NodeId(f"g{n}"), END + at) for n, at in enumerate(reported)]
    assert reporter(leader_since).window_to_close(END + age, gateways, END + age) == window


@pytest.mark.parametrize(
    ("errors", "is_known"),
    [
        pytest.param([0.0, 0.0], False, id="too-few"),
        pytest.param([0.0, 0.0, 3_600.0], True, id="one-ahead"),
        pytest.param([0.001, 0.0, -0.001, -9e8, -9e8], True, id="two-of-five-far-behind"),
        pytest.param([0.0, 0.0, 5.0, 0.0, 5.0, 0.0, 5.0], True, id="three-of-seven-ahead"),
    ],
)
def test_true_time_follows_the_majority_of_clocks(errors: list[float], is_known: bool) -> None:
    clocks = TrueTime()
    for number, error in enumerate(errors):
        clocks.record(NodeId(f"n{number}"), 1_000_000.0 + error, 7.0)
    true_seconds = clocks.seconds(8.0)
    assert (true_seconds is not None) == is_known
    assert true_seconds is None or abs(true_seconds - 1_000_001.0) < 0.002
    assert clocks.seconds(20.0) is None


def test_true_time_is_taken_from_the_response_with_the_shortest_round_trip() -> None:
    estimate = TrueTimeEstimate()
    assert estimate.seconds(1.0) is None
    estimate.record_response(1_000.0, 0.020, now=1.0)
    estimate.record_response(1_000.499, 0.002, now=1.5)
    estimate.record_response(1_000.9, 0.200, now=2.0)
    assert estimate.seconds(2.0) == pytest.approx(1_001.0)
    # A response that waited while this process was suspended is ignored, however old the last one.
    estimate.record_response(1_001.0, 9.0, now=30.0)
    assert estimate.seconds(30.0) == pytest.approx(1_029.0)
    estimate.record_response(1_029.5, 0.100, now=30.0)
    assert estimate.seconds(30.0) == pytest.approx(1_029.55)
