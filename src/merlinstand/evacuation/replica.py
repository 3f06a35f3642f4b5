"""Evacuated zones as every control replica holds them: operators have nothing more sent there.

Owns which zones are evacuated, since when, and when others were taken back, in group time.
"""

import msgspec


class StoredEvacuations(msgspec.Struct, frozen=True):
    """The evacuations in a snapshot."""

    ordered_at: dict[str, float] = {}
    taken_back_at: dict[str, float] = {}
    revision: int = 0


class Evacuations:
    """Orders for all zones; part of the replicated directory, so deterministic.

    The tables cannot grow beyond the zones of the deployment: orders for others are refused.
    """

    def __init__(self) -> None:
        """Begin without orders."""
        self.ordered_at: dict[str, float] = {}
        """Group time of the order for each evacuated zone."""
        self.taken_back_at: dict[str, float] = {}
        """Group time at which each other zone was last taken back."""
        self.revision = 0
        """Log position of the newest change."""

    @property
    def zones(self) -> tuple[str, ...]:
        """Zones that are evacuated."""
        return tuple(sorted(self.ordered_at))

    def evacuate(self, zone: str, index: int, group_time: float) -> None:
        """Evacuate a zone; nothing changes if it is evacuated already."""
        if zone in self.ordered_at:
            return
        self.ordered_at[zone] = group_time
        self.taken_back_at.pop(zone, None)
        self.revision = index

    def end_evacuation(self, zone: str, index: int, group_time: float) -> bool:
        """Use a zone again; gives whether it was evacuated."""
        if self.ordered_at.pop(zone, None) is None:
            return False
        self.taken_back_at[zone] = group_time
        self.revision = index
        return True

    def stored(self) -> StoredEvacuations:
        """Give what a snapshot holds."""
        return StoredEvacuations(dict(self.ordered_at), dict(self.taken_back_at), self.revision)

    def restore(self, stored: StoredEvacuations) -> None:
        """Replace everything by what a snapshot held."""
        self.ordered_at = dict(stored.ordered_at)
        self.taken_back_at = dict(stored.taken_back_at)
        self.revision = stored.revision
