"""A small deployment on loopback: the project's roles and stand-in servers, each as a process.

Shared by the scripts of `review/N`. Needs only the standard library of Python 3.11 and the build of
`deploy/system.toml` (`target/deps`). All addresses lie in 127.0.0.0/8.
"""

import contextlib
import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
SERVER = ROOT / "review" / "server.py"
CONTROL_PORT = 18166
FRONT_PORT = 18161
READY_PORT = 18167
FIRST_INTERNAL_PORT = 17720
LAST_INTERNAL_PORT = 17735
SERVER_PORT = 18503
CLAIM_PORT = 18499
ZONES = ("hall-a", "hall-b", "hall-c")
CLASSES = {"gateway": "edge", "control": "core", "keeper": "store"}
LEAD_SECONDS = 12.0
"""Traffic starts this long after the machines do (sheet of the site)."""
GRACE_SECONDS = 8.0
CONTACT_SECONDS = 3.0

NODE_FILE = """
Node = "{node}"
Role = "{role}"
Class = "{machine_class}"
Serves = ["{serves}"]
Ip = "{ip}"
Zone = "{zone}"
Region = "ro-central"
PortRange = [{first_port}, {last_port}]
Seeds = {seeds}
Bootstrap = {bootstrap}
LossCounts = {loss_counts}
Discovery = "registry"
Entry = "anycast"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","recover","samples","stream","engine","batch"]
ConfigMode = "highest"
{data}
[Zones]
hall-a = "ro-central"
hall-b = "ro-central"
hall-c = "ro-central"
[Listen]
{listen}
[Limits]
CpuShare = 0.537
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = {disk_mb}
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4.3
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxSkewMs = 5000
RecoverS = 12
PassMs = 120
RetryAfterS = 0
FinishS = 10
StatusS = 120
CancelMs = 3000
SettleMs = 1000
QuotaOvershoot = 0.1
RequireFencing = false
LeaseMs = 3000
ThawMs = 300
"""


class CannotRunError(Exception):
    """The case can't run here; the script exits with 2."""


