"""Chooses a nearby keeper that holds a replica of the batch jobs, to read results from.

Reading from a nearby keeper avoids traffic across zones or regions. A committed result never
changes, so any replica that has it may return it. If a replica lacks a result, only the leader
knows whether that result exists.
"""

from collections.abc import Iterable

from merlinstand.cluster.daemons import Keeper
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.directory.follower import DirectoryFollower

AVOID_SECONDS = 3.0
"""Time for which a replica is not used after it failed to respond."""


class NearbyReplicas:
    """The choice of a replica for one gateway."""

    def __init__(self, zone: str, zone_map: ZoneMap, follower: DirectoryFollower) -> None:
        """Start with no failed replicas.

        Args:
            zone: The gateway's zone.
            zone_map: Maps zones to regions.
            follower: Knows the keepers.
        """
        self._zone = zone
        self._zone_map = zone_map
        self._follower = follower
        self._avoid_until: dict[str, float] = {}
        """Local time until which a replica is not used, by HTTP address; at most one entry per
        keeper."""
        self._rotation = 0

    def choose(self, now: float) -> str:
        """Return the HTTP address of a replica in this gateway's zone, else in its region.

        Returns an empty string if the leader is at least as near, or if there is no such replica.
        """
        keepers = self._follower.keepers
        replicas = self._replicas_among((k for k in keepers if k.zone == self._zone), now)
        replicas = replicas or self._replicas_among(
            (k for k in keepers if self._is_in_region(k)), now
        )
        self._rotation += 1
        return replicas[self._rotation % len(replicas)] if replicas else ""

    def _is_in_region(self, keeper: Keeper) -> bool:
        return self._zone_map.region_of(keeper.zone) == self._zone_map.region_of(self._zone)

    def _replicas_among(self, nearby: Iterable[Keeper], now: float) -> list[str]:
        """Return the addresses of usable replicas; none if one of the keepers is the leader."""
        keepers = list(nearby)
        if any(keeper.is_leader for keeper in keepers):
            return []
        return [
            keeper.http_address
            for keeper in keepers
            if keeper.has_replica and self._avoid_until.get(keeper.http_address, 0.0) <= now
        ]

    def record_failure(self, address: str, now: float) -> None:
        """Record that a replica did not respond, or sent a malformed reply."""
        known = {keeper.http_address for keeper in self._follower.keepers}
        self._avoid_until = {a: t for a, t in self._avoid_until.items() if a in known}
        self._avoid_until[address] = now + AVOID_SECONDS
