"""A crowd of clients that ask for large answers and read none doesn't end a gateway."""

from collections.abc import Iterator

import pytest

from tests.users_platform.client_crowds import Client, check_crowd, head, is_answered, lookup
from tests.users_platform.crowds import LARGE_PATH
from tests.users_platform.real_world import FRONT_PORT, ProcessDeployment

MEMORY_MB = 160
MAXIMUM_DESCRIPTORS = 600
CLIENTS = 250


@pytest.fixture
def deployment(
    tmp_path_factory: pytest.TempPathFactory, crowd_lock: None
) -> Iterator[ProcessDeployment]:
    real = ProcessDeployment(
        tmp_path_factory.mktemp("crowd"),
        seed=1,
        steps=1,
        gateways=1,
        crowds=True,
        limits={"MemoryMb": MEMORY_MB, "MaxFds": MAXIMUM_DESCRIPTORS},
    )
    assert is_answered(f"{real.gateways[0].ip}:{FRONT_PORT}", lookup("first"), 200)
    yield real
    real.close()


def asking(number: int) -> Client:
    lines = (f"X-Request-Id: large-{number}", "X-Deadline-Ms: 1500", "Content-Length: 0")
    return lambda: iter((head(f"{LARGE_PATH}{number}", *lines),))


def test_answers_that_are_never_read(deployment: ProcessDeployment) -> None:
    gateway = deployment.gateways[0]
    front = f"{gateway.ip}:{FRONT_PORT}"
    clients = [asking(number) for number in range(CLIENTS)]
    ask = (front, lookup("unread"), 200)
    check_crowd(gateway, front, clients, ask, MEMORY_MB, MAXIMUM_DESCRIPTORS)
