"""Crowds of clients that send large request bodies don't end a process.

Guards against bodies that are held without a limit on their sum: the process must stay within
`MemoryMb` and `MaxFds` of its settings file, and answer an ordinary request during the crowd and
after it. The bounds are those settings, whatever the speed of the machine.
"""

import signal
from collections.abc import Callable, Iterator

import gevent
import pytest

from tests.users_platform.client_crowds import (
    Client,
    Crowd,
    announced,
    check_crowd,
    chunked,
    head,
    is_answered,
    lookup,
    pieces,
    read_only,
    send_request,
    status_of,
)
from tests.users_platform.real_world import (
    CONTROL_PORT,
    FRONT_PORT,
    INTERNAL_PORT,
    READY_PORT,
    Machine,
    ProcessDeployment,
)

MEMORY_MB = 160
MAXIMUM_DESCRIPTORS = 600
BODY_BYTES = 8 * 1024 * 1024
"""The largest body that the configuration of the deployment allows callers to send."""
CONTROL_BODY_BYTES = 16 * 1024 * 1024
CROWD = 40
SMALL_CHUNKS_CROWD = 200
SMALL_CHUNK_BYTES = 16
SMALL_CHUNKED_BODY_BYTES = 480_000
STOP_SECONDS = 20.0

LOOKUP = "/lookup/large"
KEEPER_PORT = INTERNAL_PORT + 1


@pytest.fixture(scope="module")
def deployment(
    tmp_path_factory: pytest.TempPathFactory, crowd_lock: None
) -> Iterator[ProcessDeployment]:
    real = ProcessDeployment(
        tmp_path_factory.mktemp("crowd"),
        seed=1,
        steps=1,
        gateways=1,
        limits={"MemoryMb": MEMORY_MB, "MaxFds": MAXIMUM_DESCRIPTORS},
    )
    assert is_answered(f"{real.gateways[0].ip}:{FRONT_PORT}", lookup("first"), 200)
    yield real
    real.close()


def unfinished(path: str, size: int, method: str = "POST") -> list[Client]:
    """Each announces a body and sends all but its last byte."""
    return [announced(path, size, size - 1, method=method)] * CROWD


def whole(path: str, size: int, method: str = "POST") -> list[Client]:
    """Each sends a whole body at once."""
    return [announced(path, size, size, "Connection: close", method=method)] * CROWD


def in_large_chunks(path: str, size: int, method: str = "POST") -> list[Client]:
    """Each sends a chunked body without its last chunk."""
    return [chunked(path, size, 65_536, method=method)] * CROWD


def in_small_chunks(path: str, _size: int, method: str = "POST") -> list[Client]:
    """Each sends a body of very small chunks without its last chunk."""
    client = chunked(path, SMALL_CHUNKED_BODY_BYTES, SMALL_CHUNK_BYTES, method=method)
    return [client] * SMALL_CHUNKS_CROWD


def over_the_limit(path: str, size: int, method: str = "POST") -> list[Client]:
    """Half of them announce a body far over the limit, the others just send it in chunks."""
    far = 8 * size
    return [announced(path, far, far, method=method), chunked(path, far, 65_536, method=method)] * (
        CROWD // 2
    )


def expecting(path: str, size: int, method: str = "POST") -> list[Client]:
    """Each asks for `100 Continue` and sends all but the last byte anyway."""
    return [announced(path, size, size - 1, "Expect: 100-continue", method=method)] * CROWD


