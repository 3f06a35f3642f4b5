"""Items run and are scored only in allowed regions, and keepers outside them refuse jobs."""

from typing import Any

import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob, ScoringCall
from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.item_regions import find_region_violation
from merlinstand.batch_jobs.item_run import RunPhase
from merlinstand.batch_jobs.runner import ItemRunner
from merlinstand.batch_jobs.state_machine import AcceptJob, JobStates
from merlinstand.cluster.backends import Backend
from merlinstand.cluster.daemons import DaemonReport, Keeper
from merlinstand.cluster.header_names import HeaderNames
from merlinstand.cluster.routes import RouteKind, RoutesDocument, RouteTable
from merlinstand.cluster.tenants import Tenant
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.ids import BackendId, NodeId, Zone
from merlinstand.consensus.membership import Identity, Member
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.kernel.effects import Effect, StartCall
from tests.batch_jobs.contexts import make_context
from tests.routes import make_route

ZONE_MAP = ZoneMap({"n-1": "north", "s-1": "south"})
NAMES = HeaderNames()


def make_backend(name: str, service: str, zone: str) -> Backend:
    return Backend(
        backend_id=BackendId(name), service=service, address=f"{name}:1", zone=zone, slots=4
    )


BACKENDS = (
    make_backend("engine-north", "llm", "n-1"),
    make_backend("engine-south", "llm", "s-1"),
    make_backend("shop-north", "shop", "n-1"),
    make_backend("shop-south", "shop", "s-1"),
)


class RestrictedKeeper:
    """A runner with one job of eight items, restricted to regions."""

    def __init__(
        self,
        item_route_regions: tuple[str, ...] = (),
        scoring_route_regions: tuple[str, ...] = (),
        tenant_regions: tuple[str, ...] = (),
        places: ZoneMap = ZONE_MAP,
    ) -> None:
        self.follower = DirectoryFollower((), _no_report)
        self.restrict(item_route_regions, scoring_route_regions, tenant_regions)
        self.follower.set_backends(BACKENDS)
        self.follower.backends_revision = 1
        jobs = JobStates()
        items = tuple(
            BatchItem(
                item_id=f"i{number}",
                path="/b/1",
                headers={},
                body=b"",
                scoring=ScoringCall(f"s{number}", "h", "/l/score", b""),
            )
            for number in range(8)
        )
        job = BatchJob(job_id="j", host="h", path="/b/x", items=items, tenant="alpha")
        jobs.apply(AcceptJob(job), 0.0)
        engines = EngineStates(self.follower)
        engines.refresh()
        context = make_context(
            jobs,
            self.follower,
            engines,
            Forwarder(NAMES, self.follower.backends_of, places),
            NAMES,
            lambda _command, _now: [],
            places=places,
        )
        self.runner = ItemRunner(context)
        self.runner.load_open_jobs(0.0)

    def restrict(
        self,
        item_route_regions: tuple[str, ...],
        scoring_route_regions: tuple[str, ...] = (),
        tenant_regions: tuple[str, ...] = (),
    ) -> None:
        """Apply a routes document with these restrictions."""
        items = make_route(RouteKind.BATCH, "llm", "/b/", allowed_regions=item_route_regions)
        scoring = make_route(
            RouteKind.REPEATABLE, "shop", "/l/", allowed_regions=scoring_route_regions
        )
        tenants = (Tenant(name="alpha", allowed_regions=tenant_regions),)
        document = RoutesDocument(version=1, routes=(items, scoring), tenants=tenants)
        self.follower.routes = RouteTable(document)

    def engines_of_started_runs(self) -> set[str]:
        """Start waiting items; return the addresses of their engines."""
        return addresses(self.runner.start_if_due(0.0))

    def backends_of_scoring_calls(self) -> set[str]:
        """Score all items; return the addresses of the backends that are called."""
        effects: list[Effect] = []
        for run in self.runner._runs.values():
            run.phase = RunPhase.SCORING
            effects += self.runner._scoring.score(run, 0.0)
        return addresses(effects)


