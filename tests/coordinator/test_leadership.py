"""Standby coordinators retry by rank: low load on the control group, but a fast failover."""

import pytest

from merlinstand.common import constants
from merlinstand.coordinator.leadership import MAXIMUM_RETRY_SECONDS
from merlinstand.session.lease_keeper import LEASE_RETRY_SECONDS
from tests.coordinator.lease_contest import LeaseSimulation

SPREAD = 1.25
"""Retry intervals are randomized up to this factor."""

SETTLE_SECONDS = 30.0
STEP_MARGIN_SECONDS = 0.2


def _ranked(simulation: LeaseSimulation, resource: str) -> list[str]:
    """Return the coordinators, the preferred one first."""
    return sorted(
        simulation.participants,
        key=lambda name: simulation.participants[name].leadership.position(resource),
    )


def _settled(coordinators: int, jobs: int) -> LeaseSimulation:
    simulation = LeaseSimulation(coordinators, jobs)
    simulation.run_for(SETTLE_SECONDS)
    return simulation


def test_every_resource_goes_to_its_preferred_coordinator() -> None:
    simulation = _settled(8, 20)
    for resource in simulation.resources:
        assert simulation.holder(resource) == _ranked(simulation, resource)[0]


def test_standbys_retry_less_often_at_higher_positions() -> None:
    simulation = _settled(12, 1)
    resource = simulation.resources[0]
    simulation.acquisitions.clear()
    simulation.run_for(4 * MAXIMUM_RETRY_SECONDS)
    asked = [simulation.acquisitions[name] for name in _ranked(simulation, resource)]
    assert asked[0] == 0, "the holder renews, it does not acquire again"
    # Positions 1 to 5 retry every 1, 2, 4, 8 and 16 s, all others every 16 s.
    waits = [1.0, 2.0, 4.0, 8.0, 16.0, *[MAXIMUM_RETRY_SECONDS] * 6]
    for count, wait in zip(asked[1:], waits, strict=True):
        most = 4 * MAXIMUM_RETRY_SECONDS / (wait * 0.75) + 1
        least = 4 * MAXIMUM_RETRY_SECONDS / (wait * SPREAD) - 1
        assert least <= count <= most


def test_acquisitions_grow_much_slower_than_the_number_of_coordinators() -> None:
    few, many = _settled(4, 10), _settled(16, 10)
    for simulation in (few, many):
        simulation.acquisitions.clear()
        simulation.run_for(32.0)
    # If each retried every second, it would be 5 times as many (3 and 15 standbys).
    assert many.acquisitions.total() < 2 * few.acquisitions.total()


@pytest.mark.parametrize("dead", [1, 2, 3])
def test_the_next_standby_acquires_the_lease_when_the_first_ones_fail(dead: int) -> None:
    simulation = _settled(6, 4)
    for resource in simulation.resources:
        assert simulation.holder(resource)
    resource = simulation.resources[0]
    ranked = _ranked(simulation, resource)
    for name in ranked[:dead]:
        simulation.participants[name].alive = False
    wait = LEASE_RETRY_SECONDS * 2.0 ** max(0, dead - 1) * SPREAD
    limit = constants.RESOURCE_LEASE_SECONDS + wait + STEP_MARGIN_SECONDS
    assert simulation.seconds_until_held(resource, 60.0) <= limit
    assert simulation.holder(resource) not in ranked[:dead]


def test_a_standby_that_moves_up_retries_more_often_immediately() -> None:
    simulation = _settled(6, 1)
    resource = simulation.resources[0]
    ranked = _ranked(simulation, resource)
    for participant in simulation.participants.values():
        view = participant.session.scripted_view
        view.daemons = {name: view.daemons[name] for name in (ranked[0], ranked[5])}
    simulation.run_for(1.0)
    simulation.acquisitions.clear()
    simulation.run_for(20.0)
    assert simulation.acquisitions[ranked[5]] >= 20.0 / (LEASE_RETRY_SECONDS * SPREAD) - 1


def test_the_lease_of_a_removed_resource_is_released() -> None:
    simulation = _settled(2, 1)
    resource = simulation.resources[0]
    first = simulation.participants[simulation.holder(resource)]
    first.session.scripted_view.jobs = {}
    simulation.run_for(0.1)
    assert simulation.holder(resource) == ""
    asked_before = dict(simulation.acquisitions)
    simulation.run_for(4 * MAXIMUM_RETRY_SECONDS)
    assert dict(simulation.acquisitions) == asked_before, "a coordinator still requests the lease"