def mixed(path: str, size: int, method: str = "POST") -> list[Client]:
    """Some of each."""
    shapes = (unfinished, whole, in_large_chunks, in_small_chunks, over_the_limit, expecting)
    return [client for shape in shapes for client in shape(path, size, method)[: CROWD // 3]]


SHAPES = (unfinished, whole, in_large_chunks, in_small_chunks, over_the_limit, expecting, mixed)


def check(
    machine: Machine, crowd_address: str, clients: list[Client], ask: tuple[str, bytes, int]
) -> None:
    check_crowd(machine, crowd_address, clients, ask, MEMORY_MB, MAXIMUM_DESCRIPTORS)


@pytest.mark.parametrize("shape", SHAPES, ids=lambda shape: shape.__name__)
def test_crowd_at_the_front_address(
    deployment: ProcessDeployment, shape: Callable[..., list[Client]]
) -> None:
    gateway = deployment.gateways[0]
    front = f"{gateway.ip}:{FRONT_PORT}"
    check(gateway, front, shape(LOOKUP, BODY_BYTES), (front, lookup("front"), 200))


def test_crowd_that_comes_three_times(deployment: ProcessDeployment) -> None:
    gateway = deployment.gateways[0]
    front = f"{gateway.ip}:{FRONT_PORT}"
    for _ in range(3):
        check(gateway, front, mixed(LOOKUP, BODY_BYTES), (front, lookup("thrice"), 200))


@pytest.mark.parametrize("shape", (unfinished, whole, mixed), ids=lambda shape: shape.__name__)
def test_crowd_at_the_ready_address(
    deployment: ProcessDeployment, shape: Callable[..., list[Client]]
) -> None:
    gateway = deployment.gateways[0]
    clients = shape("/readyz", BODY_BYTES)
    ask = (f"{gateway.ip}:{FRONT_PORT}", lookup("ready"), 200)
    check(gateway, f"{gateway.ip}:{READY_PORT}", clients, ask)


@pytest.mark.parametrize(
    ("method", "path"), [("PUT", "/config"), ("POST", "/servers/x")], ids=("config", "heartbeat")
)
@pytest.mark.parametrize("shape", (unfinished, whole, mixed), ids=lambda shape: shape.__name__)
def test_crowd_at_a_control_daemon(
    deployment: ProcessDeployment, shape: Callable[..., list[Client]], method: str, path: str
) -> None:
    control = deployment.controls[0]
    address = f"{control.ip}:{CONTROL_PORT}"
    clients = shape(path, CONTROL_BODY_BYTES, method)
    check(control, address, clients, (address, read_only("/nothing-here"), 404))


@pytest.mark.parametrize("shape", (unfinished, whole, mixed), ids=lambda shape: shape.__name__)
def test_crowd_at_a_keeper(
    deployment: ProcessDeployment, shape: Callable[..., list[Client]]
) -> None:
    keeper = deployment.keepers[0]
    address = f"{keeper.ip}:{KEEPER_PORT}"
    clients = shape("/v1/batch-call", CONTROL_BODY_BYTES)
    check(keeper, address, clients, (address, read_only("/nothing-here"), 404))


def test_single_body_inside_the_limit_is_served(deployment: ProcessDeployment) -> None:
    gateway = deployment.gateways[0]
    front = f"{gateway.ip}:{FRONT_PORT}"
    whole_body = head(LOOKUP, f"Content-Length: {BODY_BYTES}", "X-Request-Id: one")
    data = whole_body[:-2] + b"Connection: close\r\n\r\n" + b"".join(pieces(BODY_BYTES))
    assert is_answered(front, data, 200)


def test_body_of_small_chunks_is_served(deployment: ProcessDeployment) -> None:
    """Whatever the framing, a single request inside the limits is served."""
    gateway = deployment.gateways[0]
    client = chunked(LOOKUP, 1024 * 1024, SMALL_CHUNK_BYTES, b"0\r\n\r\n")
    first, *rest = client()
    data = first[:-2] + b"X-Request-Id: small\r\nConnection: close\r\n\r\n" + b"".join(rest)
    assert is_answered(f"{gateway.ip}:{FRONT_PORT}", data, 200)


def large_body(request_id: str) -> Client:
    """Send a whole body steadily."""
    return announced(
        LOOKUP, BODY_BYTES, BODY_BYTES, f"X-Request-Id: {request_id}", "Connection: close"
    )


def test_steady_body_is_served_beside_forty_that_stand_still(
    deployment: ProcessDeployment,
) -> None:
    gateway = deployment.gateways[0]
    front = f"{gateway.ip}:{FRONT_PORT}"
    still = Crowd(front, unfinished(LOOKUP, BODY_BYTES))
    try:
        still.wait()
        data = b"".join(large_body("steady")())
        assert is_answered(front, data, 200)
    finally:
        still.close()


def test_of_two_large_bodies_that_do_not_fit_together_each_is_served_in_the_end(
    deployment: ProcessDeployment,
) -> None:
    """None is cut off or waits: it is served, or told when to come back."""
    gateway = deployment.gateways[0]
    front = f"{gateway.ip}:{FRONT_PORT}"
    two = Crowd(front, [large_body("first"), large_body("second")], reads=True)
    try:
        two.wait()
        answers = [member.received for member in two.members]
    finally:
        two.close()
    statuses = sorted(status_of(answer) for answer in answers)
    assert statuses in ([200, 200], [200, 503])
    refused = [answer for answer in answers if status_of(answer) == 503]
    assert all(b"\r\nretry-after: " in answer.lower() for answer in refused)
    assert is_answered(front, b"".join(large_body("again")()), 200)


def test_refusals_tell_when_to_come_back(deployment: ProcessDeployment) -> None:
    """What finds no room gets 503, Retry-After and the mark that it hasn't run; never 500."""
    gateway = deployment.gateways[0]
    front = f"{gateway.ip}:{FRONT_PORT}"
    crowd = Crowd(front, whole(LOOKUP, BODY_BYTES), reads=True)
    try:
        crowd.wait()
        answers = [member.received for member in crowd.members]
    finally:
        crowd.close()
    assert {status_of(answer) for answer in answers} <= {0, 200, 408, 503, 504}
    refused = [answer.lower() for answer in answers if status_of(answer) == 503]
    assert refused
    for answer in refused:
        assert b"\r\nretry-after: " in answer
        assert b"\r\nx-not-run: true\r\n" in answer or b"\r\nx-outcome: not_run\r\n" in answer


def test_stop_in_a_crowd(deployment: ProcessDeployment) -> None:
    """SIGTERM ends the process although clients stand still in the middle of their bodies."""
    gateway = deployment.gateways[0]
    front = f"{gateway.ip}:{FRONT_PORT}"
    assert gateway.process is not None
    crowd = Crowd(front, mixed(LOOKUP, BODY_BYTES))
    try:
        crowd.wait()
        gateway.signal(signal.SIGTERM)
        status = status_of(send_request(front, lookup("stopping")))
        with gevent.Timeout(STOP_SECONDS):
            while gateway.process.poll() is None:
                gevent.sleep(0.05)
    finally:
        crowd.close()
        gateway.start()
    assert status in (200, 503)
    assert is_answered(front, lookup("restarted"), 200)
