"""The request limits of the operator's configuration apply to callers.

Guards against limits that are replicated to the gateways but not enforced, so that only the
constants of `runtime` apply.
"""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import gevent
import pytest
from geventhttpclient import HTTPClient

from tests.users_platform.callers import HOST, make_config
from tests.users_platform.real_world import CONTROL_PORT, FRONT_PORT, ProcessDeployment
from tests.users_platform.test_real_programs import wait_for_bootstrap
from tests.users_platform.world import LOOKUPS_TENANT, TENANT_KEYS

MAXIMUM_BODY_BYTES = 1_000
EFFECTIVE_AFTER_SECONDS = 2.0


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[ProcessDeployment]:
    real = ProcessDeployment(tmp_path, seed=1)
    yield real
    real.close()


def send(ip: str, port: int, method: str, path: str, body: bytes, headers: Any = None) -> int:
    """Send a request and follow redirects to the leading control daemon; return the status."""
    client = HTTPClient(ip, port, network_timeout=10.0, connection_timeout=10.0)
    try:
        response = client.request(method, path, body=body, headers=headers or {})
        response.read()
        location = response.get("location")
    finally:
        client.close()
    if location:
        leader, _colon, leader_port = location.split("/")[2].rpartition(":")
        return send(leader, int(leader_port), method, path, body, headers)
    return int(response.status_code)


def test_body_over_the_configured_limit_is_rejected(deployment: ProcessDeployment) -> None:
    wait_for_bootstrap(deployment)
    content = make_config(50, {"shop": [], "llm-m0": ["m0"]}, keys=TENANT_KEYS)
    content["Limits"] = {"MaxBodyBytes": MAXIMUM_BODY_BYTES}
    body = json.dumps(content).encode()
    assert send(deployment.control_ips[0], CONTROL_PORT, "PUT", "/config", body) == 200
    gevent.sleep(EFFECTIVE_AFTER_SECONDS)
    headers = {
        "Host": HOST,
        "Authorization": f"Bearer {TENANT_KEYS[LOOKUPS_TENANT][0]}",
        "X-Request-Id": "limits-1",
    }
    too_large = b"x" * (MAXIMUM_BODY_BYTES + 1)
    status = send(deployment.gateways[0].ip, FRONT_PORT, "POST", "/lookup/1", too_large, headers)
    assert status == 413
