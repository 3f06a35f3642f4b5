"""Server stubs respond to health checks without recording a run.

Guards against the health check after a connection reset being counted as a request.
"""

from collections.abc import Callable
from typing import Any

import pytest

from merlinstand.common.ids import NodeId, RequestId
from merlinstand.kernel.effects import Respond
from merlinstand.kernel.events import RequestReceived, Started
from tests.users_platform.servers import HEALTH_PATH, Engine, RegisteredServer


def plain_server() -> RegisteredServer:
    return RegisteredServer("shop", "10.0.0.1:1", "z", ["10.0.0.9:1"])


def engine() -> Engine:
    return Engine("llm", "10.0.0.1:1", "z", ["10.0.0.9:1"], ["m0"])


@pytest.mark.parametrize("make", [plain_server, engine])
@pytest.mark.parametrize("is_addressed", [True, False])
def test_health_check_starts_no_run(make: Callable[[], Any], is_addressed: bool) -> None:
    server = make()
    server.start(Started(NodeId("s"), 1, seed=7), 0.0)
    expected = server.instance if is_addressed else "i-another"
    headers = {"x-request-id": "q", "x-expect-instance": expected}
    asked = RequestReceived(RequestId("r"), "GET", HEALTH_PATH, headers, b"")
    [response] = server.reduce(asked, 1.0)
    assert isinstance(response, Respond)
    assert response.status == (200 if is_addressed else 421)
    assert response.headers["X-Instance-Id"] == server.instance
