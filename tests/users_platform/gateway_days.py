"""Randomized runs in which gateways are killed while requests crash servers.

`test_gateway_days` runs the seeds that once had violations. To run a range of seeds:

    PYTHONPATH=platform python -m tests.users_platform.gateway_days 1 200
    PYTHONPATH=platform python -m tests.users_platform.gateway_days 1 200 same-ids
"""

import sys
from functools import partial
from multiprocessing import Pool
from random import Random

import pytest

from tests.users_platform.checks import records, violations
from tests.users_platform.servers import CRASH_BODY_PREFIX, RegisteredServer
from tests.users_platform.world import SimulatedDeployment

RUN_DURATION_SECONDS = 50.0
FIRST_FAULT_SECONDS = 7.0
LAST_FAULT_SECONDS = 36.0
MAXIMUM_SENDS = 300
POLL_INTERVAL_SECONDS = 0.002
"""Interval of checks whether a crashing request has reached a server."""
DOWN_SECONDS = (0.2, 1.5)
"""Minimum and maximum downtime of a killed gateway."""
WORKERS = 4


def draw_callers(deployment: SimulatedDeployment, random: Random) -> None:
    """Add callers of crashing requests with various deadlines, and concurrent other callers."""
    for number in range(random.randint(1, 3)):
        start = random.uniform(FIRST_FAULT_SECONDS, 14)
        interval = random.choice([0.05, 0.1, 0.2, 0.7, 2.0])
        count = min(MAXIMUM_SENDS, int(30 / interval))
        sends = tuple(start + interval * (index + random.uniform(0, 0.3)) for index in range(count))
        deployment.add_repeating_caller(
            sends,
            f"crash-{number}",
            body=CRASH_BODY_PREFIX + bytes([number]),
            deadline_ms=random.choice([15, 20, 30, 40, 60, 120, 800]),
        )
    for number in range(random.randint(0, 3)):
        sends = tuple(8.0 + 0.5 * index for index in range(50))
        deadline_ms = random.choice([40, 60, 1500])
        body = b"beside%d" % number
        deployment.add_repeating_caller(
            sends, f"crash-beside-{number}", body=body, deadline_ms=deadline_ms
        )


def kill_in_sequence(deployment: SimulatedDeployment, random: Random) -> None:
    """Kill each gateway periodically, at staggered times."""
    period_seconds = random.uniform(1.0, 4.0)
    rounds = int((LAST_FAULT_SECONDS - FIRST_FAULT_SECONDS) / period_seconds)
    for ip in deployment.gateways:
        first = random.uniform(FIRST_FAULT_SECONDS, FIRST_FAULT_SECONDS + period_seconds)
        for round_number in range(rounds):
            deployment.kill(ip, first + round_number * period_seconds, random.uniform(0.2, 0.7))


def kill_at_random(deployment: SimulatedDeployment, random: Random) -> None:
    """Kill gateways at random times, some with a power loss of the machine."""
    for _ in range(random.randint(5, 60)):
        ip = random.choice(deployment.gateways)
        at = random.uniform(FIRST_FAULT_SECONDS, LAST_FAULT_SECONDS)
        has_power_loss = random.random() < 0.3
        deployment.kill(ip, at, random.uniform(*DOWN_SECONDS), power_loss=has_power_loss)


def kill_senders(deployment: SimulatedDeployment, random: Random) -> None:
    """Kill a share of the gateways that sent a crashing request, some time after its arrival."""
    share = random.choice([0.3, 0.6, 1.0])
    delay_seconds = random.choice([0.001, 0.01, 0.03, 0.06, 0.2, 0.7])
    seen = 0

    def poll() -> None:
        nonlocal seen
        arrivals = records(deployment, "crashes")
        now = deployment.simulation.clock.now
        for arrival in arrivals[seen:]:
            if arrival.sender in deployment.gateways and random.random() < share:
                deployment.kill(arrival.sender, now + delay_seconds, random.uniform(*DOWN_SECONDS))
        seen = len(arrivals)
        if now < LAST_FAULT_SECONDS:
            deployment.at(now + POLL_INTERVAL_SECONDS, poll)

    deployment.at(FIRST_FAULT_SECONDS, poll)


def kill_control(deployment: SimulatedDeployment, random: Random) -> None:
    """Kill the leading control daemon several times, or cut the power of all machines once."""
    if random.random() < 0.5:
        at = random.uniform(FIRST_FAULT_SECONDS, LAST_FAULT_SECONDS)
        for ip in (*deployment.controls, *deployment.keepers, *deployment.gateways):
            deployment.kill(ip, at, 0.8, power_loss=True)
        return
    for _ in range(random.randint(1, 4)):
        at = random.uniform(FIRST_FAULT_SECONDS, LAST_FAULT_SECONDS)
        deployment.at(
            at, lambda: deployment.process(deployment.leading_control()).kill(power_loss=True)
        )
        deployment.at(at + 1.5, start_controls, deployment)


def start_controls(deployment: SimulatedDeployment) -> None:
    """Start the control daemons that are not running."""
    for ip in deployment.controls:
        deployment.simulation.start_if_down(deployment.process(ip))


def draw_gateway_scenario(
    seed: int, monkeypatch: pytest.MonkeyPatch, keeps_id: bool = False
) -> SimulatedDeployment:
    """Draw a scenario; the order of the draws must stay, so that a seed is reproducible.

    Args:
        seed: Seed of all draws.
        monkeypatch: Reverts the changes to the stubs' classes.
        keeps_id: Whether servers keep their ids over restarts.
    """
    random = Random(seed)
    monkeypatch.setattr(RegisteredServer, "work_seconds", random.choice([0.02, 0.07]))
    monkeypatch.setattr(RegisteredServer, "keeps_id", keeps_id)
    deployment = SimulatedDeployment(seed)
    deployment.add_gateways(random.choice([0, 0, 2, 6]))
    draw_callers(deployment, random)
    for fault in random.sample(
        [kill_in_sequence, kill_at_random, kill_senders], random.randint(1, 2)
    ):
        fault(deployment, random)
    if random.random() < 0.4:
        kill_control(deployment, random)
    return deployment


def run_scenario(seed: int, keeps_id: bool = False) -> list[str]:
    """Run the scenario of a seed; return the violations."""
    with pytest.MonkeyPatch.context() as monkeypatch:
        deployment = draw_gateway_scenario(seed, monkeypatch, keeps_id)
        deployment.simulation.run_until(RUN_DURATION_SECONDS)
        return violations(deployment)


def run_seeds(first: int, last: int, keeps_id: bool = False) -> int:
    """Run a range of seeds and print violations; return the number of failed seeds."""
    failed = 0
    with Pool(WORKERS) as pool:
        seeds = range(first, last + 1)
        for seed, problems in zip(
            seeds, pool.imap(partial(run_scenario, keeps_id=keeps_id), seeds), strict=True
        ):
            if problems:
                failed += 1
                print(f"seed={seed} violations={problems}", flush=True)
    print(f"seeds={last - first + 1} failed={failed}")
    return failed


if __name__ == "__main__":
    sys.exit(run_seeds(int(sys.argv[1]), int(sys.argv[2]), "same-ids" in sys.argv) > 0)
