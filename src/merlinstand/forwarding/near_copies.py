"""Keepers nearby that hold the replicated jobs: read there, results cross no zone, or no region.

Used by `batch_relay`. Owns which copies failed lately; relies on the directory's follower.

A position of a job never changes once it is committed, so any copy that has a result there may
give it. What a copy lacks, only the leader knows.
"""

from collections.abc import Iterable

from merlinstand.cluster.daemons import Keeper
from merlinstand.cluster.places import ZoneMap
from merlinstand.directory.follower import DirectoryFollower

AVOID_SECONDS = 3.0
"""A copy that did not answer is passed over for this long. Chosen, not measured."""


class NearCopies:
    """The choice of a copy for one gateway."""

    def __init__(self, zone: str, places: ZoneMap, follower: DirectoryFollower) -> None:
        """Begin without evidence.

        Args:
            zone: The gateway's zone.
            places: Regions of the zones.
            follower: Knows the keepers.
        """
        self._zone = zone
        self._places = places
        self._follower = follower
        self._avoid_until: dict[str, float] = {}
        """By HTTP address; no more of them than keepers."""
        self._turn = 0

    def choose(self, now: float) -> str:
        """Give a copy's HTTP address; empty if the leader is as near, or no copy is."""
        keepers = self._follower.keepers
        copies = self._copies_among((k for k in keepers if k.zone == self._zone), now)
        copies = copies or self._copies_among((k for k in keepers if self._is_in_region(k)), now)
        self._turn += 1
        return copies[self._turn % len(copies)] if copies else ""

    def _is_in_region(self, keeper: Keeper) -> bool:
        return self._places.region_of(keeper.zone) == self._places.region_of(self._zone)

    def _copies_among(self, near: Iterable[Keeper], now: float) -> list[str]:
        """Addresses of copies; none if the leader is among these keepers, which lacks nothing."""
        keepers = list(near)
        if any(keeper.is_leader for keeper in keepers):
            return []
        return [
            keeper.http_address
            for keeper in keepers
            if keeper.has_replica and self._avoid_until.get(keeper.http_address, 0.0) <= now
        ]

    def note_failure(self, address: str, now: float) -> None:
        """A copy gave no answer, or none that can be understood."""
        known = {keeper.http_address for keeper in self._follower.keepers}
        self._avoid_until = {a: t for a, t in self._avoid_until.items() if a in known}
        self._avoid_until[address] = now + AVOID_SECONDS
