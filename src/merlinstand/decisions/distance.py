"""Distance of a backend from this process: same zone, same region, or another region."""

import enum

import msgspec

from merlinstand.cluster.zone_map import ZoneMap

DEFAULT_LATENCY_SECONDS = 0.03
"""Latency assumed of a backend in this process's zone until a response was measured."""
CROSS_ZONE_ROUND_TRIP_SECONDS = 0.002
"""Assumed round trip to another zone of the region, about 1 ms each way."""
CROSS_REGION_ROUND_TRIP_SECONDS = 0.04
"""Assumed round trip to another region, over some thousand km of fibre."""
CROSS_ZONE_COST_FACTOR = 1.05
"""Cost factor of a backend in another zone, since traffic between zones is charged for. Together
with the assumed round trip, the factor exceeds the random factor among equal backends (1.1) and
stays below the cost of one request in flight."""
CROSS_REGION_COST_FACTOR = 1.25
"""Cost factor of a backend in another region: traffic between regions is charged for, and the
links between them are shared by all traffic."""
CONNECT_TIMEOUT_SECONDS = 0.1
"""Connection timeout within a region, where a connection takes a few ms, or tens of ms on a busy
machine."""
CROSS_REGION_CONNECT_TIMEOUT_SECONDS = 0.25
"""Connection timeout to another region; allows for a few round trips more."""


class Distance(enum.Enum):
    """Location of a backend relative to this process."""

    OWN_ZONE = "own_zone"
    OWN_REGION = "own_region"
    OTHER_REGION = "other_region"


class ProcessLocation(msgspec.Struct, frozen=True):
    """The zone of this process, and which region each zone belongs to."""

    zone: str = ""
    zone_map: ZoneMap = ZoneMap()

    def distance_to(self, zone: str) -> Distance:
        """Return the distance to a zone; an empty zone name counts as this process's zone."""
        if not zone or not self.zone or zone == self.zone:
            return Distance.OWN_ZONE
        if self.zone_map.region_of(zone) == self.zone_map.region_of(self.zone):
            return Distance.OWN_REGION
        return Distance.OTHER_REGION


class DistanceProfile(msgspec.Struct, frozen=True):
    """Latency, cost and timeout assumed of backends at one distance."""

    default_latency_seconds: float
    """Latency assumed until a response was measured."""
    cost_factor: float
    """Factor for the cost of the traffic, by which the latency is multiplied."""
    connect_timeout_seconds: float
    """Timeout of opening a connection."""


DISTANCE_PROFILES = {
    Distance.OWN_ZONE: DistanceProfile(DEFAULT_LATENCY_SECONDS, 1.0, CONNECT_TIMEOUT_SECONDS),
    Distance.OWN_REGION: DistanceProfile(
        DEFAULT_LATENCY_SECONDS + CROSS_ZONE_ROUND_TRIP_SECONDS,
        CROSS_ZONE_COST_FACTOR,
        CONNECT_TIMEOUT_SECONDS,
    ),
    Distance.OTHER_REGION: DistanceProfile(
        DEFAULT_LATENCY_SECONDS + CROSS_REGION_ROUND_TRIP_SECONDS,
        CROSS_REGION_COST_FACTOR,
        CROSS_REGION_CONNECT_TIMEOUT_SECONDS,
    ),
}
