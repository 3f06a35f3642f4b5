"""A small deployment for the scripts of this review: settings, processes, and plain HTTP clients.

Starts the roles of `deploy/system.toml` as processes on loopback addresses. Standard library only.
"""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
ZONES = ("hall-a", "hall-b", "hall-c")
CONTROL_PORT = 18509
FRONT_PORT = 18161
READY_PORT = 18167
INTERNAL_PORT = 17620
SERVER_PORT = 18503
CLAIM_PORT = 18500
HEARTBEAT_SECONDS = 1.2
HOST = "ficu95.example"

NODE_FILE = """
Node = "{node}"
Role = "{role}"
Ip = "{ip}"
Zone = "{zone}"
Region = "ro-central"
PortRange = [{port}, {last_port}]
Seeds = {seeds}
Bootstrap = {bootstrap}
DataDir = "{data}"
HeartbeatMs = 1200
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Limits]
MemoryMb = {memory}
MaxFds = 8200
[Bounds]
LeaseMs = 3000
StatusS = 120
GraceS = 8
[Zones]
hall-a = "ro-central"
hall-b = "ro-central"
hall-c = "ro-central"
"""


def now() -> float:
    """Return the time in seconds that all records use."""
    return time.monotonic()


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._start = now()

    def write(self, kind: str, /, **fields: Any) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now() - self._start:9.3f} {kind} {text}\n")
        self._file.flush()


def claim_network() -> tuple[socket.socket, str]:
    """Reserve a /16 of 127.0.0.0/8 by a listening socket."""
    numbers = list(range(30, 90))
    random.shuffle(numbers)
    for number in numbers:
        claim = socket.socket()
        try:
            claim.bind((f"127.{number}.0.1", CLAIM_PORT))
            claim.listen(1)
        except OSError:
            claim.close()
            continue
        return claim, f"127.{number}"
    raise RuntimeError("no free loopback network")


class Machine:
    """One machine with one role."""

    def __init__(self, fleet: "Fleet", role: str, ip: str, zone: str, memory_mb: int) -> None:
        self.role = role
        self.ip = ip
        self.name = f"{role}-{zone}-{ip}"
        self._fleet = fleet
        self._zone = zone
        self._memory_mb = memory_mb
        self._starts = 0
        self._folder = fleet.folder / ip
        self._folder.mkdir()
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the program with the command of the deploy file."""
        settings = self._folder / "boot.toml"
        settings.write_text(
            NODE_FILE.format(
                node=self.name,
                role=self.role,
                ip=self.ip,
                zone=self._zone,
                port=INTERNAL_PORT,
                last_port=INTERNAL_PORT + 15,
                seeds=json.dumps([f"{ip}:{CONTROL_PORT}" for ip in self._fleet.control_ips]),
                bootstrap="false" if self._starts else "true",
                data="" if self.role == "gateway" else self._folder / "data",
                front=FRONT_PORT,
                ready=READY_PORT,
                control=CONTROL_PORT,
                memory=self._memory_mb,
            )
        )
        self._starts += 1
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with (self._folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                self._fleet.commands[self.role],
                cwd=ROOT,
                env={
                    **kept,
                    "MERLINSTAND_NODE_FILE": str(settings),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    @property
    def log(self) -> str:
        """Output of all processes of this machine."""
        return (self._folder / "log").read_text(errors="replace")


class Fleet:
    """Three control machines, three stores and some gateways."""

    def __init__(self, gateways: int = 3, memory_mb: int = 310) -> None:
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {name: shlex.split(r["run"]) for name, r in deploy["roles"].items()}
        self._claim, self.base = claim_network()
        self.control_ips = [f"{self.base}.{zone}.14" for zone in (1, 2, 3)]

        def make(role: str, ip: str) -> Machine:
            return Machine(self, role, ip, ZONES[int(ip.split(".")[2]) - 1], memory_mb)

        self.controls = [make("control", ip) for ip in self.control_ips]
        self.stores = [make("keeper", f"{self.base}.{zone}.13") for zone in (1, 2, 3)]
        self.gateways = [
            make("gateway", f"{self.base}.{1 + n % 3}.{100 + n}") for n in range(gateways)
        ]
        self.machines = [*self.controls, *self.stores, *self.gateways]

    def start(self) -> None:
        """Start all programs."""
        for machine in self.machines:
            machine.start()

    def close(self) -> None:
        """End all programs that this fleet started."""
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.kill()
        self._claim.close()
        self._temporary.cleanup()

    def front(self, number: int) -> str:
        """Return the address of a gateway."""
        return f"{self.gateways[number % len(self.gateways)].ip}:{FRONT_PORT}"


class Response:
    """A complete HTTP response."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read a start line and headers; the names are in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:-2]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return head[0], headers


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk of a chunked body; empty at its end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        parts = []
        while part := await read_chunk(reader):
            parts.append(part)
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    seconds: float = 5.0,
) -> Response | None:
    """Send one request on a new connection; None without a complete answer."""
    ip, _, port = address.rpartition(":")
    lines = {"Host": HOST, "Content-Length": str(len(body)), **(headers or {})}
    head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{k}: {v}\r\n" for k, v in lines.items())
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, int(port))
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            status_line, answered = await read_head(reader)
            data = await read_body(reader, answered)
            return Response(int(status_line.split()[1]), answered, data)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def call_control(
    fleet: Fleet, method: str, path: str, body: dict[str, Any], seconds: float = 20.0
) -> Response | None:
    """Send a call as operators, trainers and servers do: other daemons, redirects, pauses."""
    data = json.dumps(body).encode()
    headers = {"Content-Type": "application/json"}
    until = now() + seconds
    pause = 0.05
    number = random.randrange(3)
    while now() < until:
        address = f"{fleet.control_ips[number % 3]}:{CONTROL_PORT}"
        number += 1
        for _ in range(3):
            response = await call(address, method, path, headers, data, 1.0)
            if response is None or response.status != 307:
                break
            location = response.headers["location"].removeprefix("http://")
            address, _, rest = location.partition("/")
            path = "/" + rest
        if (
            response is not None
            and response.status < 500
            and response.status not in (307, 408, 429)
        ):
            return response
        await asyncio.sleep(pause)
        pause = min(0.5, pause * 1.5)
    return None


