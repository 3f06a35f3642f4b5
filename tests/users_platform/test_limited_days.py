"""The limits of a configuration in force at all gateways, also those that start later."""

from tests.users_platform.checks import records, violations
from tests.users_platform.lookup_clients import LookupAnswer
from tests.users_platform.world import SimulatedDeployment

MAXIMUM_BODY_BYTES = 1_000
SENDS = tuple(8.0 + 0.1 * number for number in range(60))


def statuses(world: SimulatedDeployment, name: str) -> set[int]:
    answers = [a for a in records(world, f"repeated-{name}") if isinstance(a, LookupAnswer)]
    assert len(answers) == len(SENDS)
    return {answer.status for answer in answers}


def test_bodies_over_the_limit_are_refused_at_every_gateway() -> None:
    world = SimulatedDeployment(7)
    world.add_operator(
        [(6.0, {**world.make_config(9), "Limits": {"MaxBodyBytes": MAXIMUM_BODY_BYTES}})]
    )
    world.kill(world.gateways[0], 7.0, 0.3)
    world.add_repeating_caller(SENDS, "allowed", body=b"x" * MAXIMUM_BODY_BYTES)
    world.add_repeating_caller(SENDS, "larger", body=b"x" * (MAXIMUM_BODY_BYTES + 1))
    world.simulation.run_until(16.0)
    assert statuses(world, "allowed") == {200}
    assert statuses(world, "larger") == {413}
    assert violations(world) == []
