"""Where the items of kept jobs may run and be scored, by the newest routes document.

Used by the leading keeper: by its runner for each item, and when a job is submitted. Owns nothing
but whether the document names any regions at all.
"""

from collections.abc import Iterable

from result import Err

from merlinstand.batch_jobs.item_request import ItemRequests
from merlinstand.batch_jobs.item_run import ItemRun
from merlinstand.batch_jobs.state_machine import JobStates
from merlinstand.cluster.regions import (
    RegionsResult,
    StorageNode,
    common_regions,
    find_node_outside,
)
from merlinstand.cluster.routes import Route, RouteTable
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.consensus.membership import Member
from merlinstand.directory.follower import DirectoryFollower


class ItemRegions:
    """Looks items up in the leading keeper."""

    def __init__(
        self,
        jobs: JobStates,
        requests: ItemRequests,
        follower: DirectoryFollower,
        places: ZoneMap,
    ) -> None:
        """Look at nothing yet.

        Args:
            jobs: The replicated jobs.
            requests: Gives the routes of items.
            follower: The directory.
            places: The deployment's zones.
        """
        self._jobs = jobs
        self._requests = requests
        self._follower = follower
        self._places = places
        self._judged: RouteTable | None = None
        self._binds_any = False

    def zones_of(self, run: ItemRun) -> frozenset[str] | None:
        """Give the zones whose engines may run an item; None for all of them."""
        routes = self._follower.routes
        if not self._is_bound(routes):
            return None
        job = self._jobs.jobs[run.job_id].job
        route = self._requests.route_of(run)
        of_route = route.allowed_regions if route is not None else ()
        common = common_regions(of_route, routes.tenants.regions_of(job.tenant))
        if isinstance(common, Err):
            return frozenset()
        if not common.ok_value:
            return None
        zones = self._places.region_by_zone.items()
        return frozenset(zone for zone, region in zones if region in common.ok_value)

    def of_scoring(self, run: ItemRun, route: Route) -> RegionsResult:
        """Give the regions of the servers that may score an item: its tenant's bind that, too."""
        job = self._jobs.jobs[run.job_id].job
        of_tenant = self._follower.routes.tenants.regions_of(job.tenant)
        return common_regions(route.allowed_regions, of_tenant)

    def _is_bound(self, routes: RouteTable) -> bool:
        """Whether any route or tenant names regions; looked up once a document."""
        if self._judged is not routes:
            self._judged = routes
            document = routes.document
            of_routes = any(route.allowed_regions for route in document.routes)
            of_tenants = any(tenant.allowed_regions for tenant in document.tenants)
            self._binds_any = of_routes or of_tenants
        return self._binds_any


def find_keeper_outside(
    regions: Iterable[str], follower: DirectoryFollower, members: Iterable[Member], places: ZoneMap
) -> str:
    """Give the reason why the leading keeper may not take a job; empty if it may.

    Its own list of members holds those that the directory hasn't heard for a while, too.

    Args:
        regions: Where the job may be kept; anywhere if there are none.
        follower: The directory, for all keepers that could become members.
        members: Of the leader's group.
        places: The deployment's zones.
    """
    keepers = [StorageNode(keeper.name, keeper.zone) for keeper in follower.keepers]
    keepers += [StorageNode(str(member.identity.node_id), member.zone) for member in members]
    outsider = find_node_outside(keepers, frozenset(regions), places)
    return f"keeper {outsider.name} stands in zone {outsider.zone!r}" if outsider else ""
