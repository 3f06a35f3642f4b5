"""Days on which servers come back cold: whatever fails, nobody floods them, and work goes on."""

from collections.abc import Callable

import pytest

from tests.users_platform.callers import COLD_REQUESTS_PER_SECOND, COLD_START_SECONDS
from tests.users_platform.checks import (
    answered_share,
    cold_arrivals,
    records,
    violations,
    whole_steps,
)
from tests.users_platform.servers import Engine, RegisteredServer
from tests.users_platform.world import SimulatedDeployment

DAY_SECONDS = 26.0
SHOPS = ("shop-1", "shop-2", "shop-3")
BACK_AT = 11.0
"""When servers come back; a step is under way then."""
DOWN_SECONDS = 3.0
"""Longer than the silence after which a newcomer has its predecessor's address: so that servers are
registered while they are cold."""
LARGE_GROUPS = 60
BEAT_AND_FIRST_GRANT_SECONDS = 0.35
"""From a server's start to its first request: its heartbeat, a push, a wish and a first token."""


@pytest.fixture(autouse=True)
def quick_engines(monkeypatch: pytest.MonkeyPatch) -> None:
    """Engines end a run in 0.1 s: without a limit one gets 40 requests a second."""
    monkeypatch.setattr(Engine, "event_interval_seconds", 0.012)


def shop_day(seed: int) -> SimulatedDeployment:
    """Twelve gateways, 60 lookups a second, and all three shop servers return cold at once."""
    world = SimulatedDeployment(seed, has_cold=True, steps=3)
    world.add_gateways(9)
    world.add_lookup_clients(9)
    for shop in SHOPS:
        world.kill(shop, BACK_AT - DOWN_SECONDS, DOWN_SECONDS)
    return world


def engine_day(seed: int, engines: int = 1) -> SimulatedDeployment:
    """Engines return cold while a step of 180 items runs."""
    world = SimulatedDeployment(seed, has_cold=True, steps=3, groups=LARGE_GROUPS)
    for engine in world.engines[:engines]:
        world.kill(engine, BACK_AT - DOWN_SECONDS, DOWN_SECONDS)
    return world


def run(world: SimulatedDeployment) -> None:
    world.simulation.run_until(DAY_SECONDS)
    assert violations(world) == []
    assert cold_arrivals(world)


@pytest.mark.parametrize("seed", range(3))
def test_many_gateways_together_keep_to_the_bound(seed: int) -> None:
    world = shop_day(seed)
    run(world)
    assert whole_steps(world) == 3
    assert answered_share(world) > 0.7


@pytest.mark.parametrize("seed", range(3))
def test_a_leading_keeper_that_dies_while_it_feeds_adds_no_burst(seed: int) -> None:
    world = engine_day(seed)
    world.at(BACK_AT + 0.6 + 0.2 * seed, lambda: world.process(world.leading_keeper()).kill())
    run(world)


@pytest.mark.parametrize("seed", range(3))
def test_half_of_the_gateways_cut_off_from_control_send_nothing_to_cold_servers(
    seed: int,
) -> None:
    world = shop_day(seed)
    ends = (frozenset(world.gateways[::2]), frozenset(world.controls))
    for at in (BACK_AT - 2.0, BACK_AT + 0.4):
        world.at(at, world.simulation.network.cut, *ends)
        world.at(at, world.simulation.network.cut, *reversed(ends))
        world.at(at + 1.2, world.simulation.network.heal, *ends)
        world.at(at + 1.2, world.simulation.network.heal, *reversed(ends))
    run(world)


def freeze_gateways(world: SimulatedDeployment) -> list[str]:
    return world.gateways[::2]


def freeze_leading_keeper(world: SimulatedDeployment) -> list[str]:
    return [world.leading_keeper()]


def freeze_leading_control(world: SimulatedDeployment) -> list[str]:
    return [world.leading_control()]


