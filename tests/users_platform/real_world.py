"""The real programs as separate processes on loopback, with stand-ins hosted in this process.

Every machine has an address of its own in 127.0.0.0/8. Servers stand behind proxies that can be
cut (bytes stop, nothing is said) or reset.
"""

import contextlib
import os
import random
import signal
import socket
import subprocess
import sys
import sysconfig
from collections.abc import Callable, Sequence
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import gevent
from gevent.event import Event as LoopEvent
from gevent.server import StreamServer
from gevent.socket import create_connection

from merlinstand.common.boot_clock import monotonic_seconds
from merlinstand.kernel.effects import Effect, StopProcess, WriteRecord
from merlinstand.kernel.events import Event, Started
from merlinstand.kernel.reducer import Reducer
from merlinstand.runtime.host import Host
from merlinstand.runtime.host_settings import HostSettings
from tests.users_platform.callers import (
    Operator,
    Trainer,
    ZoneOperator,
    ZoneOrder,
    ZoneOrderResponse,
    make_config,
)
from tests.users_platform.crowds import CrowdCaller, LoadedServer, read_slowly
from tests.users_platform.lookup_clients import (
    LookupClient,
    RepeatingCaller,
)
from tests.users_platform.servers import Engine, RegisteredServer
from tests.users_platform.world import (
    LOOKUPS_TENANT,
    RESTART_DELAY_SECONDS,
    TENANT_KEYS,
    TRAINERS_TENANT,
    tenant_of,
)

ROOT = Path(__file__).resolve().parents[2]
START = Path("tests") / "users_platform" / "suspendable_start.py"
"""In a checkout: runs its `platform/start.py` itself."""
CONTROL_PORT = 18509
FRONT_PORT = 18161
READY_PORT = 18167
INTERNAL_PORT = 17620
SERVER_PORT = 18503
PROXY_PORT = 18504
CLAIM_PORT = 18500
FIRST_NETWORK = 100
LAST_NETWORK = 200
ZONES = ("hall-a", "hall-b", "hall-c")
REGION = "ro-central"
LIBRARIES = sysconfig.get_path("purelib")
"""The programs run without `site`, as in deploy/system.toml: they find their own code, and of the
virtual environment only what stands here."""
RECEIVE_BYTES = 65536
CRASHING_ITEMS = ("t0-0-1-1", "score-t0-1-2-0")
"""An item, and the scoring call of another, that end the servers which run them."""
CRASH_TIMES = tuple(7.0 + 0.9 * number for number in range(60))
"""When a caller's request that does so comes again, from the caller's start."""
ORDER_TIMEOUT_SECONDS = 10.0
"""Twice what an acknowledgement may take while the leader is replaced."""
ORDER_POLL_SECONDS = 0.05

NODE_FILE = """
Node = "{node}"
Ip = "{ip}"
Zone = "{zone}"
PortRange = [{first_port}, {last_port}]
Seeds = {seeds}
Bootstrap = {bootstrap}
DataDir = "{data}"
[Listen]
Front = "{ip}:{front}"
Ready = "{ip}:{ready}"
Control = "{ip}:{control}"
[FaultTolerance]
Machines = 1
[Zones]
{zones}
"""


class RecordingReducer:
    """Keeps what a stand-in records, with the time of each record."""

    def __init__(
        self, reducer: Any, records: SimpleNamespace, on_end: Callable[[], None] = lambda: None
    ) -> None:
        self._reducer = reducer
        self._records = records
        self._on_end = on_end

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        return self._record(self._reducer.start(event, now), now)

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        return self._record(self._reducer.reduce(event, now), now)

    def _record(self, effects: Sequence[Effect], now: float) -> list[Effect]:
        others: list[Effect] = []
        for effect in effects:
            if isinstance(effect, WriteRecord):
                self._records.records.setdefault(effect.stream, []).append(effect.record)
                self._records.record_times.setdefault(effect.stream, []).append(now)
            elif isinstance(effect, StopProcess):
                self._on_end()
            else:
                others.append(effect)
        return others


