"""The limits of a configuration apply at all gateways, including restarted ones."""

from tests.users_platform.checks import records, violations
from tests.users_platform.lookup_clients import LookupResponse
from tests.users_platform.world import SimulatedDeployment

MAXIMUM_BODY_BYTES = 1_000
SENDS = tuple(8.0 + 0.1 * number for number in range(60))


def statuses(deployment: SimulatedDeployment, name: str) -> set[int]:
    responses = [
        a for a in records(deployment, f"repeated-{name}") if isinstance(a, LookupResponse)
    ]
    assert len(responses) == len(SENDS)
    return {response.status for response in responses}


def test_oversized_bodies_are_rejected_at_every_gateway() -> None:
    deployment = SimulatedDeployment(7)
    deployment.add_operator(
        [(6.0, {**deployment.make_config(9), "Limits": {"MaxBodyBytes": MAXIMUM_BODY_BYTES}})]
    )
    deployment.kill(deployment.gateways[0], 7.0, 0.3)
    deployment.add_repeating_caller(SENDS, "allowed", body=b"x" * MAXIMUM_BODY_BYTES)
    deployment.add_repeating_caller(SENDS, "larger", body=b"x" * (MAXIMUM_BODY_BYTES + 1))
    deployment.simulation.run_until(16.0)
    assert statuses(deployment, "allowed") == {200}
    assert statuses(deployment, "larger") == {413}
    assert violations(deployment) == []
