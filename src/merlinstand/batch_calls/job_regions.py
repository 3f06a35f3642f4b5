"""Where a whole batch job may be kept (a pure decision).

A job's bodies and results are kept together by one group of machines, so that all of the group must
stand where every part of the job may be kept.
"""

from merlinstand.batch_calls.jobs import BatchJob
from merlinstand.cluster.regions import RegionsResult, common_regions
from merlinstand.cluster.routes import RouteTable


def find_allowed_regions(job: BatchJob, routes: RouteTable) -> RegionsResult:
    """Give the regions in which a whole job may be kept.

    Its tenant binds it, and the routes of the job itself, of its items and of their scoring calls.
    """
    places = {(job.host, job.path)}
    for item in job.items:
        places.add((item.headers.get("host", job.host), item.path))
        if item.scoring is not None:
            places.add((item.scoring.host, item.scoring.path))
    found = (routes.find(host, path.partition("?")[0]) for host, path in places)
    bounds = {route.allowed_regions for route in found if route is not None}
    return common_regions(routes.tenants.regions_of(job.tenant), *bounds)
