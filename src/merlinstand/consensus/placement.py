"""Placement of a group's voters in regions and zones (pure).

The leader sends every entry to each voter, and a majority must acknowledge it. By default the
voters are placed in one region, which keeps latency low and avoids traffic between regions, which
is billed by the byte. A group that must survive the loss of a region spreads its voters evenly
over regions instead. Within a region, voters are spread over its zones.
"""

from collections import Counter
from collections.abc import Sequence
from typing import Protocol, TypeVar

import msgspec


class HasZone(Protocol):
    """Anything that has a zone."""

    @property
    def zone(self) -> str:
        """Name of the zone."""
        ...


CandidateT = TypeVar("CandidateT", bound=HasZone)


class PlacementRule(msgspec.Struct, frozen=True, kw_only=True):
    """Regions of the deployment and how voters are placed in them."""

    region_by_zone: dict[str, str] = {}
    """Zones that are not listed belong to one unnamed region."""
    tolerated_region_losses: int = 0
    """Number of regions whose simultaneous loss the group must survive."""

    def region_of(self, zone: str) -> str:
        """Return the region of a zone."""
        return self.region_by_zone.get(zone, "")

    def zone_rank(self, zone: str, voters: Sequence[HasZone]) -> tuple[int, int]:
        """Rank a zone for one more voter; lower is better.

        Args:
            zone: Zone of the candidate.
            voters: The voters that remain.

        Returns:
            Rank of the region, then the number of voters in the zone.
        """
        region = self.region_of(zone)
        in_region = sum(1 for voter in voters if self.region_of(voter.zone) == region)
        in_zone = sum(1 for voter in voters if voter.zone == zone)
        spread_regions = self.tolerated_region_losses > 0
        return (in_region if spread_regions else -in_region, in_zone)

    def home_region(self, candidates: Sequence[HasZone]) -> str:
        """Return the region with the most candidates; on a tie, the first by name."""
        counts = Counter(self.region_of(candidate.zone) for candidate in candidates)
        return min(counts, key=lambda region: (-counts[region], region), default="")

    def choose(self, candidates: Sequence[CandidateT], size: int) -> list[CandidateT]:
        """Choose the voters of a new group.

        Args:
            candidates: Possible voters; among equal ranks the earlier one is chosen.
            size: Number of voters; fewer are returned if there are not enough candidates.
        """
        home = self.home_region(candidates)
        chosen: list[CandidateT] = []
        remaining = list(candidates)
        while remaining and len(chosen) < size:
            best = min(remaining, key=lambda c: self._initial_rank(c, home, chosen))
            chosen.append(best)
            remaining.remove(best)
        return chosen

    def _initial_rank(
        self, candidate: HasZone, home: str, chosen: Sequence[HasZone]
    ) -> tuple[bool, tuple[int, int]]:
        outside_home = self.region_of(candidate.zone) != home
        prefer_home = self.tolerated_region_losses == 0
        return (prefer_home and outside_home, self.zone_rank(candidate.zone, chosen))
