"""A gateway between hollow callers and hollow servers, each in processes of their own."""

import time
from collections.abc import Sequence
from pathlib import Path
from types import TracebackType

import msgspec

from merlinstand.configuration.objects import Backend, Limits, Pool, PoolKind
from merlinstand.gateway.settings import GatewaySettings
from merlinstand.runtime.host_settings import HostSettings
from merlinstand_lab.capacity.control_group import ControlGroup
from merlinstand_lab.capacity.hollow_caller import CALLER_NAME, HollowCallerCounts
from merlinstand_lab.capacity.hollow_settings import HollowCallerSettings, HollowServerSettings
from merlinstand_lab.capacity.process_sampling import ProcessCost, cost_between
from merlinstand_lab.capacity.topology import free_addresses, hosted_spec, zone_name
from merlinstand_lab.capacity.worker_process import WorkerProcess
from merlinstand_lab.capacity.worker_spec import HostedKind, HostedSpec

POOL_NAME = "hollow"
SETTLE_SECONDS = 2.0
READY_TIMEOUT_SECONDS = 30.0
MAXIMUM_CONCURRENCY = 100_000
UNLIMITED = Limits(caller=CALLER_NAME, requests_per_second=1e6, tokens_per_second=1e9)
"""The limits of callers are not what is measured."""


class EndpointLoad(msgspec.Struct, frozen=True, kw_only=True):
    """How callers load one gateway."""

    pool_kind: PoolKind
    requests_per_second: float = 0.0
    streams: int = 0
    tokens_per_chunk: int = 1
    chunk_interval_seconds: float = 0.02
    tokens_per_stream: int = 400
    servers: int = 4
    callers: int = 2
    direct: bool = False
    """Callers go straight to the servers: the cost of the load itself."""


class EndpointWindow(msgspec.Struct, frozen=True):
    """What the gateway used and what callers saw over one window."""

    gateway: ProcessCost | None
    server: ProcessCost
    caller: ProcessCost
    chunks: int
    stream_bytes: int
    streams_ended: int
    answers: int
    refused: int
    failed: int
    last_refusal: str
    latencies_seconds: tuple[float, ...]


