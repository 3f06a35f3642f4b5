"""Random scenarios: crashing requests combined with kills, partitions and suspensions."""

from random import Random

import pytest

from tests.users_platform.checks import violations
from tests.users_platform.servers import CRASH_BODY_PREFIX, RegisteredServer
from tests.users_platform.test_crashing_requests import FAULTS, SENDS
from tests.users_platform.world import SimulatedDeployment

RUN_DURATION_SECONDS = 60.0
CRASHING_CALLS = ("score-t0-0-1-1", "score-t0-1-0-0", "score-t0-1-0-1", "score-t0-2-1-1")
MAXIMUM_SENDS = 200


def draw_callers(deployment: SimulatedDeployment, random: Random) -> None:
    """Add callers of crashing requests, and concurrent callers of other requests."""
    for number in range(random.randint(1, 3)):
        start = random.uniform(7, 14)
        gap = random.choice([0.05, 0.2, 0.7, 2.0])
        sends = tuple(start + gap * index for index in range(min(MAXIMUM_SENDS, int(30 / gap))))
        deployment.add_repeating_caller(
            sends,
            f"crash-{number}",
            body=CRASH_BODY_PREFIX + bytes([number]),
            deadline_ms=random.choice([20, 40, 60, 800, 1500]),
        )
    for number in range(random.randint(0, 4)):
        deployment.add_repeating_caller(
            SENDS,
            f"crash-beside-{number}",
            body=b"beside%d" % number,
            deadline_ms=random.choice([60, 1500]),
        )


def draw_faults(deployment: SimulatedDeployment, random: Random) -> None:
    """Schedule up to two series of faults and up to three suspensions."""
    for fault in random.sample(FAULTS, random.randint(0, 2)):
        fault(deployment)
    for _ in range(random.randint(0, 3)):
        name = random.choice([*deployment.gateways, *deployment.keepers, *deployment.controls])
        deployment.at(
            random.uniform(7, 35), deployment.process(name).suspend, random.uniform(0.5, 4)
        )


def draw_scenario(seed: int, monkeypatch: pytest.MonkeyPatch) -> SimulatedDeployment:
    """Draw a scenario; the order of the draws must stay, so that a seed is reproducible."""
    random = Random(seed)
    monkeypatch.setattr(RegisteredServer, "work_seconds", random.choice([0.02, 0.07]))
    deployment = SimulatedDeployment(
        seed,
        crashing_ids=tuple(random.sample(CRASHING_CALLS, random.randint(0, 2))),
        has_tenants=random.random() < 0.4,
        has_cold=random.random() < 0.25,
    )
    if random.random() < 0.4:
        deployment.add_gateways(random.choice([2, 6]))
    draw_callers(deployment, random)
    draw_faults(deployment, random)
    return deployment


@pytest.mark.parametrize("seed", [5000, 5001, 5002])
def test_random_scenario_has_no_violations(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    deployment = draw_scenario(seed, monkeypatch)
    deployment.simulation.run_until(RUN_DURATION_SECONDS)
    assert violations(deployment) == []


@pytest.mark.parametrize("seed", [5044, 5093])
def test_crash_evidence_survives_gateway_kills_after_callers_left(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Gateways are killed every 3 s; callers leave after 20 ms, before the server crashes."""
    deployment = draw_scenario(seed, monkeypatch)
    deployment.simulation.run_until(RUN_DURATION_SECONDS)
    assert violations(deployment) == []
