"""Distance of a backend from this process: same zone, same region, or another region."""

import enum

import msgspec

from merlinstand.cluster.zone_map import ZoneMap

DEFAULT_LATENCY_SECONDS = 0.03
"""Latency assumed of a backend in the own zone without any measurement."""
CROSS_ZONE_ROUND_TRIP_SECONDS = 0.002
"""Round trip assumed to another zone of the region, about 1 ms each way."""
CROSS_REGION_ROUND_TRIP_SECONDS = 0.04
"""Round trip assumed to another region, over some thousand km of fibre."""
CROSS_ZONE_COST_FACTOR = 1.05
"""Traffic between zones is charged for. Together with the assumed round trip the factor exceeds the
random factor among equal backends (1.1) and stays below the cost of one request in flight."""
CROSS_REGION_COST_FACTOR = 1.25
"""Traffic between regions is charged for, and its links are shared by all traffic."""
CONNECT_TIMEOUT_SECONDS = 0.1
"""Within a region a connection takes a few ms, on a busy machine with half a core tens of ms."""
CROSS_REGION_CONNECT_TIMEOUT_SECONDS = 0.25
"""Allows for a few more round trips between regions."""


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
        """Return the distance to a zone; an empty zone name counts as the own zone."""
        if not zone or not self.zone or zone == self.zone:
            return Distance.OWN_ZONE
        if self.zone_map.region_of(zone) == self.zone_map.region_of(self.zone):
            return Distance.OWN_REGION
        return Distance.OTHER_REGION


class DistanceProfile(msgspec.Struct, frozen=True):
    """What sending to a backend at one distance takes."""

    default_latency_seconds: float
    """Latency assumed until a response was measured."""
    cost_factor: float
    """Factor for the cost of its traffic, applied on top of latency."""
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
