"""Warns about regions in a routes document that the deployment doesn't have (pure functions).

A document with unknown regions is valid: a region may be named before its first machine starts, and
the daemon that accepts the document may have older settings than other daemons. Requests restricted
to such a region are rejected in the meantime, so operators are warned.
"""

from merlinstand.cluster.routes import RoutesDocument
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.kernel.effects import Effect, LogEvent

MAXIMUM_WARNINGS = 20
"""Maximum number of warnings logged for one document; the first ones are enough to find the
error."""


def region_warnings(document: RoutesDocument, zone_map: ZoneMap) -> list[Effect]:
    """Return a log event for each region that a route or tenant names and no zone belongs to."""
    known = set(zone_map.region_by_zone.values())
    named = [
        *((f"route {route.name!r}", route.allowed_regions) for route in document.routes),
        *((f"tenant {tenant.name!r}", tenant.allowed_regions) for tenant in document.tenants),
    ]
    unknown = [(named_by, name) for named_by, names in named for name in names if name not in known]
    return [
        LogEvent(
            "document.unknown_region",
            {"version": document.version, "named_by": named_by, "region": region},
            "warning",
        )
        for named_by, region in unknown[:MAXIMUM_WARNINGS]
    ]
