"""A deployment on the simulator's virtual clock, which runs the reducers of the real daemons."""

from typing import Any

import msgspec

from merlinstand.batch_jobs.daemon import KeeperDaemon
from merlinstand.directory.daemon import DirectoryDaemon
from merlinstand.forwarding.daemon import ForwardingGateway
from merlinstand_lab.simulator.process import SimulatedProcess
from merlinstand_lab.simulator.process_spec import ProcessSpec
from merlinstand_lab.simulator.simulation import Simulation
from merlinstand_lab.simulator.topology import CLIENT_ZONE, VITRINA, Topology
from merlinstand_platform.batch import PlatformGatewayInterface
from merlinstand_platform.control import PlatformControlInterface
from merlinstand_platform.duties import PlatformFencedCallInterface
from merlinstand_platform.engines import PlatformEngineInterface
from merlinstand_platform.settings import (
    NodeFile,
    directory_settings,
    gateway_settings,
    keeper_settings,
)
from tests.users_platform.callers import (
    COLD_START_SECONDS,
    Operator,
    Trainer,
    ZoneOperator,
    ZoneOrder,
    make_config,
)
from tests.users_platform.lookup_clients import (
    LOOKUP_DEADLINE_MS,
    CrossTenantReader,
    LookupClient,
    RepeatingCaller,
)
from tests.users_platform.platform_standin import (
    USAGE_DUE_SECONDS,
    USAGE_WINDOW_SECONDS,
    PlatformStub,
)
from tests.users_platform.servers import CRASH_BODY_PREFIX, Engine, RegisteredServer

CONTROL_PORT = 8509
FRONT_PORT = 8161
INTERNAL_PORT = 7620
SERVER_PORT = 8503
ZONES = VITRINA.zones
REGION = "ro-central"
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5.0
RESTART_DELAY_SECONDS = 2.9
"""Time from the crash of a server to its restart."""
PLATFORM_ADDRESS = "10.200.0.155:8621"
TRAINERS_TENANT = "alpha"
LOOKUPS_TENANT = "beta"
TENANT_KEYS = {TRAINERS_TENANT: ["alpha-1", "alpha-2"], LOOKUPS_TENANT: ["beta-1"]}


def tenant_of(request_id: str) -> str:
    """Return the tenant of a request id in runs with tenants; scoring calls have none."""
    if request_id.startswith("score-"):
        return ""
    of_lookups = ("c0-", "crash-", f"crowd-{LOOKUPS_TENANT}-")
    return LOOKUPS_TENANT if request_id.startswith(of_lookups) else TRAINERS_TENANT


class RestartingSimulation(Simulation):
    """A simulation that restarts servers after they crash."""

    def __init__(self, seed: int, topology: Topology) -> None:
        super().__init__(seed, topology)
        self.restarted: set[str] = set()
        """Node ids of the processes to restart."""

    def process_stopped(self, process: SimulatedProcess) -> None:
        super().process_stopped(process)
        if process.node_id in self.restarted:
            back_at = self.clock.now + RESTART_DELAY_SECONDS
            self.clock.call_at(back_at, self.start_if_down, process)