def _no_report(_now: float) -> DaemonReport:
    return DaemonReport(node_id="k", name="k", role="keeper")


def addresses(effects: list[Effect]) -> set[str]:
    return {effect.address for effect in effects if isinstance(effect, StartCall)}


@pytest.mark.parametrize(
    ("restrictions", "engines"),
    [
        pytest.param({}, {"engine-north:1", "engine-south:1"}, id="unrestricted"),
        pytest.param({"item_route_regions": ("north",)}, {"engine-north:1"}, id="route"),
        pytest.param({"tenant_regions": ("south",)}, {"engine-south:1"}, id="tenant"),
        pytest.param(
            {"item_route_regions": ("north", "south"), "tenant_regions": ("south",)},
            {"engine-south:1"},
            id="both",
        ),
        pytest.param(
            {"item_route_regions": ("north",), "tenant_regions": ("south",)},
            set(),
            id="no-common-region",
        ),
        pytest.param({"item_route_regions": ("west",)}, set(), id="region-without-zones"),
        pytest.param(
            {"item_route_regions": ("north",), "places": ZoneMap()},
            set(),
            id="zones-not-configured",
        ),
    ],
)
def test_items_run_only_in_allowed_regions(restrictions: dict[str, Any], engines: set[str]) -> None:
    assert RestrictedKeeper(**restrictions).engines_of_started_runs() == engines


def test_a_changed_restriction_applies_to_waiting_items() -> None:
    keeper = RestrictedKeeper(item_route_regions=("west",))
    assert keeper.engines_of_started_runs() == set()
    keeper.restrict(("south",))
    keeper.runner._is_start_due = True
    assert keeper.engines_of_started_runs() == {"engine-south:1"}


@pytest.mark.parametrize(
    ("restrictions", "backends"),
    [
        pytest.param({"scoring_route_regions": ("north",)}, {"shop-north:1"}, id="route"),
        pytest.param({"tenant_regions": ("south",)}, {"shop-south:1"}, id="tenant"),
        pytest.param(
            {"item_route_regions": ("south",)},
            {"shop-north:1", "shop-south:1"},
            id="regions-of-the-item-route-do-not-apply",
        ),
        pytest.param(
            {"scoring_route_regions": ("north",), "tenant_regions": ("south",)},
            set(),
            id="no-common-region",
        ),
    ],
)
def test_items_are_scored_only_in_allowed_regions(
    restrictions: dict[str, Any], backends: set[str]
) -> None:
    addresses_called = RestrictedKeeper(**restrictions).backends_of_scoring_calls()
    assert addresses_called <= backends
    assert bool(addresses_called) is bool(backends)


@pytest.mark.parametrize(
    ("regions", "reported", "members", "refusal"),
    [
        pytest.param((), "ns", "ns", "", id="unrestricted"),
        pytest.param(("north",), "n", "n", "", id="all-keepers-allowed"),
        pytest.param(
            ("north",), "n", "ns", "keeper m1 is in zone 's-1'", id="member-that-does-not-report"
        ),
        pytest.param(("north",), "ns", "n", "keeper r1 is in zone 's-1'", id="standby"),
    ],
)
def test_jobs_are_refused_if_a_keeper_is_outside_the_allowed_regions(
    regions: tuple[str, ...], reported: str, members: str, refusal: str
) -> None:
    zones = {"n": "n-1", "s": "s-1"}
    follower = DirectoryFollower((), _no_report)
    follower.keepers = tuple(
        Keeper(
            node_id=f"r{number}",
            name=f"r{number}",
            zone=zones[letter],
            address="",
            http_address="",
            is_leader=False,
            term=1,
        )
        for number, letter in enumerate(reported)
    )
    group = [
        Member(Identity(NodeId(f"m{number}"), 1), "", Zone(zones[letter]))
        for number, letter in enumerate(members)
    ]
    assert find_region_violation(regions, follower, group, ZONE_MAP) == refusal
