"""Load estimates from reports: decay, averaging, bounds, and exclusion of own requests."""

import pytest

from merlinstand.routing.load_reports import MAXIMUM_LOAD, ExternalLoad, LoadReport


def test_reports_are_averaged() -> None:
    load = ExternalLoad(1e9, 1e9, report_weight=0.1)
    load.record(LoadReport(10, 0, 0.0), 0, 100.0)
    assert load.estimate(100.0) == pytest.approx(10.0)
    load.record(LoadReport(0, 0, 0.5), 0, 100.5)
    assert load.estimate(100.5) == pytest.approx(9.0)
    for step in range(100):
        at = 101.0 + step * 0.5
        load.record(LoadReport(4, 0, at), 0, at)
    assert load.estimate(at) == pytest.approx(4.0, abs=0.01)


def test_load_of_an_earlier_incarnation_is_not_averaged_in() -> None:
    load = ExternalLoad(1e9, 1e9, report_weight=0.1)
    load.record(LoadReport(10, 0, 5.0, incarnation=1), 0, 100.0)
    load.record(LoadReport(0, 0, 1.0, incarnation=2), 0, 101.0)
    assert load.estimate(101.0) == 0.0


def test_unbounded_load_is_limited_to_the_maximum() -> None:
    load = ExternalLoad(2.0, 15.0)
    load.record(LoadReport(10**400, 10**400, 0.0), 0, 100.0)
    assert load.estimate(100.0) == MAXIMUM_LOAD


def test_own_requests_in_flight_are_subtracted() -> None:
    load = ExternalLoad(2.0, 15.0)
    load.record(LoadReport(5, 2, 10.0), own_in_flight=4, now=0.0)
    assert load.estimate(0.0) == 3.0


def test_reported_load_decays_and_expires() -> None:
    load = ExternalLoad(2.0, 15.0)
    load.record(LoadReport(8, 0, 10.0), own_in_flight=0, now=0.0)
    assert load.estimate(2.0) == 4.0
    assert load.estimate(15.0) == 0.0


def test_older_report_is_ignored_unless_the_replica_restarted() -> None:
    load = ExternalLoad(2.0, 15.0)
    load.record(LoadReport(8, 0, 10.0), 0, 0.0)
    assert not load.record(LoadReport(1, 0, 9.0), 0, 0.1)
    assert load.record(LoadReport(1, 0, 1.0, incarnation=2), 0, 0.2)
