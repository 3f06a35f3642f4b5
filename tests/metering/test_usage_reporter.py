"""When a window is fixed, and which clock says so."""

import pytest

from merlinstand.common.ids import NodeId
from merlinstand.metering.ledger import UsageLedger
from merlinstand.metering.true_time import TrueTime, TrueTimeEstimate
from merlinstand.metering.windows import GatewayContact, UsageReporter

WINDOW = 10
END = (WINDOW + 1) * 5.0
"""In true time; local time is the same here."""


def reporter(led_since: float = 0.0) -> UsageReporter:
    ledger = UsageLedger()
    ledger.begin(WINDOW)
    made = UsageReporter(ledger, 5.0, 10.0)
    made.begin(led_since)
    return made


@pytest.mark.parametrize(
    ("age", "heard", "led_since", "window"),
    [
        pytest.param(0.5, [0.5], 0.0, None, id="too-soon"),
        pytest.param(1.5, [1.2, 1.4], 0.0, WINDOW, id="all-heard-after"),
        pytest.param(1.5, [1.2, 0.2], 0.0, None, id="one-not-heard-after"),
        pytest.param(1.5, [1.2, -6.0], 0.0, WINDOW, id="one-gone-before-the-window"),
        pytest.param(1.5, [1.2, -3.0], 0.0, None, id="one-silent-since-within-the-window"),
        pytest.param(6.1, [1.2, -3.0], 0.0, WINDOW, id="waited-long-enough"),
        pytest.param(1.5, [1.2], END - 2.0, None, id="a-new-leader-knows-not-all"),
        pytest.param(6.1, [1.2], END - 2.0, WINDOW, id="a-new-leader-waited"),
        pytest.param(1.5, [], 0.0, WINDOW, id="no-gateways"),
        pytest.param(60.0, [59.0], 0.0, WINDOW + 11, id="after-a-standstill"),
    ],
)
def test_when_a_window_is_fixed(
    age: float, heard: list[float], led_since: float, window: int | None
) -> None:
    gateways = [GatewayContact(NodeId(f"g{n}"), END + at) for n, at in enumerate(heard)]
    assert reporter(led_since).window_to_close(END + age, gateways, END + age) == window


@pytest.mark.parametrize(
    ("errors", "is_known"),
    [
        pytest.param([0.0, 0.0], False, id="too-few"),
        pytest.param([0.0, 0.0, 3_600.0], True, id="one-ahead"),
        pytest.param([0.001, 0.0, -0.001, -9e8, -9e8], True, id="two-of-five-far-behind"),
        pytest.param([0.0, 0.0, 5.0, 0.0, 5.0, 0.0, 5.0], True, id="three-of-seven-ahead"),
    ],
)
def test_true_time_is_what_most_clocks_show(errors: list[float], is_known: bool) -> None:
    clocks = TrueTime()
    for number, error in enumerate(errors):
        clocks.record(NodeId(f"n{number}"), 1_000_000.0 + error, 7.0)
    true_seconds = clocks.seconds(8.0)
    assert (true_seconds is not None) == is_known
    assert true_seconds is None or abs(true_seconds - 1_000_001.0) < 0.002
    assert clocks.seconds(20.0) is None


def test_a_daemon_takes_time_from_the_answer_with_the_shortest_way() -> None:
    followed = TrueTimeEstimate()
    assert followed.seconds(1.0) is None
    followed.record_response(1_000.0, 0.020, now=1.0)
    followed.record_response(1_000.499, 0.002, now=1.5)
    followed.record_response(1_000.9, 0.200, now=2.0)
    assert followed.seconds(2.0) == pytest.approx(1_001.0)
    # An answer that waited while this process stood still says nothing, however old the last is.
    followed.record_response(1_001.0, 9.0, now=30.0)
    assert followed.seconds(30.0) == pytest.approx(1_029.0)
    followed.record_response(1_029.5, 0.100, now=30.0)
    assert followed.seconds(30.0) == pytest.approx(1_029.55)