class EndpointBench:
    """Control group of one, one gateway, servers and callers; a context manager."""

    def __init__(self, load: EndpointLoad, folder: Path) -> None:
        """Start every process."""
        self._load = load
        self._folder = folder
        self._server_addresses = free_addresses(load.servers)
        self._servers = [
            WorkerProcess(f"server-{number}", [_server_spec(number, address, load)], folder)
            for number, address in enumerate(self._server_addresses)
        ]
        self._control: ControlGroup | None = None
        self._gateway: WorkerProcess | None = None
        self._callers: list[WorkerProcess] = []
        targets = self._server_addresses
        if not load.direct:
            targets = [self._start_gateway()]
        for server in self._servers:
            server.wait_started()
        self._start_callers(targets)

    def __enter__(self) -> "EndpointBench":
        """Return the bench."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """End every process."""
        for worker in [*self._callers, *self._servers]:
            worker.stop()
        if self._gateway is not None:
            self._gateway.stop()
        if self._control is not None:
            self._control.stop()

    def measure(self, seconds: float) -> EndpointWindow:
        """Let the load run for a while and return what it cost."""
        time.sleep(SETTLE_SECONDS)
        counts_before = self._caller_counts()
        workers = [*self._callers, *self._servers]
        if self._gateway is not None:
            workers.append(self._gateway)
        before = [worker.use() for worker in workers]
        begun = time.monotonic()
        time.sleep(seconds)
        after = [worker.use() for worker in workers]
        elapsed = time.monotonic() - begun
        counts = self._caller_counts()
        costs = [cost_between(*pair, elapsed) for pair in zip(before, after, strict=True)]
        callers = len(self._callers)
        servers = costs[callers : callers + len(self._servers)]
        return EndpointWindow(
            gateway=costs[-1] if self._gateway is not None else None,
            server=_sum_costs(servers),
            caller=_sum_costs(costs[:callers]),
            chunks=_difference(counts_before, counts, "chunks"),
            stream_bytes=_difference(counts_before, counts, "stream_bytes"),
            streams_ended=_difference(counts_before, counts, "streams_ended"),
            answers=_difference(counts_before, counts, "answers"),
            refused=_difference(counts_before, counts, "refused"),
            failed=_difference(counts_before, counts, "failed"),
            last_refusal=next((count.last_refusal for count in counts if count.refused), ""),
            latencies_seconds=tuple(
                latency for count in counts for latency in count.latencies_seconds
            ),
        )

    def _start_gateway(self) -> str:
        self._control = ControlGroup(1, self._folder)
        self._control.wait_ready()
        self._control.operator.put(f"pool/{POOL_NAME}", self._pool())
        self._control.operator.put(f"limits/{CALLER_NAME}", UNLIMITED)
        address, internal = free_addresses(2)
        spec = gateway_spec("gateway-0", address, internal, self._control, self._folder)
        self._gateway = WorkerProcess("gateway-0", [spec], self._folder)
        self._gateway.wait_started()
        self._wait_in_force()
        return address

    def _wait_in_force(self) -> None:
        assert self._gateway is not None
        end = time.monotonic() + READY_TIMEOUT_SECONDS
        while time.monotonic() < end:
            (counts,) = self._gateway.report().counts
            if counts.revision > 0 and counts.takes_new_work:
                return
            time.sleep(0.2)
        raise TimeoutError("the gateway has no configuration")

    def _pool(self) -> Pool:
        backends = tuple(
            Backend(f"server-{number}", address, zone_name(0))
            for number, address in enumerate(self._server_addresses)
        )
        return Pool(
            name=POOL_NAME,
            kind=self._load.pool_kind,
            backends=backends,
            model=POOL_NAME,
            maximum_concurrency=MAXIMUM_CONCURRENCY,
        )

    def _start_callers(self, targets: Sequence[str]) -> None:
        load = self._load
        for number in range(load.callers):
            settings = HollowCallerSettings(
                node_id=f"caller-{number}",
                address=targets[number % len(targets)],
                path=f"/{POOL_NAME}/stock?item=1",
                requests_per_second=load.requests_per_second / load.callers,
                streams=load.streams // load.callers,
                tokens_per_stream=load.tokens_per_stream,
            )
            host = HostSettings(node_id=settings.node_id, http_address="", log_level="warning")
            spec = hosted_spec(HostedKind.HOLLOW_CALLER, host, settings)
            self._callers.append(WorkerProcess(settings.node_id, [spec], self._folder))
        for caller in self._callers:
            caller.wait_started()

    def _caller_counts(self) -> list[HollowCallerCounts]:
        return [count for worker in self._callers for count in worker.report().callers.values()]


def gateway_spec(
    node_id: str,
    http_address: str,
    internal_address: str,
    control: ControlGroup,
    folder: Path,
    zone_number: int = 0,
) -> HostedSpec:
    """Return the spec of a gateway with an HTTP endpoint."""
    settings = GatewaySettings(
        node_id=node_id,
        zone=zone_name(zone_number),
        address=internal_address,
        http_address=http_address,
        control_members=control.members,
    )
    host = HostSettings(
        node_id=node_id,
        http_address=http_address,
        internal_address=internal_address,
        data_folder=str(folder / node_id),
        peers={member.node_id: member.address for member in control.members},
        log_level="warning",
    )
    return hosted_spec(HostedKind.GATEWAY, host, settings)


def _server_spec(number: int, address: str, load: EndpointLoad) -> HostedSpec:
    settings = HollowServerSettings(
        node_id=f"server-{number}",
        model=POOL_NAME,
        tokens_per_chunk=load.tokens_per_chunk,
        chunk_interval_seconds=load.chunk_interval_seconds,
    )
    host = HostSettings(node_id=settings.node_id, http_address=address, log_level="warning")
    return hosted_spec(HostedKind.HOLLOW_SERVER, host, settings)


def _sum_costs(costs: Sequence[ProcessCost]) -> ProcessCost:
    return ProcessCost(
        elapsed_seconds=costs[0].elapsed_seconds,
        cpu_seconds=sum(cost.cpu_seconds for cost in costs),
        resident_bytes=sum(cost.resident_bytes for cost in costs),
    )


def _difference(
    before: Sequence[HollowCallerCounts], after: Sequence[HollowCallerCounts], field: str
) -> int:
    return int(
        sum(getattr(counts, field) for counts in after)
        - sum(getattr(counts, field) for counts in before)
    )