class Connection:
    """A request that a stand-in server has read, and its connection."""

    def __init__(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.reader = reader
        self.writer = writer

    async def answer(self, status: int, headers: dict[str, str], body: bytes = b"") -> None:
        """Send a whole answer."""
        lines = {"Content-Length": str(len(body)), **headers}
        head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{k}: {v}\r\n" for k, v in lines.items())
        self.writer.write(head.encode() + b"\r\n" + body)
        await self.writer.drain()


class Server:
    """A stand-in server: registers itself, answers health checks and passes on requests."""

    def __init__(
        self,
        fleet: Fleet,
        service: str,
        ip: str,
        zone: str,
        slots: int,
        handle: Callable[["Server", Connection], Awaitable[bool]],
        models: Callable[[], list[dict[str, Any]]] | None = None,
    ) -> None:
        """Create a server.

        Args:
            handle: Handles a request; returns whether the connection is kept.
            models: Returns the models of an engine.
        """
        self.fleet = fleet
        self.service = service
        self.address = f"{ip}:{SERVER_PORT}"
        self.instance = f"i-{random.getrandbits(32):08x}"
        self.state = "ready"
        self._zone = zone
        self._slots = slots
        self._handle = handle
        self._models = models
        self._sequence = 0
        self._listener: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self.connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen and begin to send heartbeats."""
        ip, _, port = self.address.rpartition(":")
        self._listener = await asyncio.start_server(self._serve, ip, int(port))
        self._beats = asyncio.create_task(self._send_heartbeats())

    async def beat(self) -> Response | None:
        """Send one heartbeat."""
        self._sequence += 1
        body: dict[str, Any] = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self._zone,
            "Version": "v1",
            "Slots": self._slots,
            "State": self.state,
            "ColdLeftMs": 0,
            "Seq": self._sequence,
        }
        if self._models is not None:
            body |= {"Stage": "both", "Models": self._models()}
        return await call_control(self.fleet, "PUT", f"/instances/{self.instance}", body, 10.0)

    async def _send_heartbeats(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def close(self) -> None:
        """Stop listening and reset the connections."""
        if self._beats is not None:
            self._beats.cancel()
        if self._listener is not None:
            self._listener.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = line.split()
                request = Connection(method, path, headers, body, reader, writer)
                if not await self._answer(request):
                    return
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, request: Connection) -> bool:
        headers = {"X-Instance-Id": self.instance}
        request_id = request.headers.get("x-request-id")
        if request_id is not None:
            headers["X-Request-Id"] = request_id
        expected = request.headers.get("x-expect-instance", self.instance)
        if expected != self.instance:
            await request.answer(421, {**headers, "X-Not-Executed": "1"})
            return True
        if request.path == "/healthz":
            await request.answer(200 if self.state == "ready" else 503, headers)
            return True
        return await self._handle(self, request)
