"""Hollow servers with HTTP endpoints, many in a process, and the pools they form."""

from collections.abc import Sequence
from pathlib import Path

import msgspec

from merlinstand.configuration.objects import Backend, Job, JobPhase, Pool, PoolKind
from merlinstand.runtime.host_settings import HostSettings
from merlinstand_lab.capacity.fleet import HollowFleet
from merlinstand_lab.capacity.hollow_settings import HollowServerSettings
from merlinstand_lab.capacity.operator_client import OperatorClient
from merlinstand_lab.capacity.topology import free_addresses, hosted_spec, zone_name
from merlinstand_lab.capacity.worker_spec import HostedKind

SERVERS_PER_PROCESS = 425


class ParkPlan(msgspec.Struct, frozen=True, kw_only=True):
    """How many servers, in pools of which size."""

    servers: int
    servers_per_pool: int = 100
    servers_per_process: int = SERVERS_PER_PROCESS
    model: str = ""
    """Model of all pools; empty for one of its own for each pool."""
    load_seconds: float = 0.0
    """Time an engine needs to load a version if it asks no store."""
    asks_store: bool = False
    tokens_per_chunk: int = 8
    chunk_interval_seconds: float = 0.2
    first_version: int = 1


class ServerPark:
    """Running hollow servers."""

    def __init__(self, plan: ParkPlan, folder: Path, name: str = "park") -> None:
        """Start the servers; `wait_started` follows."""
        self.plan = plan
        addresses = free_addresses(plan.servers)
        self.pools = _make_pools(plan, addresses)
        specs = []
        for pool in self.pools:
            for backend in pool.backends:
                settings = HollowServerSettings(
                    node_id=backend.backend_id,
                    model=pool.model,
                    tokens_per_chunk=plan.tokens_per_chunk,
                    chunk_interval_seconds=plan.chunk_interval_seconds,
                    first_version=plan.first_version,
                    load_seconds=plan.load_seconds,
                    asks_store=plan.asks_store,
                )
                host = HostSettings(
                    node_id=backend.backend_id, http_address=backend.address, log_level="warning"
                )
                specs.append(hosted_spec(HostedKind.HOLLOW_SERVER, host, settings))
        self.fleet = HollowFleet(specs, folder, name, plan.servers_per_process)

    def wait_started(self) -> None:
        """Block until every server listens."""
        self.fleet.wait_started()

    def put_pools(self, operator: OperatorClient) -> int:
        """Put every pool; return the revision of the last one."""
        revision = 1
        for pool in self.pools:
            revision = operator.put(f"pool/{pool.name}", pool).revision
        return revision

    def put_jobs(self, operator: OperatorClient) -> int:
        """Put a paused job for every pool; return the revision of the last one.

        Coordinators take over the engines of pools that have a job, and of no others.
        """
        revision = 1
        for pool in self.pools:
            job = Job(
                name=f"{pool.name}-job",
                model=pool.model,
                pool=pool.name,
                prompts=("a prompt",),
                phase=JobPhase.PAUSED,
            )
            revision = operator.put(f"job/{job.name}", job).revision
        return revision

    def stop(self) -> None:
        """End the servers."""
        self.fleet.stop()


def _make_pools(plan: ParkPlan, addresses: Sequence[str]) -> list[Pool]:
    pools = []
    for number, first in enumerate(range(0, len(addresses), plan.servers_per_pool)):
        name = f"pool-{number}"
        backends = tuple(
            Backend(f"{name}-server-{offset}", address, zone_name(offset))
            for offset, address in enumerate(addresses[first : first + plan.servers_per_pool])
        )
        model = plan.model or name
        pools.append(Pool(name=name, kind=PoolKind.ENGINE, model=model, backends=backends))
    return pools