class Proxy:
    """A TCP proxy on loopback that can be cut or reset."""

    def __init__(self, address: tuple[str, int], target: tuple[str, int]) -> None:
        self._address = address
        self._target = target
        self._open = LoopEvent()
        self._open.set()
        self._connections: set[Any] = set()
        self._server = StreamServer(address, self._serve)
        self._server.start()

    def take_down(self) -> None:
        """The server has ended: its connections are reset, new ones refused."""
        self._server.stop(timeout=0)
        self.reset()

    def bring_up(self) -> None:
        """The server is back."""
        self._server = StreamServer(self._address, self._serve)
        self._server.start()

    def cut(self) -> None:
        """Hold every byte back, in silence."""
        self._open.clear()

    def heal(self) -> None:
        """Let bytes pass again."""
        self._open.set()

    def reset(self) -> None:
        """Close every connection."""
        for connection in list(self._connections):
            connection.close()

    def close(self) -> None:
        self._server.stop(timeout=0)
        self.reset()

    def _serve(self, inbound: Any, _address: Any) -> None:
        self._open.wait()
        try:
            outbound = create_connection(self._target, timeout=2.0)
            outbound.settimeout(None)
        except OSError:
            inbound.close()
            return
        self._connections |= {inbound, outbound}
        back = gevent.spawn(self._copy, outbound, inbound)
        self._copy(inbound, outbound)
        back.join(5.0)
        self._connections -= {inbound, outbound}
        inbound.close()
        outbound.close()

    def _copy(self, source: Any, destination: Any) -> None:
        try:
            while True:
                data = source.recv(RECEIVE_BYTES)
                self._open.wait()
                if not data:
                    break
                destination.sendall(data)
        except OSError:
            pass
        with contextlib.suppress(OSError):
            destination.shutdown(1)


