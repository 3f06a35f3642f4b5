"""The largest request that the pages allow is served in calm on the smallest machine, alone.

Guards against limits for crowds that refuse a single request, whatever its framing.
"""

import json
from collections.abc import Iterator

import gevent
import pytest

from tests.users_platform.callers import make_config
from tests.users_platform.client_crowds import (
    ORDINARY_SECONDS,
    Client,
    announced,
    chunked,
    is_answered,
    lookup,
    memory_peak_bytes,
    reset_memory_peak,
    send_request,
    status_of,
)
from tests.users_platform.real_world import CONTROL_PORT, FRONT_PORT, ProcessDeployment
from tests.users_platform.test_request_limits import EFFECTIVE_AFTER_SECONDS, send
from tests.users_platform.world import TENANT_KEYS

MEMORY_MB = 160
BODY_BYTES = 32 * 1024 * 1024
LOOKUP = "/lookup/large"
END = b"0\r\n\r\n"


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory, crowd_lock: None
) -> Iterator[ProcessDeployment]:
    limits = {"MemoryMb": MEMORY_MB, "MaxFds": 600}
    real = ProcessDeployment(
        tmp_path_factory.mktemp("single"), seed=1, steps=0, gateways=1, limits=limits
    )
    assert is_answered(f"{real.gateways[0].ip}:{FRONT_PORT}", lookup("first"), 200)
    content = make_config(50, {"shop": [], "llm-m0": ["m0"]}, keys=TENANT_KEYS)
    content["Limits"] = {"MaxBodyBytes": BODY_BYTES}
    content["Routes"][0]["TimeoutMs"] = 60_000
    body = json.dumps(content).encode()
    assert send(real.control_ips[0], CONTROL_PORT, "PUT", "/config", body) == 200
    gevent.sleep(EFFECTIVE_AFTER_SECONDS)
    yield real
    real.close()


@pytest.mark.parametrize(
    "client",
    [
        pytest.param(announced(LOOKUP, BODY_BYTES, BODY_BYTES), id="announced"),
        pytest.param(chunked(LOOKUP, BODY_BYTES, 65_536, END), id="chunks of 64 KiB"),
        pytest.param(chunked(LOOKUP, BODY_BYTES, 1024, END), id="chunks of 1 KiB"),
        pytest.param(chunked(LOOKUP, BODY_BYTES, 64, END), id="chunks of 64 bytes"),
    ],
)
def test_largest_request_is_served(deployment: ProcessDeployment, client: Client) -> None:
    check_served(deployment, client)


def test_largest_request_in_chunks_of_one_byte_is_served(deployment: ProcessDeployment) -> None:
    check_served(deployment, chunked(LOOKUP, BODY_BYTES, 1, END))


def check_served(deployment: ProcessDeployment, client: Client) -> None:
    gateway = deployment.gateways[0]
    assert gateway.process is not None
    pid = gateway.process.pid
    reset_memory_peak(pid)
    first, *rest = client()
    data = first[:-2] + b"X-Request-Id: large\r\nConnection: close\r\n\r\n" + b"".join(rest)
    response = send_request(f"{gateway.ip}:{FRONT_PORT}", data, seconds=ORDINARY_SECONDS)
    assert status_of(response) == 200
    assert memory_peak_bytes(pid) < MEMORY_MB * 1_000_000
