"""Crowds of clients that hold a process's memory or connections, and what the process used.

A client is a generator of the bytes that it sends. Its connection stays open until the crowd is
closed, whatever the process answers. A client that generates `KEEP_READING` reads from then on.
"""

import contextlib
import os
import re
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from typing import Any

import gevent
from gevent.socket import create_connection

from merlinstand.common.boot_clock import monotonic_seconds
from tests.users_platform.callers import HOST
from tests.users_platform.real_world import Machine
from tests.users_platform.world import LOOKUPS_TENANT, TENANT_KEYS

PIECE = b"x" * 65536
SEND_SECONDS = 30.0
"""Time for a crowd to send; a client whose bytes are not read any more is left blocked."""
CONNECT_SECONDS = 5.0
REQUEST_SECONDS = 5.0
RETRY_SECONDS = 0.2
ORDINARY_SECONDS = 30.0
"""Time in which one ordinary request must be answered; not a bound on latency."""
SETTLE_SECONDS = 0.5
KILOBYTE = 1024
BYTES_PER_MEGABYTE = 1_000_000

Client = Callable[[], Iterator[bytes]]
"""Generates what one client sends."""


def head(path: str, *lines: str, method: str = "POST") -> bytes:
    """Return the head of an authorized request."""
    key = TENANT_KEYS[LOOKUPS_TENANT][0]
    common = (f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Authorization: Bearer {key}")
    return "\r\n".join((*common, *lines, "", "")).encode()


def pieces(size: int) -> Iterator[bytes]:
    """Generate this many bytes, piece by piece."""
    while size > 0:
        yield PIECE[:size]
        size -= len(PIECE)


def announced(path: str, size: int, sent: int, *lines: str, method: str = "POST") -> Client:
    """Announce a body of `size` bytes and send `sent` of them."""

    def send() -> Iterator[bytes]:
        yield head(path, f"Content-Length: {size}", *lines, method=method)
        yield from pieces(sent)

    return send


def chunked(
    path: str, size: int, chunk_bytes: int, end: bytes = b"", method: str = "POST"
) -> Client:
    """Send `size` bytes in chunks, and then `end`, which is empty for an unfinished body."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, PIECE[:chunk_bytes])
    repeated = chunk * max(1, len(PIECE) // len(chunk))
    per_piece = max(1, len(PIECE) // len(chunk)) * chunk_bytes

    def send() -> Iterator[bytes]:
        yield head(path, "Transfer-Encoding: chunked", method=method)
        for _ in range(size // per_piece):
            yield repeated
        yield end

    return send


class CrowdMember:
    """One client of a crowd."""

    def __init__(self, address: str, client: Client, reads: bool, tls_context: Any) -> None:
        self.is_refused = False
        self._tls_context = tls_context
        self.received = b""
        self._address = address
        self._client = client
        self._reads = reads
        self._socket: Any = None

    def run(self) -> None:
        """Connect and send; errors only end this client."""
        ip, _colon, port = self._address.rpartition(":")
        try:
            self._socket = create_connection((ip, int(port)), CONNECT_SECONDS)
            if self._tls_context is not None:
                self._socket = self._tls_context.wrap_socket(self._socket)
            self._socket.settimeout(None)
            for data in self._client():
                self._socket.sendall(data)
                gevent.sleep(0)
        except OSError:
            self.is_refused = True
        if self._reads:
            self.read()

    def read(self) -> None:
        """Read what the process sends until it closes the connection."""
        with contextlib.suppress(OSError):
            while self._socket is not None and (data := self._socket.recv(len(PIECE))):
                self.received += data

    def close(self) -> None:
        if self._socket is not None:
            self._socket.close()


class Crowd:
    """Clients that send at the same time to one address."""

    def __init__(
        self,
        address: str,
        clients: Iterable[Client],
        reads: bool = False,
        tls_context: Any = None,
    ) -> None:
        self.members = [CrowdMember(address, client, reads, tls_context) for client in clients]
        self.greenlets = [gevent.spawn(member.run) for member in self.members]

    def wait(self) -> None:
        """Wait until each client has sent all, was refused, or is blocked for a long time."""
        gevent.joinall(self.greenlets, timeout=SEND_SECONDS)

    def close(self) -> None:
        gevent.killall(self.greenlets)
        for member in self.members:
            member.close()


def status_of(response: bytes) -> int:
    """Return the status of the first final response; 0 if there is none."""
    found = re.search(rb"HTTP/1\.1 ([2-5]\d{2}) ", response)
    return int(found[1]) if found else 0


def memory_peak_bytes(pid: int) -> int:
    """Return the peak of a process's resident memory since `reset_memory_peak`."""
    status = Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found[1]) * KILOBYTE


def reset_memory_peak(pid: int) -> None:
    """Start a new measurement of the peak."""
    Path(f"/proc/{pid}/clear_refs").write_text("5")


def descriptor_count(pid: int) -> int:
    """Return how many descriptors a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


def send_request(
    address: str, data: bytes, tls_context: Any = None, seconds: float = REQUEST_SECONDS
) -> bytes:
    """Send one request on a new connection; return the response, empty if there is none."""
    ip, _colon, port = address.rpartition(":")
    received = b""
    try:
        connection = create_connection((ip, int(port)), seconds)
    except OSError:
        return b""
    try:
        if tls_context is not None:
            connection = tls_context.wrap_socket(connection)
        connection.sendall(data)
        while more := connection.recv(len(PIECE)):
            received += more
    except OSError:
        pass
    finally:
        connection.close()
    return received


def is_answered(address: str, data: bytes, status: int, tls_context: Any = None) -> bool:
    """Repeat a request until it gets a status; return whether it did in time."""
    deadline = monotonic_seconds() + ORDINARY_SECONDS
    expected = b"HTTP/1.1 %d " % status
    while monotonic_seconds() < deadline:
        if send_request(address, data, tls_context).startswith(expected):
            return True
        gevent.sleep(RETRY_SECONDS)
    return False


def lookup(request_id: str) -> bytes:
    """Return an ordinary request of a caller."""
    lines = (f"X-Request-Id: {request_id}", "Content-Length: 4", "Connection: close")
    return head("/lookup/1", *lines) + b"body"


def read_only(path: str) -> bytes:
    """Return a small request without a body."""
    return head(path, "Connection: close", method="GET")


def check_crowd(
    machine: Machine,
    crowd_address: str,
    clients: list[Client],
    ask: tuple[str, bytes, int],
    memory_mb: int,
    maximum_descriptors: int,
) -> None:
    """Send a crowd to a machine, and check its process during the crowd and after it.

    Args:
        machine: The machine.
        crowd_address: Address to which the crowd connects.
        clients: The crowd.
        ask: Address, request and expected status of an ordinary caller.
        memory_mb: `MemoryMb` of the machine.
        maximum_descriptors: `MaxFds` of the machine.
    """
    assert machine.process is not None
    pid = machine.process.pid
    reset_memory_peak(pid)
    crowd = Crowd(crowd_address, clients)
    try:
        crowd.wait()
        gevent.sleep(SETTLE_SECONDS)
        assert descriptor_count(pid) < maximum_descriptors
        assert is_answered(*ask), "no answer during the crowd"
        assert descriptor_count(pid) < maximum_descriptors
    finally:
        crowd.close()
    assert is_answered(*ask), "no answer after the crowd"
    assert machine.process.poll() is None
    assert memory_peak_bytes(pid) < memory_mb * BYTES_PER_MEGABYTE
