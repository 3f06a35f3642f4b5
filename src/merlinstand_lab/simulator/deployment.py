"""Sizes and settings of the deployments that scenarios run."""

import enum

import msgspec

from merlinstand.control.settings import ControlMember
from merlinstand_lab.simulator.topology import TATRASOFT, VITRINA, Topology

OPERATOR_TOKEN = "simulated-operators"
HTTP_PORT = 8080
"""Port of every simulated endpoint; chosen, not measured."""
INTERNAL_PORT = 7070
"""Port of the internal protocol; chosen, not measured."""


class Parts(enum.Enum):
    """How much of a deployment is simulated."""

    CONTROL = "control"
    """The control group and operators."""
    SESSIONS = "sessions"
    """With daemons that only follow the configuration and hold leases."""
    WHOLE = "whole"
    """Everything, with stand-ins for the outside world."""


class Scheduler(enum.Enum):
    """Who schedules generations and feeds trainers."""

    MERLINSTAND = "merlinstand"
    SCRIPTS = "scripts"
    """The baseline: what teams' own scripts do (`standins.scripts`)."""
    BOTH = "both"
    """merlinstand, with the scripts beside it: trainers may be told to follow either."""


class Place(msgspec.Struct, frozen=True):
    """One process's name and where it listens."""

    node_id: str
    zone: str
    host: str

    @property
    def http_address(self) -> str:
        """Where HTTP is served."""
        return f"{self.host}:{HTTP_PORT}"

    @property
    def internal_address(self) -> str:
        """Where the internal protocol listens."""
        return f"{self.host}:{INTERNAL_PORT}"

    def member(self) -> ControlMember:
        """Return the entry by which others know this place."""
        return ControlMember(
            node_id=self.node_id,
            address=self.internal_address,
            zone=self.zone,
            http_address=self.http_address,
        )


class Sizes(msgspec.Struct, frozen=True, kw_only=True):
    """Names and numbers of one deployment of the brief."""

    name: str
    topology: Topology
    engine_pool: str
    engines: int
    service_pool: str
    services: int
    bookings: bool
    """Whether the service's POST requests are not repeatable."""


VITRINA_SIZES = Sizes(
    name="vitrina",
    topology=VITRINA,
    engine_pool="blurb-llm",
    engines=4,
    service_pool="shop-api",
    services=3,
    bookings=False,
)
TATRASOFT_SIZES = Sizes(
    name="tatrasoft",
    topology=TATRASOFT,
    engine_pool="vet-llm",
    engines=5,
    service_pool="book-app",
    services=3,
    bookings=True,
)


class Places(msgspec.Struct, frozen=True, kw_only=True):
    """Where every process of a deployment runs."""

    controls: tuple[Place, ...]
    standbys: tuple[Place, ...]
    gateways: tuple[Place, ...]
    coordinators: tuple[Place, ...]
    sessions: tuple[Place, ...]
    engines: tuple[Place, ...]
    services: tuple[Place, ...]
    trainers: tuple[Place, ...]
    weight_store: Place
    scorer: Place
    machine_list: Place
    scripts: Place
    callers: Place
    operators: Place


class FleetPlan(msgspec.Struct, frozen=True, kw_only=True):
    """What to simulate."""

    sizes: Sizes = VITRINA_SIZES
    parts: Parts = Parts.CONTROL
    controls: int = 3
    standbys: int = 2
    gateways: int = 3
    coordinators: int = 2
    session_daemons: int = 6
    replacement_delay_seconds: float = 10.0
    snapshot_every_entries: int = 1_000
    lookups_per_second: float = 4.0
    bookings_per_second: float = 2.0
    completions_per_second: float = 0.2
    batch_size: int = 16
    samples_per_prompt: int = 1
    trainers: int = 1
    publishers: int = 1
    """How many of the trainers publish weights: two race each other with equal versions."""
    maximum_tokens: int = 400
    maximum_staleness_versions: int = 2
    scheduler: Scheduler = Scheduler.MERLINSTAND


def _places(
    plan: FleetPlan, prefix: str, count: int, network: int, zones: tuple[str, ...]
) -> tuple[Place, ...]:
    return tuple(
        Place(f"{prefix}-{number + 1}", zones[number % len(zones)], f"10.0.{network}.{number + 1}")
        for number in range(count)
    )


def lay_out(plan: FleetPlan) -> Places:
    """Spread the processes of a plan over its zones."""
    zones = plan.sizes.topology.zones
    shifted = zones[1:] + zones[:1]

    def some(prefix: str, count: int, network: int) -> tuple[Place, ...]:
        return _places(plan, prefix, count, network, zones)

    def one(name: str, network: int, zone: str) -> Place:
        return Place(name, zone, f"10.0.{network}.1")

    return Places(
        controls=some("control", plan.controls, 1),
        standbys=_places(plan, "standby", plan.standbys, 2, shifted),
        gateways=some("gateway", plan.gateways, 3),
        coordinators=some("coordinator", plan.coordinators, 4),
        sessions=some("daemon", plan.session_daemons, 5),
        engines=some(plan.sizes.engine_pool, plan.sizes.engines, 6),
        services=some(plan.sizes.service_pool, plan.sizes.services, 7),
        trainers=some("trainer", plan.trainers, 8),
        weight_store=one("weight-store", 9, zones[0]),
        scorer=one("scorer", 10, zones[0]),
        machine_list=one("machine-list", 11, zones[0]),
        scripts=one("old-scripts", 15, zones[0]),
        callers=one("callers", 12, "clients"),
        operators=one("operators", 13, "clients"),
    )
