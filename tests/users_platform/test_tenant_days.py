"""Whole days with tenants: whose requests run, whose jobs are shown, keys that are taken away."""

import pytest

from tests.users_platform.checks import answered_share, records, violations, whole_steps
from tests.users_platform.lookup_clients import (
    ForeignAnswer,
    LookupAnswer,
)
from tests.users_platform.servers import Arrival
from tests.users_platform.world import (
    LOOKUPS_TENANT,
    TENANT_KEYS,
    TRAINERS_TENANT,
    SimulatedDeployment,
)

DAY_SECONDS = 34.0
IN_FORCE_SECONDS = 2.0
"""A configuration is in force everywhere this long after it was sent, in a calm day."""


@pytest.mark.parametrize("seed", range(3))
def test_a_calm_day_with_tenants_is_served_whole(seed: int) -> None:
    world = SimulatedDeployment(seed, has_tenants=True)
    world.simulation.run_until(DAY_SECONDS)
    assert violations(world) == []
    assert whole_steps(world) == 5
    assert answered_share(world) == 1.0
    foreign = [a for a in records(world, "foreign") if isinstance(a, ForeignAnswer)]
    assert len(foreign) > 100
    assert {answer.status for answer in foreign} == {404}


@pytest.mark.parametrize("seed", range(3))
def test_jobs_belong_to_their_tenant_under_the_next_leading_keeper(seed: int) -> None:
    world = SimulatedDeployment(seed, has_tenants=True)
    world.at(10.1 + 0.1 * seed, lambda: world.process(world.leading_keeper()).kill())
    for ip in world.keepers:
        world.at(13.5, lambda ip=ip: world.simulation.start_if_down(world.process(ip)))
    world.simulation.run_until(DAY_SECONDS + 10)
    assert violations(world) == []
    assert whole_steps(world) == 5


@pytest.mark.parametrize("seed", range(3))
def test_a_key_that_is_taken_away_ends_requests_but_no_jobs(seed: int) -> None:
    world = SimulatedDeployment(seed, has_tenants=True)
    taken_at = 12.0
    left = {TRAINERS_TENANT: TENANT_KEYS[TRAINERS_TENANT], LOOKUPS_TENANT: ["beta-2"]}
    world.add_operator([(taken_at, world.make_config(9, left))], "op2")
    world.simulation.run_until(DAY_SECONDS)
    assert whole_steps(world) == 5
    times = world.simulation.record_times["lookups"]
    answers = records(world, "lookups")
    late = [
        answer
        for answer, time in zip(answers, times, strict=True)
        if isinstance(answer, LookupAnswer) and time > taken_at + IN_FORCE_SECONDS
    ]
    assert len(late) > 50
    assert {answer.status for answer in late} == {401}
    refused = {answer.request_id for answer in late}
    ran = {a.request_id for a in records(world, "arrivals") if isinstance(a, Arrival)}
    assert not ran & refused
