"""Regions in which items may run and be scored, according to the current routes document.

Used by the leading keeper: by its `runner` for each item, and when a job is submitted.
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
    """Returns the allowed regions of items."""

    def __init__(
        self,
        jobs: JobStates,
        requests: ItemRequests,
        follower: DirectoryFollower,
        zone_map: ZoneMap,
    ) -> None:
        """Store the dependencies.

        Args:
            jobs: The replicated jobs.
            requests: Finds the routes of items.
            follower: The directory, for routes and tenants.
            zone_map: Maps zones to regions.
        """
        self._jobs = jobs
        self._requests = requests
        self._follower = follower
        self._zone_map = zone_map
        self._checked_routes: RouteTable | None = None
        self._has_restrictions = False

    def allowed_zones(self, run: ItemRun) -> frozenset[str] | None:
        """Return the zones whose engines may run an item; None if unrestricted."""
        routes = self._follower.routes
        if not self._is_restricted(routes):
            return None
        job = self._jobs.jobs[run.job_id].job
        route = self._requests.route_of(run)
        route_regions = route.allowed_regions if route is not None else ()
        allowed = common_regions(route_regions, routes.tenants.regions_of(job.tenant))
        if isinstance(allowed, Err):
            return frozenset()
        if not allowed.ok_value:
            return None
        zones = self._zone_map.region_by_zone.items()
        return frozenset(zone for zone, region in zones if region in allowed.ok_value)

    def scoring_regions(self, run: ItemRun, route: Route) -> RegionsResult:
        """Return the regions whose backends may score an item.

        A region must be allowed by both the scoring route and the job's tenant.
        """
        job = self._jobs.jobs[run.job_id].job
        tenant_regions = self._follower.routes.tenants.regions_of(job.tenant)
        return common_regions(route.allowed_regions, tenant_regions)

    def _is_restricted(self, routes: RouteTable) -> bool:
        """Return whether any route or tenant is restricted to regions; cached per document."""
        if self._checked_routes is not routes:
            self._checked_routes = routes
            document = routes.document
            routes_restricted = any(route.allowed_regions for route in document.routes)
            tenants_restricted = any(tenant.allowed_regions for tenant in document.tenants)
            self._has_restrictions = routes_restricted or tenants_restricted
        return self._has_restrictions


def find_region_violation(
    regions: Iterable[str],
    follower: DirectoryFollower,
    members: Iterable[Member],
    zone_map: ZoneMap,
) -> str:
    """Return why a job may not be stored by this group of keepers; empty if it may.

    The members are checked in addition to the directory's keepers, because the directory does not
    list members that have not reported recently.

    Args:
        regions: Regions in which the job may be stored; empty if unrestricted.
        follower: The directory, for all keepers that could become members.
        members: Members of the group according to the leader's log.
        zone_map: Maps zones to regions.
    """
    keepers = [StorageNode(keeper.name, keeper.zone) for keeper in follower.keepers]
    keepers += [StorageNode(str(member.identity.node_id), member.zone) for member in members]
    outside = find_node_outside(keepers, frozenset(regions), zone_map)
    return f"keeper {outside.name} is in zone {outside.zone!r}" if outside else ""