class Machine:
    """One machine of the system: a settings file, a data folder and perhaps a process."""

    def __init__(self, deployment: "ProcessDeployment", role: str, ip: str, zone: str) -> None:
        self.role = role
        self.ip = ip
        self._deployment = deployment
        self._zone = zone
        self._starts = 0
        self._folder = deployment.folder / ip
        self._folder.mkdir(parents=True)
        self.process: subprocess.Popen[bytes] | None = None
        self.disruptions: list[tuple[float, int]] = []
        """When it was sent which signal that disturbs it, or started anew (0)."""

    def start(self) -> None:
        """Start the process unless it runs."""
        if self.process is not None and self.process.poll() is None:
            return
        data = self._folder / "data" if self.role != "gateway" else ""
        settings = self._folder / "boot.toml"
        settings.write_text(
            NODE_FILE.format(
                node=f"{self.role}-{self.ip}",
                ip=self.ip,
                zone=self._zone,
                first_port=INTERNAL_PORT,
                last_port=INTERNAL_PORT + 15,
                seeds=[f"{ip}:{CONTROL_PORT}" for ip in self._deployment.control_ips],
                bootstrap="true" if self._starts == 0 else "false",
                data=data,
                front=FRONT_PORT,
                ready=READY_PORT,
                control=CONTROL_PORT,
                zones="\n".join(f'{zone} = "{REGION}"' for zone in ZONES),
            )
        )
        self._starts += 1
        self.disruptions.append((monotonic_seconds(), 0))
        with (self._folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-S", str(self._deployment.draw_checkout() / START), self.role],
                env={
                    **os.environ,
                    "MERLINSTAND_NODE_FILE": str(settings),
                    "PYTHONPATH": LIBRARIES,
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            if number != signal.SIGHUP:
                self.disruptions.append((monotonic_seconds(), number))
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def wipe(self) -> None:
        """Lose the disk; the process must be down."""
        folder = self._folder / "data"
        if folder.exists():
            for path in folder.iterdir():
                path.unlink()
            folder.rmdir()

    @property
    def log(self) -> str:
        """Everything that the processes of this machine wrote."""
        path = self._folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""


class ProcessDeployment:
    """Daemons as processes; servers, an operator, a trainer and a client in this process."""

    def __init__(
        self,
        folder: Path,
        seed: int,
        steps: int = 3,
        gateways: int = 2,
        crashes: bool = False,
        older: Path | None = None,
        crowds: bool = False,
    ) -> None:
        """Start everything.

        Args:
            folder: For settings, data and logs.
            seed: Of the stand-ins.
            steps: Steps of the trainer.
            gateways: How many there are.
            crashes: Whether an item and a caller's request end the servers that run them.
            older: A checkout of an earlier build: each start of a machine draws which of the two
                it runs.
            crowds: Whether the shop's servers fill up, and say how full they are.
        """
        self.folder = folder
        self._checkouts = [ROOT] if older is None else [ROOT, older]
        self._draw = random.Random(seed)
        self.simulation = SimpleNamespace(records={}, record_times={}, failures=[])
        self._claim, base = _claim_network()
        self.control_ips = [f"{base}.{zone}.14" for zone in (1, 2, 3)]
        keeper_ips = [f"{base}.{zone}.13" for zone in (1, 2, 3)]
        gateway_ips = [f"{base}.{1 + n % 3}.{10 + n // 3 * 10}" for n in range(gateways)]
        self.controls = [Machine(self, "control", i, z) for i, z in self._zoned(self.control_ips)]
        self.keepers = [Machine(self, "keeper", i, z) for i, z in self._zoned(keeper_ips)]
        self.gateways = [Machine(self, "gateway", i, z) for i, z in self._zoned(gateway_ips)]
        self.machines = [*self.controls, *self.keepers, *self.gateways]
        self.proxies: list[Proxy] = []
        self.loaded: dict[str, LoadedServer] = {}
        """The shop's servers that fill up, as they are now, by IP address."""
        self._hosts: list[Host] = []
        self._is_closed = False
        self._seed = seed
        for machine in self.machines:
            machine.start()
        controls = [f"{ip}:{CONTROL_PORT}" for ip in self.control_ips]
        gateways = [f"{ip}:{FRONT_PORT}" for ip in gateway_ips]
        self._gateway_addresses = gateways
        self._crowds = 0
        self._slow_readers: list[gevent.Greenlet] = []
        make_shop = self._loaded_server if crowds else self._shop_server
        self._control_addresses = controls
        self._zone_orders = 0
        for number, zone in enumerate(ZONES, 1):
            shop = f"{base}.{number}.64"
            proxied = f"{shop}:{PROXY_PORT}"
            self._host_server(
                shop,
                lambda shop=shop, proxied=proxied, zone=zone: make_shop(shop, proxied, zone),
            )
            engine = f"{base}.{number}.65"
            proxied = f"{engine}:{PROXY_PORT}"
            self._host_server(
                engine,
                lambda proxied=proxied, zone=zone: Engine(
                    "llm-m0", proxied, zone, controls, ["m0"]
                ),
            )
        services = {"shop": [], "llm-m0": ["m0"]}
        content = make_config(3, services, keys=TENANT_KEYS, crowds=crowds)
        self._host("op", Operator(controls, [(0.5, content)]))
        trainer = Trainer(
            "t0",
            "llm-m0",
            "m0",
            gateways,
            controls,
            steps=steps,
            first_at=5.0,
            keys=tuple(TENANT_KEYS[TRAINERS_TENANT]),
            crashing_ids=CRASHING_ITEMS if crashes else (),
        )
        self._host("trainer", trainer)
        keys = tuple(TENANT_KEYS[LOOKUPS_TENANT])
        self._host("lookups", LookupClient("c0", gateways, first_at=5.0, keys=keys))
        if crashes:
            self._host("crash", RepeatingCaller("crash", gateways, CRASH_TIMES, keys))

    def _shop_server(self, _ip: str, address: str, zone: str) -> RegisteredServer:
        return RegisteredServer("shop", address, zone, self._control_addresses)

    def _loaded_server(self, ip: str, address: str, zone: str) -> RegisteredServer:
        before = self.loaded.get(ip)
        server = LoadedServer("shop", address, zone, self._control_addresses)
        if before is not None:
            server.pace = before.pace
        self.loaded[ip] = server
        return server

    def send_crowd(self, seconds: float, rate: float, slow_readers: int) -> None:
        """Let a crowd of two tenants come; returns when its last request has been sent.

        Args:
            seconds: How long it sends.
            rate: Requests a second.
            slow_readers: How many read large answers slowly beside it.
        """
        self._crowds += 1
        for tenant, keys in TENANT_KEYS.items():
            name = f"crowd-{tenant}-{self._crowds}"
            part = rate / len(TENANT_KEYS)
            caller = CrowdCaller(name, self._gateway_addresses, keys, seconds, part)
            self._host(name, caller)
        key = TENANT_KEYS[LOOKUPS_TENANT][0]
        for number in range(slow_readers):
            request_id = f"crowd-{LOOKUPS_TENANT}-{self._crowds}-large-{number}"
            gateway = self._gateway_addresses[number % len(self._gateway_addresses)]
            self._slow_readers.append(gevent.spawn(self._read_slowly, request_id, gateway, key))
        gevent.sleep(seconds)

    def _read_slowly(self, request_id: str, gateway: str, key: str) -> None:
        response = read_slowly(request_id, gateway, key, monotonic_seconds)
        self.simulation.records.setdefault("slow", []).append(response)

    def wait_for_slow_readers(self) -> None:
        """Wait until all slow readers have ended."""
        gevent.joinall(self._slow_readers)

    def draw_checkout(self) -> Path:
        """Draw whose programs a machine runs from its next start on."""
        return self._draw.choice(self._checkouts)

    def order_zone(self, order: ZoneOrder) -> bool:
        """Have an operator give an order for a zone; tells whether it was acknowledged in time."""
        self._zone_orders += 1
        name = f"zones-{self._zone_orders}"
        self._host(name, ZoneOperator(name, self._control_addresses, [(0.0, order)]))
        waited = 0.0
        while waited < ORDER_TIMEOUT_SECONDS:
            gevent.sleep(ORDER_POLL_SECONDS)
            waited += ORDER_POLL_SECONDS
            for record in self.simulation.records.get("evacuations", []):
                if isinstance(record, ZoneOrderResponse) and record.number.startswith(f"{name}-"):
                    return record.status == 200
        return False

    def tenant_of(self, request_id: str) -> str:
        """Whose request it is that runs under an id."""
        return tenant_of(request_id)

    def _zoned(self, ips: list[str]) -> list[tuple[str, str]]:
        return [(ip, ZONES[int(ip.split(".")[2]) - 1]) for ip in ips]

    def _host_server(self, ip: str, make: Callable[[], Any]) -> None:
        proxy = Proxy((ip, PROXY_PORT), (ip, SERVER_PORT))
        self.proxies.append(proxy)
        self._start_server(ip, make, proxy)

    def _start_server(self, ip: str, make: Callable[[], Any], proxy: Proxy) -> None:
        def on_end() -> None:
            # Not from within the host's own events.
            gevent.spawn(self._restart_server, host, ip, make, proxy)

        host = self._host(ip, make(), f"{ip}:{SERVER_PORT}", on_end)

    def _restart_server(self, host: Host, ip: str, make: Callable[[], Any], proxy: Proxy) -> None:
        """A server has ended; the platform starts it again."""
        proxy.take_down()
        host.abort()
        self._hosts.remove(host)
        gevent.sleep(RESTART_DELAY_SECONDS)
        if not self._is_closed:
            self._start_server(ip, make, proxy)
            proxy.bring_up()

    def _host(
        self,
        name: str,
        reducer: Any,
        address: str = "127.0.0.1:0",
        on_end: Callable[[], None] = lambda: None,
    ) -> Host:
        recording: Reducer = RecordingReducer(reducer, self.simulation, on_end)
        self._seed += 1
        settings = HostSettings(
            node_id=name, http_address=address, seed=self._seed, log_level="error"
        )
        host = Host(recording, settings)
        host.start()
        self._hosts.append(host)
        return host

    def close(self) -> None:
        """End all processes and stand-ins."""
        self._is_closed = True
        for machine in self.machines:
            machine.signal(signal.SIGCONT)
            machine.kill()
        for host in self._hosts:
            host.abort()
        for proxy in self.proxies:
            proxy.close()
        self._claim.close()


def _claim_network() -> tuple[socket.socket, str]:
    """Find a part of 127.0.0.0/8 that no other world on this machine uses.

    Returns:
        A socket that holds the claim while it is open, and the first two bytes.
    """
    for number in range(FIRST_NETWORK, LAST_NETWORK):
        claim = socket.socket()
        try:
            claim.bind((f"127.{number}.0.1", CLAIM_PORT))
            claim.listen(1)
        except OSError:
            claim.close()
            continue
        return claim, f"127.{number}"
    raise RuntimeError("no free part of the loopback network")