class Machine:
    """One machine of the system: its settings file, its data folder and its process."""

    def __init__(self, fleet: "Fleet", role: str, ip: str, zone: str) -> None:
        self.role = role
        self.ip = ip
        self.zone = zone
        self.name = f"{CLASSES[role]}-{zone}-{ip.rpartition('.')[2]}"
        self.process: subprocess.Popen[bytes] | None = None
        self._fleet = fleet
        self._starts = 0
        self._folder = fleet.folder / ip
        self._folder.mkdir(parents=True)

    @property
    def front(self) -> str:
        """Address for clients (`edge` machines)."""
        return f"{self.ip}:{FRONT_PORT}"

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        settings = self._folder / "boot.toml"
        settings.write_text(self._settings())
        self._starts += 1
        command = self._fleet.commands[self.role].split()
        with (self._folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "MERLINSTAND_NODE_FILE": str(settings),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    @property
    def log(self) -> str:
        """What the processes of this machine have written."""
        path = self._folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    def _settings(self) -> str:
        listen = {
            "gateway": f'Front = "{self.ip}:{FRONT_PORT}"\nReady = "{self.ip}:{READY_PORT}"',
            "control": f'Control = "{self.ip}:{CONTROL_PORT}"',
            "keeper": "",
        }[self.role]
        has_disk = self.role != "gateway"
        return NODE_FILE.format(
            node=self.name,
            role=self.role,
            machine_class=CLASSES[self.role],
            serves={"gateway": "edge", "control": "control", "keeper": "store"}[self.role],
            ip=self.ip,
            zone=self.zone,
            first_port=FIRST_INTERNAL_PORT,
            last_port=LAST_INTERNAL_PORT,
            seeds=json.dumps(self._fleet.control_addresses),
            bootstrap="true" if self._starts == 0 else "false",
            loss_counts="true" if has_disk else "false",
            data=f'DataDir = "{self._folder / "data"}"' if has_disk else "",
            listen=listen,
            disk_mb=128 if has_disk else 0,
        )


class Server:
    """One stand-in server; every start is a new incarnation at the same address."""

    def __init__(
        self, fleet: "Fleet", service: str, ip: str, zone: str, options: list[str]
    ) -> None:
        self.service = service
        self.ip = ip
        self.address = f"{ip}:{SERVER_PORT}"
        self.process: subprocess.Popen[bytes] | None = None
        self._fleet = fleet
        self._zone = zone
        self._options = options

    def start(self) -> None:
        """Start the server's process."""
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-S",
                str(SERVER),
                self.service,
                self.ip,
                str(SERVER_PORT),
                self._zone,
                ",".join(self._fleet.control_addresses),
                str(self._fleet.record_folder),
                *self._options,
            ],
            stdin=subprocess.DEVNULL,
        )

    def kill(self) -> None:
        """Crash the server: it says nothing."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()


class Fleet:
    """All processes of one case, and its record."""

    def __init__(self, case_folder: Path, gateways: int = 2) -> None:
        """Create the machines; `start` starts them.

        Args:
            case_folder: Folder of the case; `record.txt` is written there.
            gateways: Number of `edge` machines.
        """
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {name: role["run"] for name, role in deploy["roles"].items()}
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build line of the deploy file")
        self._claim, base = _claim_network()
        self.base = base
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record_folder = self.folder / "record"
        self.record_folder.mkdir()
        self.control_addresses = [f"{base}.{n}.14:{CONTROL_PORT}" for n in (1, 2, 3)]
        self.controls = [
            Machine(self, "control", f"{base}.{n}.14", ZONES[n - 1]) for n in (1, 2, 3)
        ]
        self.keepers = [Machine(self, "keeper", f"{base}.{n}.13", ZONES[n - 1]) for n in (1, 2, 3)]
        self.gateways = [
            Machine(self, "gateway", f"{base}.{1 + n % 3}.{10 + n // 3}", ZONES[n % 3])
            for n in range(gateways)
        ]
        self.machines = [*self.controls, *self.keepers, *self.gateways]
        self.servers: list[Server] = []
        self.started_at = 0.0
        self._record = (case_folder / "record.txt").open("w")

    def add_server(self, service: str, number: int, *options: str) -> Server:
        """Add a server; `start` starts it."""
        zone = number % 3
        ip = f"{self.base}.{zone + 1}.{64 + len(self.servers)}"
        server = Server(self, service, ip, ZONES[zone], list(options))
        self.servers.append(server)
        return server

    def start(self) -> None:
        """Start all machines and servers."""
        self.started_at = time.monotonic()
        for machine in self.machines:
            machine.start()
        for server in self.servers:
            server.start()

    def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.kill()
        for server in self.servers:
            server.kill()
        self._claim.close()
        self._record.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            print(f"logs kept in {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def now(self) -> float:
        """Return the seconds since the start of the machines."""
        return time.monotonic() - self.started_at

    def write(self, text: str, at: float | None = None) -> None:
        """Write one line to `record.txt` and to the standard output."""
        seconds = self.now() if at is None else at - self.started_at
        line = f"{seconds:9.3f} {text}"
        self._record.write(line + "\n")
        self._record.flush()
        if not text.startswith(("server ", "client ")):
            print(line, flush=True)

    def server_records(self) -> list[dict]:
        """Return what the servers recorded, in order of time."""
        records = []
        for path in self.record_folder.iterdir():
            for line in path.read_text().splitlines():
                with contextlib.suppress(json.JSONDecodeError):
                    records.append(json.loads(line))
        return sorted(records, key=lambda record: record["at"])

    def write_server_records(self) -> None:
        """Copy what the servers recorded to `record.txt`."""
        for record in self.server_records():
            fields = " ".join(f"{k}={v}" for k, v in record.items() if k not in ("at", "event"))
            self.write(f"server {record['event']} {fields}", at=record["at"])

    def wait_until(self, seconds: float) -> None:
        """Sleep until this long after the start of the machines."""
        time.sleep(max(0.0, seconds - self.now()))

    def operator_call(self, method: str, path: str, body: object, limit_s: float = 20.0) -> int:
        """Make a call to `control`, again to the next daemon until it gets a clear answer."""
        data = b"" if body is None else json.dumps(body).encode()
        end = time.monotonic() + limit_s
        turn = 0
        while time.monotonic() < end:
            address = self.control_addresses[turn % len(self.control_addresses)]
            turn += 1
            status = self._follow(address, method, path, data)
            if 200 <= status < 300 or status in (400, 404, 409, 412, 413, 422):
                return status
            time.sleep(0.2)
        raise CannotRunError(f"no clear answer to {method} {path}")

    def _follow(self, address: str, method: str, path: str, data: bytes) -> int:
        for _ in range(3):
            answer = call(address, method, path, {"Content-Type": "application/json"}, data, 2.0)
            if answer is None:
                return 0
            status, headers, _body = answer
            if status != 307:
                return status
            parts = urllib.parse.urlsplit(headers.get("location", ""))
            address, path = parts.netloc, parts.path
        return 0

    def wait_for_gateways(self, limit_s: float = 30.0) -> None:
        """Wait until each gateway calls itself ready."""
        end = time.monotonic() + limit_s
        for machine in self.gateways:
            while True:
                answer = call(f"{machine.ip}:{READY_PORT}", "GET", "/readyz", {}, b"", 1.0)
                if answer is not None and answer[0] == 200:
                    break
                if time.monotonic() > end:
                    raise CannotRunError("a gateway isn't ready")
                time.sleep(0.1)


def call(
    address: str, method: str, path: str, headers: dict, body: bytes, timeout_s: float
) -> tuple[int, dict[str, str], bytes] | None:
    """Make one HTTP call on a new connection; None without a complete answer."""
    host, _colon, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body or None, headers)
        answer = connection.getresponse()
        data = answer.read()
        return answer.status, {k.lower(): v for k, v in answer.getheaders()}, data
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def _claim_network() -> tuple[socket.socket, str]:
    """Reserve a /16 of 127.0.0.0/8; returns the socket that holds it and its first two octets."""
    for number in range(40, 99):
        claim = socket.socket()
        try:
            claim.bind((f"127.{number}.0.1", CLAIM_PORT))
            claim.listen(1)
        except OSError:
            claim.close()
            continue
        return claim, f"127.{number}"
    raise CannotRunError("no free loopback network")


def run_case(main, case_folder: Path) -> None:
    """Run a case and exit with its verdict: 1 if the rule was broken, 0 if it held, 2 if not run.

    Args:
        main: Called with `is_troubled`; returns whether the rule was broken.
        case_folder: Folder of the case.
    """
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    try:
        verdict = 1 if main(is_troubled) else 0
    except CannotRunError as error:
        print(f"can't run: {error}")
        verdict = 2
    print(f"{case_folder.name}: {('held', 'BROKEN', 'not run')[verdict]}")
    sys.exit(verdict)
