"""Regions that a document names and the deployment doesn't have (a pure check).

Such a document is valid: a region may be named before its first machine is there, and the machine
that takes the document may have older settings than the others. What it binds is refused meanwhile,
so the operators are warned.
"""

from merlinstand.cluster.routes import RoutesDocument
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.kernel.effects import Effect, LogEvent

MAXIMUM_WARNINGS = 20
"""Lines about one document; the first ones name the places well enough."""


def region_warnings(document: RoutesDocument, zone_map: ZoneMap) -> list[Effect]:
    """Give a line of the log for each region that is named and not there."""
    known = set(zone_map.region_by_zone.values())
    named = [
        *((f"route {route.name!r}", route.allowed_regions) for route in document.routes),
        *((f"tenant {tenant.name!r}", tenant.allowed_regions) for tenant in document.tenants),
    ]
    unknown = [(place, name) for place, names in named for name in names if name not in known]
    return [
        LogEvent(
            "document.unknown_region",
            {"version": document.version, "place": place, "region": region},
            "warning",
        )
        for place, region in unknown[:MAXIMUM_WARNINGS]
    ]
