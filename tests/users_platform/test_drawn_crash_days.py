"""Days drawn from a seed: requests that end servers, beside kills, cuts and suspended machines."""

from random import Random

import pytest

from tests.users_platform.checks import violations
from tests.users_platform.servers import CRASH_MARK, RegisteredServer
from tests.users_platform.test_crashing_requests import FAULTS, SENDS
from tests.users_platform.world import SimulatedDeployment

DAY_SECONDS = 60.0
CRASHING_CALLS = ("t0-0-1-1", "score-t0-1-0-0", "t0-1-0-0", "t0-2-1-1")
MAXIMUM_SENDS = 200


def draw_callers(world: SimulatedDeployment, random: Random) -> None:
    """Add callers whose requests end servers, and others that keep sending beside them."""
    for number in range(random.randint(1, 3)):
        start = random.uniform(7, 14)
        gap = random.choice([0.05, 0.2, 0.7, 2.0])
        sends = tuple(start + gap * index for index in range(min(MAXIMUM_SENDS, int(30 / gap))))
        world.add_repeating_caller(
            sends,
            f"crash-{number}",
            body=CRASH_MARK + bytes([number]),
            deadline_ms=random.choice([20, 40, 60, 800, 1500]),
        )
    for number in range(random.randint(0, 4)):
        world.add_repeating_caller(
            SENDS,
            f"crash-beside-{number}",
            body=b"beside%d" % number,
            deadline_ms=random.choice([60, 1500]),
        )


def draw_faults(world: SimulatedDeployment, random: Random) -> None:
    """Plan up to two series of faults and up to three suspensions."""
    for strike in random.sample(FAULTS, random.randint(0, 2)):
        strike(world)
    for _ in range(random.randint(0, 3)):
        name = random.choice([*world.gateways, *world.keepers, *world.controls])
        world.at(random.uniform(7, 35), world.process(name).suspend, random.uniform(0.5, 4))


def draw_scenario(seed: int, monkeypatch: pytest.MonkeyPatch) -> SimulatedDeployment:
    """Draw a day; the order of the draws is what makes a seed the same day again."""
    random = Random(seed)
    monkeypatch.setattr(RegisteredServer, "work_seconds", random.choice([0.02, 0.07]))
    world = SimulatedDeployment(
        seed,
        crashing=tuple(random.sample(CRASHING_CALLS, random.randint(0, 2))),
        has_tenants=random.random() < 0.4,
        has_cold=random.random() < 0.25,
    )
    if random.random() < 0.4:
        world.add_gateways(random.choice([2, 6]))
    draw_callers(world, random)
    draw_faults(world, random)
    return world


@pytest.mark.parametrize("seed", [5000, 5001, 5002])
def test_a_drawn_day_keeps_every_rule(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    world = draw_scenario(seed, monkeypatch)
    world.simulation.run_until(DAY_SECONDS)
    assert violations(world) == []


@pytest.mark.parametrize("seed", [5044, 5093])
def test_what_gateways_knew_outlives_them_though_nobody_is_in_touch(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """All gateways are killed every 3 s, and callers leave after 20 ms, before the server ends."""
    world = draw_scenario(seed, monkeypatch)
    world.simulation.run_until(DAY_SECONDS)
    assert violations(world) == []
