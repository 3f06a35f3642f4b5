"""Load that coordinators put on control, against how many of them there are."""

from collections.abc import Iterator, Sequence
from pathlib import Path

import msgspec

from merlinstand.coordinator.settings import CoordinatorSettings, RolloutSettings
from merlinstand_lab.capacity.control_group import ControlGroup
from merlinstand_lab.capacity.fleet import HollowFleet
from merlinstand_lab.capacity.results import Measured
from merlinstand_lab.capacity.server_park import ParkPlan, ServerPark
from merlinstand_lab.capacity.topology import (
    free_addresses,
    hosted_spec,
    session_host,
    zone_name,
)
from merlinstand_lab.capacity.window import Subject, measure_roles
from merlinstand_lab.capacity.worker_spec import HostedKind, HostedSpec

COORDINATORS = (4, 8, 16, 30)
POOLS = 34
SETTLE_SECONDS = 10.0
"""Coordinators wait a while before they ask for what another prefers."""
WINDOW_SECONDS = 15.0
JOIN_TIMEOUT_SECONDS = 60.0


class CoordinatorPlan(msgspec.Struct, frozen=True, kw_only=True):
    """How many coordinators before how many pools."""

    coordinators: Sequence[int] = COORDINATORS
    pools: int = POOLS
    replicas: int = 7
    window_seconds: float = WINDOW_SECONDS


def measure_coordinators(folder: Path, plan: CoordinatorPlan) -> Iterator[Measured]:
    """Measure the leader with all leases taken and nothing to do."""
    for count in plan.coordinators:
        run = folder / f"coordinators-{count}"
        control = ControlGroup(plan.replicas, run)
        park = ServerPark(ParkPlan(servers=plan.pools, servers_per_pool=1), run)
        fleet = HollowFleet([], run)
        try:
            control.wait_ready()
            park.wait_started()
            park.put_pools(control.operator)
            revision = park.put_jobs(control.operator)
            fleet = HollowFleet(coordinator_specs(count, control, run), run, "coordinators")
            fleet.wait_started()
            if not fleet.wait_revision(revision, JOIN_TIMEOUT_SECONDS):
                raise TimeoutError("not all coordinators joined")
            fleet.wait_quiet(SETTLE_SECONDS, JOIN_TIMEOUT_SECONDS)
            subject = Subject("coordinators", "coordinators", count)
            yield from measure_roles(subject, control, fleet, plan.window_seconds)
        finally:
            fleet.stop()
            park.stop()
            control.stop()


def coordinator_specs(
    count: int, control: ControlGroup, folder: Path, rollout: RolloutSettings | None = None
) -> list[HostedSpec]:
    """Return the specs of coordinators with HTTP endpoints."""
    addresses = free_addresses(2 * count)
    return [
        _spec(
            _settings(
                number,
                addresses[2 * number],
                addresses[2 * number + 1],
                control,
                rollout or RolloutSettings(),
            ),
            folder,
        )
        for number in range(count)
    ]


def _settings(
    number: int,
    internal_address: str,
    http_address: str,
    control: ControlGroup,
    rollout: RolloutSettings,
) -> CoordinatorSettings:
    return CoordinatorSettings(
        node_id=f"coordinator-{number}",
        zone=zone_name(number),
        address=internal_address,
        http_address=http_address,
        control_members=control.members,
        rollout=rollout,
    )


def _spec(settings: CoordinatorSettings, folder: Path) -> HostedSpec:
    host = session_host(settings.node_id, settings.address, settings.control_members, folder)
    host = msgspec.structs.replace(host, http_address=settings.http_address)
    return hosted_spec(HostedKind.COORDINATOR, host, settings)
