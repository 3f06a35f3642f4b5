"""Runs with cold servers: their request rate stays limited under faults, and work continues."""

from collections.abc import Callable

import pytest

from tests.users_platform.callers import COLD_REQUESTS_PER_SECOND, COLD_START_SECONDS
from tests.users_platform.checks import (
    cold_arrivals,
    complete_steps,
    lookup_success_rate,
    records,
    violations,
)
from tests.users_platform.servers import Engine, RegisteredServer
from tests.users_platform.world import SimulatedDeployment

RUN_DURATION_SECONDS = 26.0
SHOPS = ("shop-1", "shop-2", "shop-3")
BACK_AT = 11.0
"""Restart time of the servers, during a step."""
DOWN_SECONDS = 3.0
"""Exceeds the silence after which a new server may take over an address, so that servers register
while they are cold."""
LARGE_GROUPS = 60
FIRST_GRANT_DELAY_SECONDS = 0.35
"""Time from a server's start to its first request: heartbeat, push, grant request and grant."""


@pytest.fixture(autouse=True)
def fast_engines(monkeypatch: pytest.MonkeyPatch) -> None:
    """Runs take 0.1 s: without a limit an engine would get 40 requests per second."""
    monkeypatch.setattr(Engine, "event_interval_seconds", 0.012)


def shop_scenario(seed: int) -> SimulatedDeployment:
    """Twelve gateways and 60 lookups per second; all three shop servers restart at once."""
    deployment = SimulatedDeployment(seed, has_cold=True, steps=3)
    deployment.add_gateways(9)
    deployment.add_lookup_clients(9)
    for shop in SHOPS:
        deployment.kill(shop, BACK_AT - DOWN_SECONDS, DOWN_SECONDS)
    return deployment


def engine_scenario(seed: int, engines: int = 1) -> SimulatedDeployment:
    """Engines restart cold while a step of 180 items runs."""
    deployment = SimulatedDeployment(seed, has_cold=True, steps=3, groups=LARGE_GROUPS)
    for engine in deployment.engines[:engines]:
        deployment.kill(engine, BACK_AT - DOWN_SECONDS, DOWN_SECONDS)
    return deployment


def run(deployment: SimulatedDeployment) -> None:
    deployment.simulation.run_until(RUN_DURATION_SECONDS)
    assert violations(deployment) == []
    assert cold_arrivals(deployment)


@pytest.mark.parametrize("seed", range(3))
def test_gateways_together_respect_the_cold_request_rate(seed: int) -> None:
    deployment = shop_scenario(seed)
    run(deployment)
    assert complete_steps(deployment) == 3
    assert lookup_success_rate(deployment) > 0.7


@pytest.mark.parametrize("seed", range(3))
def test_killed_leading_keeper_causes_no_burst_to_cold_engines(seed: int) -> None:
    deployment = engine_scenario(seed)
    deployment.at(
        BACK_AT + 0.6 + 0.2 * seed, lambda: deployment.process(deployment.leading_keeper()).kill()
    )
    run(deployment)


@pytest.mark.parametrize("seed", range(3))
def test_gateways_partitioned_from_control_respect_the_cold_request_rate(
    seed: int,
) -> None:
    deployment = shop_scenario(seed)
    sides = (frozenset(deployment.gateways[::2]), frozenset(deployment.controls))
    for at in (BACK_AT - 2.0, BACK_AT + 0.4):
        deployment.at(at, deployment.simulation.network.cut, *sides)
        deployment.at(at, deployment.simulation.network.cut, *reversed(sides))
        deployment.at(at + 1.2, deployment.simulation.network.heal, *sides)
        deployment.at(at + 1.2, deployment.simulation.network.heal, *reversed(sides))
    run(deployment)


def freeze_gateways(deployment: SimulatedDeployment) -> list[str]:
    return deployment.gateways[::2]


def freeze_leading_keeper(deployment: SimulatedDeployment) -> list[str]:
    return [deployment.leading_keeper()]


def freeze_leading_control(deployment: SimulatedDeployment) -> list[str]:
    return [deployment.leading_control()]


