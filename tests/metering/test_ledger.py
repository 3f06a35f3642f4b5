"""Usage counts: newer totals replace older ones, and a closed window never changes."""

import msgspec
import pytest

from merlinstand.metering.ledger import (
    MAXIMUM_CLOSED_WINDOWS,
    MAXIMUM_SOURCES,
    StoredUsage,
    UsageLedger,
)
from merlinstand.metering.usage import (
    MAXIMUM_REPORTED_WINDOWS,
    UsageCounter,
    UsageReport,
    WindowUsage,
    decode_usage,
)


def report(source: str, sequence: int, window: int, **counts: int) -> UsageReport:
    return UsageReport(source, sequence, (WindowUsage(window, counts),))


def ledger(*reports: UsageReport) -> UsageLedger:
    created = UsageLedger()
    created.begin(10)
    created.record_reports(reports)
    return created


@pytest.mark.parametrize(
    ("reports", "totals"),
    [
        pytest.param([], {}, id="no-reports"),
        pytest.param([report("a", 1, 10, x=2)], {"x": 2}, id="one-gateway"),
        pytest.param(
            [report("a", 1, 10, x=2), report("b", 1, 10, x=1, y=1)],
            {"x": 3, "y": 1},
            id="two-gateways",
        ),
        pytest.param(
            [report("a", 1, 10, x=2), report("a", 1, 10, x=2)], {"x": 2}, id="repeated-report"
        ),
        pytest.param(
            [report("a", 2, 10, x=5), report("a", 1, 10, x=2)],
            {"x": 5},
            id="older-report-arrives-last",
        ),
        pytest.param(
            [report("a", 1, 10, x=2), report("a", 2, 10, x=1)], {"x": 1}, id="lower-total"
        ),
        pytest.param(
            [report("a/1", 3, 10, x=2), report("a/2", 1, 10, x=1)], {"x": 3}, id="two-incarnations"
        ),
        pytest.param([report("a", 1, 9, x=2)], {}, id="before-metering-began"),
    ],
)
def test_closed_window_is_the_sum_of_the_newest_totals(
    reports: list[UsageReport], totals: dict[str, int]
) -> None:
    created = ledger(*reports)
    assert created.close_window(10)
    assert created.closed == {10: totals}


def test_reports_after_a_window_is_closed_change_nothing() -> None:
    created = ledger(report("a", 1, 10, x=2))
    created.close_window(10)
    created.record_reports([report("a", 2, 10, x=9)])
    assert not created.close_window(10)
    assert created.closed == {10: {"x": 2}}
    created.complete_window(10)
    assert created.closed == {}


def test_earlier_open_windows_are_dropped_after_an_outage() -> None:
    created = ledger(report("a", 1, 10, x=2), report("b", 1, 700, x=1))
    assert created.close_window(700)
    assert created.closed == {700: {"x": 1}}
    assert created.open == {}
    assert created.next_window == 701


def test_ledger_survives_a_snapshot() -> None:
    created = ledger(report("a", 1, 10, x=2), report("b", 4, 11, y=1))
    created.close_window(10)
    data = msgspec.msgpack.encode(created.stored())
    restored = UsageLedger()
    restored.restore(msgspec.msgpack.decode(data, type=StoredUsage))
    assert restored.stored() == created.stored()


def test_memory_of_the_ledger_is_bounded() -> None:
    created = UsageLedger()
    created.begin(0)
    for number in range(MAXIMUM_SOURCES + 50):
        created.record_reports([report(f"s{number}", 1, number // 100, x=1)])
    for window in range(2 * MAXIMUM_CLOSED_WINDOWS):
        created.close_window(window)
    assert len(created.acknowledged) == MAXIMUM_SOURCES
    assert len(created.closed) == MAXIMUM_CLOSED_WINDOWS


def test_counter_reports_only_uncommitted_counts() -> None:
    counter = UsageCounter(5.0)
    counter.set_source("g/1")
    assert counter.next_report(0) is None
    counter.record_start("r1", "x", 52.0, 1.0)
    counter.record_start("r2", "x", 53.0, 2.0)
    counter.record_start("r3", "y", 53.0, 2.0)
    counter.record_end("r2", has_run=False)
    counter.record_end("r1", has_run=True)
    data = counter.next_report(0)
    assert data is not None
    sent = decode_usage(data)
    assert sent.windows == (WindowUsage(10, {"x": 1, "y": 1}),)
    assert counter.next_report(sent.sequence) is None
    counter.record_start("r4", "x", 56.0, 3.0)
    assert counter.next_report(sent.sequence) is not None


@pytest.mark.parametrize(
    ("window_seconds", "tenant", "true_seconds"),
    [
        pytest.param(0.0, "x", 50.0, id="reports-disabled"),
        pytest.param(5.0, "", 50.0, id="no-tenant"),
        pytest.param(5.0, "x", None, id="true-time-unknown"),
    ],
)
def test_request_is_not_counted(
    window_seconds: float, tenant: str, true_seconds: float | None
) -> None:
    counter = UsageCounter(window_seconds)
    counter.record_start("r", tenant, true_seconds, 1.0)
    counter.record_end("r", has_run=False)
    assert counter.next_report(0) is None


@pytest.mark.parametrize(
    ("after_seconds", "count"),
    [pytest.param(0.0, 0, id="immediately"), pytest.param(0.1, 1, id="later")],
)
def test_aborted_request_counts_unless_aborted_immediately(
    after_seconds: float, count: int
) -> None:
    counter = UsageCounter(5.0)
    counter.record_start("r", "x", 50.0, 1.0)
    counter.record_abort("r", 1.0 + after_seconds)
    data = counter.next_report(0)
    assert data is not None
    assert decode_usage(data).windows[0].counts.get("x", 0) == count


def test_memory_of_a_counter_is_bounded() -> None:
    counter = UsageCounter(5.0)
    for number in range(1_000):
        counter.record_start(f"r{number}", "x", 5.0 * number, 5.0 * number)
        counter.record_end(f"r{number}", has_run=True)
    data = counter.next_report(0)
    assert data is not None
    assert len(decode_usage(data).windows) == MAXIMUM_REPORTED_WINDOWS