class SimulatedDeployment:
    """Daemons, servers and callers of one simulated run."""

    def __init__(
        self,
        seed: int,
        models: tuple[str, ...] = ("m0",),
        steps: int = 5,
        tolerated_losses: int = 1,
        has_tenants: bool = False,
        has_cold: bool = False,
        groups: int = 4,
        crashing_ids: tuple[str, ...] = (),
        counts_suspensions: bool = True,
    ) -> None:
        self._counts_suspensions = counts_suspensions
        self.has_cold = has_cold
        self.keys = TENANT_KEYS if has_tenants else {}
        self.simulation = RestartingSimulation(seed, VITRINA)
        self.controls = [f"10.{number}.0.14" for number in range(1, 4)]
        self.keepers = [f"10.{number}.0.13" for number in range(1, 4)]
        self.gateways = [f"10.{number}.0.10" for number in range(1, 4)]
        self.engines: list[str] = []
        self.services = {"shop": [], **{f"llm-{model}": [model] for model in models}}
        self.control_addresses = [f"{ip}:{CONTROL_PORT}" for ip in self.controls]
        self.gateway_addresses = [f"{ip}:{FRONT_PORT}" for ip in self.gateways]
        self._bootstrapped: set[str] = set()
        self._tolerated_losses = tolerated_losses
        self.add_caller("platform", PlatformStub, PLATFORM_ADDRESS)
        for zone, ip in zip(ZONES, self.controls, strict=True):
            self.add_daemon("core", ip, zone)
        for zone, ip in zip(ZONES, self.keepers, strict=True):
            self.add_daemon("store", ip, zone)
        for zone, ip in zip(ZONES, self.gateways, strict=True):
            self.add_daemon("edge", ip, zone)
        self._add_servers(models)
        configs: list[tuple[float, dict[str, Any]]] = [(0.2, self.make_config(3))]
        self.add_operator(configs)
        for number, model in enumerate(models):
            trainer = f"t{number}"
            self.add_caller(
                f"trainer-{trainer}",
                lambda trainer=trainer, model=model: Trainer(
                    trainer,
                    f"llm-{model}",
                    model,
                    self.gateway_addresses,
                    self.control_addresses,
                    groups=groups,
                    steps=steps,
                    keys=self.keys_of(TRAINERS_TENANT),
                    crashing_ids=crashing_ids,
                ),
            )
        self.add_caller(
            "lookups",
            lambda: LookupClient("c0", self.gateway_addresses, keys=self.keys_of(LOOKUPS_TENANT)),
        )
        if has_tenants:
            jobs = [f"job-t{n}-{step}" for n in range(len(models)) for step in range(steps)]
            key = self.keys_of(LOOKUPS_TENANT)[0]
            self.add_caller("foreign", lambda: CrossTenantReader(self.gateway_addresses, jobs, key))

    def add_lookup_clients(self, clients: int) -> None:
        """Add lookup clients that use all gateways added so far."""
        for number in range(1, clients + 1):
            name = f"c{number}"
            self.add_caller(name, lambda name=name: LookupClient(name, self.gateway_addresses))

    def add_gateways(self, count: int) -> None:
        """Add gateways, distributed evenly over the zones."""
        for number in range(count):
            zone = number % len(ZONES)
            ip = f"10.{zone + 1}.1.{10 + number}"
            self.gateways.append(ip)
            self.gateway_addresses.append(f"{ip}:{FRONT_PORT}")
            self.add_daemon("edge", ip, ZONES[zone])

    def make_config(self, version: int, keys: dict[str, list[str]] | None = None) -> dict[str, Any]:
        """Return a configuration of this deployment.

        Args:
            version: Version number of the configuration.
            keys: API keys by tenant; by default those of this deployment.
        """
        held = self.keys if keys is None else keys
        return make_config(version, self.services, keys=held, cold=self.has_cold)

    def keys_of(self, tenant: str) -> tuple[str, ...]:
        """Return the API keys that a tenant's callers use."""
        return tuple(self.keys.get(tenant, ()))

    def tenant_of(self, request_id: str) -> str:
        """Return the tenant of a request id; empty without tenants and for scoring calls."""
        return tenant_of(request_id) if self.keys else ""

    def node(self, machine_class: str, ip: str, zone: str, bootstrap: bool) -> NodeFile:
        """Return the settings file of a machine."""
        return msgspec.convert(
            {
                "Node": f"{machine_class}-{ip}",
                "Ip": ip,
                "Zone": zone,
                "PortRange": (INTERNAL_PORT, INTERNAL_PORT + 15),
                "Seeds": self.control_addresses,
                "Zones": dict.fromkeys(ZONES, REGION),
                "Bootstrap": bootstrap,
                "FaultTolerance": {"Machines": self._tolerated_losses},
                "Bounds": {
                    "UsageWindowS": USAGE_WINDOW_SECONDS,
                    "UsageLateS": USAGE_DUE_SECONDS,
                    "ColdOvershoot": COLD_OVERSHOOT,
                    "ColdSlack": COLD_SLACK,
                },
                "Cloud": {"Address": PLATFORM_ADDRESS, "Duties": ["metering"], "DutyPerS": 50.0},
                "Listen": {
                    "Front": f"{ip}:{FRONT_PORT}",
                    "Ready": f"{ip}:8167",
                    "Control": f"{ip}:{CONTROL_PORT}",
                },
            },
            NodeFile,
        )

    def add_daemon(
        self, machine_class: str, ip: str, zone: str, start_at: float = 0.0
    ) -> SimulatedProcess:
        """Add a daemon; only those started within the first second may bootstrap a group."""

        def make() -> Any:
            is_first = ip not in self._bootstrapped and start_at < 1.0
            self._bootstrapped.add(ip)
            node = self.node(machine_class, ip, zone, is_first)
            if machine_class == "core":
                return DirectoryDaemon(
                    directory_settings(node),
                    PlatformControlInterface(),
                    PlatformFencedCallInterface(),
                )
            if machine_class == "store":
                return KeeperDaemon(keeper_settings(node), PlatformEngineInterface())
            return ForwardingGateway(gateway_settings(node), PlatformGatewayInterface())

        node = self.node(machine_class, ip, zone, False)
        address = {
            "core": node.listen.control,
            "store": node.keeper_address,
            "edge": node.listen.front,
        }[machine_class]
        spec = ProcessSpec(
            node_id=ip,
            zone=zone,
            http_address=address,
            internal_address=node.internal_address,
            make_reducer=make,
            counts_suspensions=self._counts_suspensions,
            keeps_disk=machine_class != "edge",
        )
        return self.simulation.add_process(spec, start_at)

    def _add_servers(self, models: tuple[str, ...]) -> None:
        for number, zone in enumerate(ZONES, 1):
            address = f"10.{number}.64.10:{SERVER_PORT}"
            self._add_server(
                f"shop-{number}",
                zone,
                address,
                lambda address=address, zone=zone: RegisteredServer(
                    "shop", address, zone, self.control_addresses
                ),
            )
            for index, model in enumerate(models):
                address = f"10.{number}.65.{index}:{SERVER_PORT}"
                name = f"llm-{model}-{number}"
                self.engines.append(name)
                self._add_server(
                    name,
                    zone,
                    address,
                    lambda address=address, zone=zone, model=model: Engine(
                        f"llm-{model}", address, zone, self.control_addresses, [model]
                    ),
                )

    def _add_server(self, name: str, zone: str, address: str, make_server: Any) -> None:
        def make() -> Any:
            server = make_server()
            server.cold_seconds = COLD_START_SECONDS if self.has_cold else 0.0
            return server

        spec = ProcessSpec(
            node_id=name, zone=zone, http_address=address, make_reducer=make, keeps_disk=False
        )
        self.simulation.add_process(spec, 0.1)
        self.simulation.restarted.add(name)

    def add_repeating_caller(
        self,
        times: tuple[float, ...],
        name: str = "crash",
        body: bytes = CRASH_BODY_PREFIX,
        tenant: str = LOOKUPS_TENANT,
        deadline_ms: int = LOOKUP_DEADLINE_MS,
    ) -> None:
        """Add a caller that repeats one request; by default it crashes each server that runs it."""
        keys = self.keys_of(tenant)
        gateways = self.gateway_addresses
        self.add_caller(
            name, lambda: RepeatingCaller(name, gateways, times, keys, body, deadline_ms)
        )

    def add_operator(self, configs: list[tuple[float, dict[str, Any]]], name: str = "op") -> None:
        """Add an operator that puts configurations at the given times."""
        self.add_caller(name, lambda: Operator(self.control_addresses, configs))

    def add_zone_operator(self, orders: list[tuple[float, ZoneOrder]], name: str = "zones") -> None:
        """Add an operator that evacuates and restores zones at the given times."""
        self.add_caller(name, lambda: ZoneOperator(name, self.control_addresses, orders))

    def add_caller(self, name: str, make: Any, address: str = "") -> None:
        spec = ProcessSpec(
            node_id=name,
            zone=CLIENT_ZONE,
            http_address=address or f"{name}:1",
            make_reducer=make,
            keeps_disk=False,
        )
        self.simulation.add_process(spec, 0.0)

    # Faults

    def at(self, time: float, action: Any, *arguments: Any) -> None:
        """Schedule an action at a simulated time."""
        self.simulation.clock.call_at(time, action, *arguments)

    def process(self, node: str) -> SimulatedProcess:
        """Return a process by its node id."""
        return self.simulation.processes[node]

    def kill(self, node: str, at: float, down: float, **how: bool) -> None:
        """Kill a process at a time and restart it after `down` seconds."""
        self.at(at, lambda: self.process(node).kill(**how))
        self.at(at + down, lambda: self.simulation.start_if_down(self.process(node)))

    def leading_keeper(self) -> str:
        """Return the IP address of the current leading keeper, or of the first keeper."""
        for ip in self.keepers:
            reducer = self.process(ip).reducer
            replica = reducer.replica if isinstance(reducer, KeeperDaemon) else None
            if replica is not None and replica.is_leader:
                return ip
        return self.keepers[0]

    def leading_control(self) -> str:
        """Return the IP address of the current leading control daemon, or of the first one."""
        for ip in self.controls:
            reducer = self.process(ip).reducer
            if isinstance(reducer, DirectoryDaemon) and reducer.replica.is_leader:
                return ip
        return self.controls[0]
