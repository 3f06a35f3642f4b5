"""Simulated runs with tenants: tenant of each request, isolation of jobs, revoked keys."""

import pytest

from tests.users_platform.checks import complete_steps, lookup_success_rate, records, violations
from tests.users_platform.lookup_clients import (
    CrossTenantResponse,
    LookupResponse,
)
from tests.users_platform.servers import Arrival
from tests.users_platform.world import (
    LOOKUPS_TENANT,
    TENANT_KEYS,
    TRAINERS_TENANT,
    SimulatedDeployment,
)

RUN_DURATION_SECONDS = 34.0
EFFECTIVE_AFTER_SECONDS = 2.0
"""Time until a sent configuration applies everywhere, without faults."""


@pytest.mark.parametrize("seed", range(3))
def test_run_with_tenants_completes_all_work(seed: int) -> None:
    deployment = SimulatedDeployment(seed, has_tenants=True)
    deployment.simulation.run_until(RUN_DURATION_SECONDS)
    assert violations(deployment) == []
    assert complete_steps(deployment) == 5
    assert lookup_success_rate(deployment) == 1.0
    foreign = [a for a in records(deployment, "foreign") if isinstance(a, CrossTenantResponse)]
    assert len(foreign) > 100
    assert {response.status for response in foreign} == {404}


@pytest.mark.parametrize("seed", range(3))
def test_jobs_keep_their_tenant_over_a_keeper_leader_change(seed: int) -> None:
    deployment = SimulatedDeployment(seed, has_tenants=True)
    deployment.at(10.1 + 0.1 * seed, lambda: deployment.process(deployment.leading_keeper()).kill())
    for ip in deployment.keepers:
        deployment.at(
            13.5, lambda ip=ip: deployment.simulation.start_if_down(deployment.process(ip))
        )
    deployment.simulation.run_until(RUN_DURATION_SECONDS + 10)
    assert violations(deployment) == []
    assert complete_steps(deployment) == 5


@pytest.mark.parametrize("seed", range(3))
def test_revoked_key_rejects_requests_but_keeps_jobs(seed: int) -> None:
    deployment = SimulatedDeployment(seed, has_tenants=True)
    taken_at = 12.0
    left = {TRAINERS_TENANT: TENANT_KEYS[TRAINERS_TENANT], LOOKUPS_TENANT: ["beta-2"]}
    deployment.add_operator([(taken_at, deployment.make_config(9, left))], "op2")
    deployment.simulation.run_until(RUN_DURATION_SECONDS)
    assert complete_steps(deployment) == 5
    times = deployment.simulation.record_times["lookups"]
    responses = records(deployment, "lookups")
    late = [
        response
        for response, time in zip(responses, times, strict=True)
        if isinstance(response, LookupResponse) and time > taken_at + EFFECTIVE_AFTER_SECONDS
    ]
    assert len(late) > 50
    assert {response.status for response in late} == {401}
    refused = {response.request_id for response in late}
    ran = {a.request_id for a in records(deployment, "arrivals") if isinstance(a, Arrival)}
    assert not ran & refused
