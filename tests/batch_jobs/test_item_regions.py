"""Items and scoring calls of jobs that are bound to regions; what the leading keeper refuses."""

from typing import Any

import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob, ScoringCall
from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.item_regions import find_keeper_outside
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

PLACES = ZoneMap({"n-1": "north", "s-1": "south"})
NAMES = HeaderNames()


def server(name: str, service: str, zone: str) -> Backend:
    return Backend(
        backend_id=BackendId(name), service=service, address=f"{name}:1", zone=zone, slots=4
    )


SERVERS = (
    server("engine-north", "llm", "n-1"),
    server("engine-south", "llm", "s-1"),
    server("shop-north", "shop", "n-1"),
    server("shop-south", "shop", "s-1"),
)


class BoundKeeper:
    """A runner of one job with eight items."""

    def __init__(
        self,
        of_items: tuple[str, ...] = (),
        of_scoring: tuple[str, ...] = (),
        of_tenant: tuple[str, ...] = (),
        places: ZoneMap = PLACES,
    ) -> None:
        self.follower = DirectoryFollower((), _no_report)
        self.bind(of_items, of_scoring, of_tenant)
        self.follower.set_backends(SERVERS)
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
        self.runner.begin(0.0)

    def bind(
        self,
        of_items: tuple[str, ...],
        of_scoring: tuple[str, ...] = (),
        of_tenant: tuple[str, ...] = (),
    ) -> None:
        """A document comes into force."""
        items = make_route(RouteKind.BATCH, "llm", "/b/", allowed_regions=of_items)
        scoring = make_route(RouteKind.REPEATABLE, "shop", "/l/", allowed_regions=of_scoring)
        tenants = (Tenant(name="alpha", allowed_regions=of_tenant),)
        document = RoutesDocument(version=1, routes=(items, scoring), tenants=tenants)
        self.follower.routes = RouteTable(document)

    def started(self) -> set[str]:
        """Start what waits; gives the engines."""
        return addresses(self.runner.start_if_due(0.0))

    def scored(self) -> set[str]:
        """Let all texts be whole; gives the servers that are asked for a score."""
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
    ("bounds", "engines"),
    [
        pytest.param({}, {"engine-north:1", "engine-south:1"}, id="nothing-binds"),
        pytest.param({"of_items": ("north",)}, {"engine-north:1"}, id="route"),
        pytest.param({"of_tenant": ("south",)}, {"engine-south:1"}, id="tenant"),
        pytest.param(
            {"of_items": ("north", "south"), "of_tenant": ("south",)},
            {"engine-south:1"},
            id="both",
        ),
        pytest.param({"of_items": ("north",), "of_tenant": ("south",)}, set(), id="none-common"),
        pytest.param({"of_items": ("west",)}, set(), id="region-without-zones"),
        pytest.param({"of_items": ("north",), "places": ZoneMap()}, set(), id="no-zones-known"),
    ],
)
def test_engines_that_run_the_items(bounds: dict[str, Any], engines: set[str]) -> None:
    assert BoundKeeper(**bounds).started() == engines


def test_a_document_that_binds_holds_for_items_that_still_wait() -> None:
    keeper = BoundKeeper(of_items=("west",))
    assert keeper.started() == set()
    keeper.bind(("south",))
    keeper.runner._is_start_due = True
    assert keeper.started() == {"engine-south:1"}


@pytest.mark.parametrize(
    ("bounds", "servers"),
    [
        pytest.param({"of_scoring": ("north",)}, {"shop-north:1"}, id="route"),
        pytest.param({"of_tenant": ("south",)}, {"shop-south:1"}, id="tenant-of-the-job"),
        pytest.param({"of_items": ("south",)}, {"shop-north:1", "shop-south:1"}, id="not-items'"),
        pytest.param({"of_scoring": ("north",), "of_tenant": ("south",)}, set(), id="none-common"),
    ],
)
def test_servers_that_score_the_items(bounds: dict[str, Any], servers: set[str]) -> None:
    asked = BoundKeeper(**bounds).scored()
    assert asked <= servers
    assert bool(asked) is bool(servers)


@pytest.mark.parametrize(
    ("regions", "reported", "members", "refusal"),
    [
        pytest.param((), "ns", "ns", "", id="anywhere"),
        pytest.param(("north",), "n", "n", "", id="all-inside"),
        pytest.param(("north",), "n", "ns", "keeper m1 stands in zone 's-1'", id="silent-member"),
        pytest.param(("north",), "ns", "n", "keeper r1 stands in zone 's-1'", id="standby"),
    ],
)
def test_what_the_leading_keeper_refuses(
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
    assert find_keeper_outside(regions, follower, group, PLACES) == refusal
