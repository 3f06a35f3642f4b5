"""A job that moves between the old scripts and merlinstand: only one side orders engines."""

from merlinstand.configuration.objects import JobMode, JobPhase
from tests.coordinator.driver import CoordinatorDriver, engine_pool, make_job
from tests.coordinator.names import POOL

ENGINES = f"engines/{POOL}"
SPREAD_SECONDS = 4.0
"""Longer than a coordinator waits for the preferred one to take a lease."""


def settled(**changes: object) -> CoordinatorDriver:
    """A coordinator of a job that had time to ask for its leases."""
    driver = CoordinatorDriver(make_job(**changes), pool=engine_pool(2), lead=False)
    driver.tick(SPREAD_SECONDS)
    return driver


def test_the_engines_of_a_mirrored_job_belong_to_the_scripts() -> None:
    driver = settled(mode=JobMode.MIRROR)
    assert driver.session.wanted == ["job/" + make_job().name]
    driver.publish(2)
    driver.tick(SPREAD_SECONDS)
    assert driver.orders == []


def test_an_active_job_takes_the_engines_and_keeps_them_while_it_pauses() -> None:
    driver = settled(mode=JobMode.MIRROR)
    driver.configure(make_job(mode=JobMode.ACTIVE))
    driver.tick(SPREAD_SECONDS)
    assert ENGINES in driver.session.wanted
    driver.lead_engines()
    driver.configure(make_job(mode=JobMode.ACTIVE, phase=JobPhase.PAUSED))
    assert ENGINES in driver.session.held


def test_a_job_moved_back_gives_the_engines_up_at_once() -> None:
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


def test_a_cancelled_job_leaves_its_engines() -> None:
    driver = settled()
    driver.lead_engines()
    driver.configure(make_job(phase=JobPhase.CANCELLED))
    assert ENGINES not in driver.session.held
