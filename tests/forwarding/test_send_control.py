"""How many connections to a backend one of many gateways may use."""

import pytest

from merlinstand.forwarding.send_control import SendControl
from tests.forwarding.fixed_load import FixedLoad


@pytest.mark.parametrize(
    ("connections", "gateways", "expected"),
    [
        pytest.param(96, 48, 2, id="an equal share"),
        pytest.param(16, 48, 1, id="fewer than gateways: one each"),
        pytest.param(16, 0, 0, id="gateways unknown: no limit"),
        pytest.param(0, 48, 0, id="connections unknown: no limit"),
    ],
)
def test_connections_of_a_backend_are_divided_among_gateways(
    connections: int, gateways: int, expected: int
) -> None:
    """A few backends with many gateways would reset connections above their maximum."""
    control = SendControl(
        FixedLoad(gateways=gateways), maximum_connections=lambda _service: connections
    )
    assert control.maximum_in_flight("shop", 0.0) == expected
