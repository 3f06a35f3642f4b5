"""How far a server stands from this process: the same zone, the same region, or another region."""

import enum

import msgspec

from merlinstand.cluster.places import ZoneMap

DEFAULT_LATENCY_SECONDS = 0.03
"""Assumed of a server in the own zone that nothing is known of."""
REGION_ROUND_TRIP_SECONDS = 0.002
"""Assumed round trip to another zone of the region: about 1 ms one way is usual."""
FAR_ROUND_TRIP_SECONDS = 0.04
"""Assumed round trip to another region: some thousand km of fibre."""
OTHER_ZONE_FACTOR = 1.05
"""Bytes between zones are paid for: with the assumed round trip it is more than the chance among
equal servers (1.1), and less than one request in flight."""
OTHER_REGION_FACTOR = 1.25
"""Bytes between regions are paid for, and their links are shared by all traffic."""
CONNECT_TIMEOUT_SECONDS = 0.1
"""A connection within a region comes up in some ms; a busy machine of half a core may let it wait
for tens of ms."""
FAR_CONNECT_SECONDS = 0.25
"""The same between regions: a few round trips more."""


class Distance(enum.Enum):
    """Where a server stands, seen from this process."""

    OWN_ZONE = "own_zone"
    OWN_REGION = "own_region"
    OTHER_REGION = "other_region"


class ProcessLocation(msgspec.Struct, frozen=True):
    """Where this process stands."""

    zone: str = ""
    places: ZoneMap = ZoneMap()

    def distance_to(self, zone: str) -> Distance:
        """Return how far a zone is; a zone without a name counts as the own one."""
        if not zone or not self.zone or zone == self.zone:
            return Distance.OWN_ZONE
        if self.places.region_of(zone) == self.places.region_of(self.zone):
            return Distance.OWN_REGION
        return Distance.OTHER_REGION


class DistanceProfile(msgspec.Struct, frozen=True):
    """What it takes to reach a server at a distance."""

    first_latency_seconds: float
    """Assumed until answers say better."""
    cost_factor: float
    """What its bytes cost, beside its latency."""
    connect_timeout_seconds: float
    """A connection that has not come up within this time is given up."""


REACH = {
    Distance.OWN_ZONE: DistanceProfile(DEFAULT_LATENCY_SECONDS, 1.0, CONNECT_TIMEOUT_SECONDS),
    Distance.OWN_REGION: DistanceProfile(
        DEFAULT_LATENCY_SECONDS + REGION_ROUND_TRIP_SECONDS,
        OTHER_ZONE_FACTOR,
        CONNECT_TIMEOUT_SECONDS,
    ),
    Distance.OTHER_REGION: DistanceProfile(
        DEFAULT_LATENCY_SECONDS + FAR_ROUND_TRIP_SECONDS, OTHER_REGION_FACTOR, FAR_CONNECT_SECONDS
    ),
}
