"""Crowds of clients that submit large batch jobs don't end the keepers that store them.

Each job is legal. Guards against jobs that are accepted without a limit on what the open ones hold.
The bound is `MemoryMb` of the settings file.
"""

import base64
import json
import random
from collections.abc import Iterator

import pytest

from tests.users_platform.client_crowds import (
    Client,
    Crowd,
    head,
    is_answered,
    lookup,
    memory_peak_bytes,
    reset_memory_peak,
    status_of,
)
from tests.users_platform.real_world import FRONT_PORT, ProcessDeployment
from tests.users_platform.test_real_programs import wait_for_bootstrap

MEMORY_MB = 200
JOBS = 16
ITEMS = 60
ITEM_BYTES = 90_000


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory, crowd_lock: None
) -> Iterator[ProcessDeployment]:
    real = ProcessDeployment(
        tmp_path_factory.mktemp("crowd"),
        seed=1,
        steps=1,
        gateways=1,
        limits={"MemoryMb": MEMORY_MB, "MaxFds": 600},
    )
    wait_for_bootstrap(real)
    assert is_answered(f"{real.gateways[0].ip}:{FRONT_PORT}", lookup("first"), 200)
    yield real
    real.close()


def submitting(number: int) -> Client:
    """Submit a job whose items don't compress."""
    draw = random.Random(number)
    items = [
        {
            "Id": f"{number}-{n}",
            "Path": "/llm-m0/x",
            "Body": base64.b64encode(draw.randbytes(ITEM_BYTES)).decode(),
        }
        for n in range(ITEMS)
    ]
    job = json.dumps({"Requests": items, "Step": 1}).encode()
    lines = (f"Content-Length: {len(job)}", f"X-Request-Id: crowd-job-{number}")
    return lambda: iter((head("/llm-m0/job", *lines, "Connection: close"), job))


@pytest.mark.parametrize("at_once", (1, JOBS), ids=("one after the other", "at once"))
def test_large_jobs(deployment: ProcessDeployment, at_once: int) -> None:
    front = f"{deployment.gateways[0].ip}:{FRONT_PORT}"
    machines = [*deployment.keepers, *deployment.gateways]
    pids = [machine.process.pid for machine in machines if machine.process is not None]
    for pid in pids:
        reset_memory_peak(pid)
    statuses: list[int] = []
    for first in range(0, JOBS, at_once):
        clients = [submitting(at_once * 100 + first + n) for n in range(at_once)]
        crowd = Crowd(front, clients, reads=True)
        try:
            crowd.wait()
            statuses += [status_of(member.received) for member in crowd.members]
        finally:
            crowd.close()
    assert is_answered(front, lookup("jobs"), 200)
    assert set(statuses) <= {0, 202, 503, 504}
    assert all(machine.process and machine.process.poll() is None for machine in machines)
    assert max(memory_peak_bytes(pid) for pid in pids) < MEMORY_MB * 1_000_000
