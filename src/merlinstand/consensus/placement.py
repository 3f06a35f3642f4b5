"""Where the voters of a group should stand (pure decisions).

Every entry passes from the leader to each voter, and is committed once a majority has it. Voters in
one region answer within a few ms and their copies cross no link between regions, which is slow and
paid by the byte. A group that must outlive the loss of a whole region can't have that: then no
region should hold more voters than it must. Within a region, voters stand in as many zones as
there are.
"""

from collections import Counter
from collections.abc import Sequence
from typing import Protocol, TypeVar

import msgspec


class Placed(Protocol):
    """Something that stands in a zone."""

    @property
    def zone(self) -> str:
        """Its zone."""
        ...


PlacedT = TypeVar("PlacedT", bound=Placed)


class PlacementRule(msgspec.Struct, frozen=True, kw_only=True):
    """What the deployment's settings say about places."""

    region_by_zone: dict[str, str] = {}
    """Zones that aren't named lie in one region without a name."""
    tolerated_region_losses: int = 0
    """Regions that may be lost at once."""

    def region_of(self, zone: str) -> str:
        """The region of a zone."""
        return self.region_by_zone.get(zone, "")

    def crowding(self, zone: str, voters: Sequence[Placed]) -> tuple[int, int]:
        """Rank a zone for one more voter: the smallest goes first.

        Args:
            zone: Where the candidate stands.
            voters: Those that stay.

        Returns:
            How badly its region suits, then how many voters its zone has.
        """
        region = self.region_of(zone)
        in_region = sum(1 for voter in voters if self.region_of(voter.zone) == region)
        in_zone = sum(1 for voter in voters if voter.zone == zone)
        spreads = self.tolerated_region_losses > 0
        return (in_region if spreads else -in_region, in_zone)

    def home_region(self, candidates: Sequence[Placed]) -> str:
        """The region with most candidates; of several, the first by name."""
        counts = Counter(self.region_of(candidate.zone) for candidate in candidates)
        return min(counts, key=lambda region: (-counts[region], region), default="")

    def choose(self, candidates: Sequence[PlacedT], size: int) -> list[PlacedT]:
        """Choose a new group's voters.

        Args:
            candidates: All that may be chosen, in order of preference among equals.
            size: Voters wanted.
        """
        home = self.home_region(candidates)
        chosen: list[PlacedT] = []
        remaining = list(candidates)
        while remaining and len(chosen) < size:
            best = min(remaining, key=lambda c: self._first_rank(c, home, chosen))
            chosen.append(best)
            remaining.remove(best)
        return chosen

    def _first_rank(
        self, candidate: Placed, home: str, chosen: Sequence[Placed]
    ) -> tuple[bool, tuple[int, int]]:
        is_away = self.region_of(candidate.zone) != home
        gathers = self.tolerated_region_losses == 0
        return (gathers and is_away, self.crowding(candidate.zone, chosen))