@pytest.mark.parametrize("whose", [freeze_gateways, freeze_leading_keeper, freeze_leading_control])
@pytest.mark.parametrize("day", [shop_day, engine_day])
@pytest.mark.parametrize("seconds", [0.25, 1.1])
def test_whoever_stood_still_sends_by_no_old_grant(
    whose: Callable[[SimulatedDeployment], list[str]],
    day: Callable[[int], SimulatedDeployment],
    seconds: float,
) -> None:
    world = day(1)
    frozen: list[str] = []

    def freeze() -> None:
        frozen.extend(whose(world))
        for ip in frozen:
            world.process(ip).freeze()

    def thaw() -> None:
        for ip in frozen:
            world.process(ip).thaw()

    world.at(BACK_AT + 0.7, freeze)
    world.at(BACK_AT + 0.7 + seconds, thaw)
    run(world)


@pytest.mark.parametrize("day", [shop_day, engine_day])
@pytest.mark.parametrize("seed", range(3))
def test_a_new_control_leader_grants_nothing_on_top(
    day: Callable[[int], SimulatedDeployment], seed: int
) -> None:
    world = day(seed)
    at = BACK_AT + 0.5 + 0.2 * seed
    world.at(at, lambda: world.process(world.leading_control()).kill())
    run(world)
    assert whole_steps(world) == 3


@pytest.mark.parametrize("error_seconds", [-3_600.0, 3_600.0])
def test_clocks_that_jump_lengthen_no_grant(error_seconds: float) -> None:
    world = shop_day(2)

    def step() -> None:
        for ip in (*world.controls, *world.keepers, *world.gateways[::2]):
            world.process(ip).wall_error_seconds = error_seconds

    world.at(BACK_AT + 0.5, step)
    run(world)
    assert whole_steps(world) == 3


@pytest.mark.parametrize("seed", range(3))
def test_a_fleet_that_is_cold_as_a_whole_is_fed_as_fast_as_it_bears(seed: int) -> None:
    world = engine_day(seed, engines=3)
    run(world)
    arrivals = cold_arrivals(world)
    assert len(arrivals) == 3
    span = COLD_START_SECONDS - BEAT_AND_FIRST_GRANT_SECONDS
    for times in arrivals.values():
        assert len(times) >= 0.8 * COLD_REQUESTS_PER_SECOND * span
    assert whole_steps(world) == 3


def test_an_engine_and_a_shop_server_return_cold_on_a_usual_day() -> None:
    world = SimulatedDeployment(5, has_cold=True)
    world.kill(world.engines[0], 9.9, 1.0)
    world.kill(SHOPS[0], 10.4, 1.5)
    world.simulation.run_until(34.0)
    assert violations(world) == []
    assert whole_steps(world) == 5
    assert answered_share(world) == 1.0


def test_without_limits_nobody_wishes_and_nothing_is_granted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = SimulatedDeployment(6, steps=3)
    world.kill(SHOPS[0], 9.9, 1.0)
    world.simulation.run_until(DAY_SECONDS)
    assert records(world, "cold") == []
    for ip in (*world.gateways, *world.keepers):
        reducer = world.process(ip).reducer
        assert reducer is not None
        assert reducer.follower.cold.next_request(DAY_SECONDS) is None  # type: ignore[attr-defined]


def test_servers_that_got_cold_while_they_were_cut_off_are_not_flooded_when_they_are_back() -> None:
    world = SimulatedDeployment(4, has_cold=True, steps=3)
    world.add_gateways(9)
    world.add_lookup_clients(9)
    ends = (frozenset(SHOPS), frozenset((*world.gateways, *world.keepers, *world.controls)))

    def get_cold() -> None:
        for shop in SHOPS:
            server = world.process(shop).reducer
            assert isinstance(server, RegisteredServer)
            server.cold_until = BACK_AT + COLD_START_SECONDS

    for sources, destinations in (ends, ends[::-1]):
        world.at(BACK_AT - 4.0, world.simulation.network.cut, sources, destinations)
        world.at(BACK_AT, world.simulation.network.heal, sources, destinations)
    world.at(BACK_AT - 0.5, get_cold)
    run(world)
    assert whole_steps(world) == 3