@pytest.mark.parametrize("select", [freeze_gateways, freeze_leading_keeper, freeze_leading_control])
@pytest.mark.parametrize("scenario", [shop_scenario, engine_scenario])
@pytest.mark.parametrize("seconds", [0.25, 1.1])
def test_frozen_daemons_do_not_use_expired_grants(
    select: Callable[[SimulatedDeployment], list[str]],
    scenario: Callable[[int], SimulatedDeployment],
    seconds: float,
) -> None:
    deployment = scenario(1)
    frozen: list[str] = []

    def freeze() -> None:
        frozen.extend(select(deployment))
        for ip in frozen:
            deployment.process(ip).freeze()

    def thaw() -> None:
        for ip in frozen:
            deployment.process(ip).thaw()

    deployment.at(BACK_AT + 0.7, freeze)
    deployment.at(BACK_AT + 0.7 + seconds, thaw)
    run(deployment)


@pytest.mark.parametrize("scenario", [shop_scenario, engine_scenario])
@pytest.mark.parametrize("seed", range(3))
def test_new_control_leader_grants_no_extra_requests(
    scenario: Callable[[int], SimulatedDeployment], seed: int
) -> None:
    deployment = scenario(seed)
    at = BACK_AT + 0.5 + 0.2 * seed
    deployment.at(at, lambda: deployment.process(deployment.leading_control()).kill())
    run(deployment)
    assert complete_steps(deployment) == 3


@pytest.mark.parametrize("error_seconds", [-3_600.0, 3_600.0])
def test_wall_clock_jumps_do_not_extend_grants(error_seconds: float) -> None:
    deployment = shop_scenario(2)

    def step() -> None:
        for ip in (*deployment.controls, *deployment.keepers, *deployment.gateways[::2]):
            deployment.process(ip).wall_error_seconds = error_seconds

    deployment.at(BACK_AT + 0.5, step)
    run(deployment)
    assert complete_steps(deployment) == 3


@pytest.mark.parametrize("seed", range(3))
def test_fleet_of_only_cold_engines_is_used_up_to_its_rate(seed: int) -> None:
    deployment = engine_scenario(seed, engines=3)
    run(deployment)
    arrivals = cold_arrivals(deployment)
    assert len(arrivals) == 3
    span = COLD_START_SECONDS - FIRST_GRANT_DELAY_SECONDS
    for times in arrivals.values():
        assert len(times) >= 0.8 * COLD_REQUESTS_PER_SECOND * span
    assert complete_steps(deployment) == 3


def test_cold_engine_and_shop_server_without_other_faults() -> None:
    deployment = SimulatedDeployment(5, has_cold=True)
    deployment.kill(deployment.engines[0], 9.9, 1.0)
    deployment.kill(SHOPS[0], 10.4, 1.5)
    deployment.simulation.run_until(34.0)
    assert violations(deployment) == []
    assert complete_steps(deployment) == 5
    assert lookup_success_rate(deployment) == 1.0


def test_without_cold_limits_no_grants_are_requested(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    deployment = SimulatedDeployment(6, steps=3)
    deployment.kill(SHOPS[0], 9.9, 1.0)
    deployment.simulation.run_until(RUN_DURATION_SECONDS)
    assert records(deployment, "cold") == []
    for ip in (*deployment.gateways, *deployment.keepers):
        reducer = deployment.process(ip).reducer
        assert reducer is not None
        assert reducer.follower.cold_budget.next_request(RUN_DURATION_SECONDS) is None  # type: ignore[attr-defined]


def test_servers_that_became_cold_during_a_partition_are_not_overloaded() -> None:
    deployment = SimulatedDeployment(4, has_cold=True, steps=3)
    deployment.add_gateways(9)
    deployment.add_lookup_clients(9)
    sides = (
        frozenset(SHOPS),
        frozenset((*deployment.gateways, *deployment.keepers, *deployment.controls)),
    )

    def become_cold() -> None:
        for shop in SHOPS:
            server = deployment.process(shop).reducer
            assert isinstance(server, RegisteredServer)
            server.cold_until = BACK_AT + COLD_START_SECONDS

    for sources, destinations in (sides, sides[::-1]):
        deployment.at(BACK_AT - 4.0, deployment.simulation.network.cut, sources, destinations)
        deployment.at(BACK_AT, deployment.simulation.network.heal, sources, destinations)
    deployment.at(BACK_AT - 0.5, become_cold)
    run(deployment)
    assert complete_steps(deployment) == 3
