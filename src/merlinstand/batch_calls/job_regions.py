"""The regions in which a batch job may be stored (pure function).

One group of keepers stores all request bodies and results of a job, so every keeper of the group
must be in a region that is allowed for every part of the job.
"""

from merlinstand.batch_calls.jobs import BatchJob
from merlinstand.cluster.regions import RegionsResult, common_regions
from merlinstand.cluster.routes import RouteTable


def find_allowed_regions(job: BatchJob, routes: RouteTable) -> RegionsResult:
    """Return the regions in which a job may be stored.

    The regions are restricted by the job's tenant and by the routes of the job, its items and their
    scoring calls.
    """
    hosts_and_paths = {(job.host, job.path)}
    for item in job.items:
        hosts_and_paths.add((item.headers.get("host", job.host), item.path))
        if item.scoring is not None:
            hosts_and_paths.add((item.scoring.host, item.scoring.path))
    routes_used = (routes.find(host, path.partition("?")[0]) for host, path in hosts_and_paths)
    allowed_regions = {route.allowed_regions for route in routes_used if route is not None}
    return common_regions(routes.tenants.regions_of(job.tenant), *allowed_regions)
