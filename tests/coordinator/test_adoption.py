"""Only one of merlinstand and the team's own scripts sends orders to a job's engines."""

from merlinstand.configuration.objects import JobMode, JobPhase
from tests.coordinator.driver import CoordinatorDriver, engine_pool, make_job
from tests.coordinator.names import POOL

ENGINES = f"engines/{POOL}"
SPREAD_SECONDS = 4.0
"""Longer than the delay before a coordinator that is not preferred requests a lease."""


def settled(**changes: object) -> CoordinatorDriver:
    """Return a coordinator after the time in which it requests its leases."""
    driver = CoordinatorDriver(make_job(**changes), pool=engine_pool(2), lead=False)
    driver.tick(SPREAD_SECONDS)
    return driver


def test_a_mirrored_job_sends_no_orders_to_its_engines() -> None:
    driver = settled(mode=JobMode.MIRROR)
    assert driver.session.wanted == ["job/" + make_job().name]
    driver.publish(2)
    driver.tick(SPREAD_SECONDS)
    assert driver.orders == []


def test_an_active_job_leases_the_engines_and_keeps_the_lease_while_paused() -> None:
    driver = settled(mode=JobMode.MIRROR)
    driver.configure(make_job(mode=JobMode.ACTIVE))
    driver.tick(SPREAD_SECONDS)
    assert ENGINES in driver.session.wanted
    driver.lead_engines()
    driver.configure(make_job(mode=JobMode.ACTIVE, phase=JobPhase.PAUSED))
    assert ENGINES in driver.session.held


def test_a_job_moved_back_to_mirror_mode_releases_the_engines_immediately() -> None:
    driver = settled()
    driver.lead_engines()
    driver.publish(2)
    driver.tick()
    driver.tick()
    sent = len(driver.orders)
    assert sent > 0
    driver.configure(make_job(mode=JobMode.MIRROR))
    assert ENGINES not in driver.session.held
    driver.publish(3)
    for _ in range(5):
        driver.tick()
    assert len(driver.orders) == sent


def test_a_cancelled_job_releases_its_engines() -> None:
    driver = settled()
    driver.lead_engines()
    driver.configure(make_job(phase=JobPhase.CANCELLED))
    assert ENGINES not in driver.session.held
