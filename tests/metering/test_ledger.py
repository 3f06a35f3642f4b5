"""Agreed counts: totals replace older ones, a fixed window never changes."""

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


def report(source: str, mark: int, window: int, **counts: int) -> UsageReport:
    return UsageReport(source, mark, (WindowUsage(window, counts),))


def ledger(*reports: UsageReport) -> UsageLedger:
    made = UsageLedger()
    made.begin(10)
    made.record_reports(reports)
    return made


@pytest.mark.parametrize(
    ("reports", "fixed"),
    [
        pytest.param([], {}, id="nobody-called"),
        pytest.param([report("a", 1, 10, x=2)], {"x": 2}, id="one-gateway"),
        pytest.param(
            [report("a", 1, 10, x=2), report("b", 1, 10, x=1, y=1)], {"x": 3, "y": 1}, id="two"
        ),
        pytest.param(
            [report("a", 1, 10, x=2), report("a", 1, 10, x=2)], {"x": 2}, id="reported-twice"
        ),
        pytest.param(
            [report("a", 2, 10, x=5), report("a", 1, 10, x=2)], {"x": 5}, id="older-one-later"
        ),
        pytest.param(
            [report("a", 1, 10, x=2), report("a", 2, 10, x=1)], {"x": 1}, id="one-taken-back"
        ),
        pytest.param(
            [report("a/1", 3, 10, x=2), report("a/2", 1, 10, x=1)], {"x": 3}, id="two-lives"
        ),
        pytest.param([report("a", 1, 9, x=2)], {}, id="before-metering-began"),
    ],
)
def test_a_window_is_fixed_as_the_sum_of_the_newest_totals(
    reports: list[UsageReport], fixed: dict[str, int]
) -> None:
    made = ledger(*reports)
    assert made.close_window(10)
    assert made.closed == {10: fixed}


def test_what_comes_after_a_window_is_fixed_changes_nothing() -> None:
    made = ledger(report("a", 1, 10, x=2))
    made.close_window(10)
    made.record_reports([report("a", 2, 10, x=9)])
    assert not made.close_window(10)
    assert made.closed == {10: {"x": 2}}
    made.complete_window(10)
    assert made.closed == {}


def test_after_a_standstill_earlier_windows_are_given_up() -> None:
    made = ledger(report("a", 1, 10, x=2), report("b", 1, 700, x=1))
    assert made.close_window(700)
    assert made.closed == {700: {"x": 1}}
    assert made.open == {}
    assert made.next_window == 701


def test_it_outlives_a_snapshot() -> None:
    made = ledger(report("a", 1, 10, x=2), report("b", 4, 11, y=1))
    made.close_window(10)
    data = msgspec.msgpack.encode(made.stored())
    restored = UsageLedger()
    restored.restore(msgspec.msgpack.decode(data, type=StoredUsage))
    assert restored.stored() == made.stored()


def test_its_memory_is_bounded() -> None:
    made = UsageLedger()
    made.begin(0)
    for number in range(MAXIMUM_SOURCES + 50):
        made.record_reports([report(f"s{number}", 1, number // 100, x=1)])
    for window in range(2 * MAXIMUM_CLOSED_WINDOWS):
        made.close_window(window)
    assert len(made.acknowledged) == MAXIMUM_SOURCES
    assert len(made.closed) == MAXIMUM_CLOSED_WINDOWS


def test_a_counter_tells_what_is_not_agreed_and_no_more() -> None:
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
        pytest.param(0.0, "x", 50.0, id="nobody-asks"),
        pytest.param(5.0, "", 50.0, id="no-tenant"),
        pytest.param(5.0, "x", None, id="time-unknown"),
    ],
)
def test_what_is_not_counted(
    window_seconds: float, tenant: str, true_seconds: float | None
) -> None:
    counter = UsageCounter(window_seconds)
    counter.record_start("r", tenant, true_seconds, 1.0)
    counter.record_end("r", has_run=False)
    assert counter.next_report(0) is None


@pytest.mark.parametrize(
    ("after_seconds", "count"),
    [pytest.param(0.0, 0, id="at-once"), pytest.param(0.1, 1, id="later")],
)
def test_a_caller_that_leaves_as_its_request_begins(after_seconds: float, count: int) -> None:
    counter = UsageCounter(5.0)
    counter.record_start("r", "x", 50.0, 1.0)
    counter.record_abort("r", 1.0 + after_seconds)
    data = counter.next_report(0)
    assert data is not None
    assert decode_usage(data).windows[0].counts.get("x", 0) == count


def test_a_counters_memory_is_bounded() -> None:
    counter = UsageCounter(5.0)
    for number in range(1_000):
        counter.record_start(f"r{number}", "x", 5.0 * number, 5.0 * number)
        counter.record_end(f"r{number}", has_run=True)
    data = counter.next_report(0)
    assert data is not None
    assert len(decode_usage(data).windows) == MAXIMUM_REPORTED_WINDOWS
