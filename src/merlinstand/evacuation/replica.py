"""The evacuated zones, replicated by the control group.

Holds the group time at which each evacuation began, or at which a zone's last evacuation ended.
"""

import msgspec


class StoredEvacuations(msgspec.Struct, frozen=True):
    """The snapshot."""

    evacuated_at: dict[str, float] = msgspec.field(default={}, name="ordered_at")
    ended_at: dict[str, float] = msgspec.field(default={}, name="taken_back_at")
    revision: int = 0


class Evacuations:
    """Evacuations of all zones; part of the replicated directory and therefore deterministic.

    The tables are bounded by the zones of the deployment, since orders for other zones are
    rejected.
    """

    def __init__(self) -> None:
        self.evacuated_at: dict[str, float] = {}
        """Group time of the order for each evacuated zone."""
        self.ended_at: dict[str, float] = {}
        """Group time at which the last evacuation ended, for zones that are not evacuated now."""
        self.revision = 0
        """Log position of the newest change."""

    @property
    def zones(self) -> tuple[str, ...]:
        """Evacuated zones, sorted."""
        return tuple(sorted(self.evacuated_at))

    def evacuate(self, zone: str, index: int, group_time: float) -> None:
        """Evacuate a zone; no change if it is evacuated already."""
        if zone in self.evacuated_at:
            return
        self.evacuated_at[zone] = group_time
        self.ended_at.pop(zone, None)
        self.revision = index

    def end_evacuation(self, zone: str, index: int, group_time: float) -> bool:
        """End the evacuation of a zone; return whether it was evacuated."""
        if self.evacuated_at.pop(zone, None) is None:
            return False
        self.ended_at[zone] = group_time
        self.revision = index
        return True

    def stored(self) -> StoredEvacuations:
        """Return the snapshot."""
        return StoredEvacuations(dict(self.evacuated_at), dict(self.ended_at), self.revision)

    def restore(self, stored: StoredEvacuations) -> None:
        """Replace the state by that of a snapshot."""
        self.evacuated_at = dict(stored.evacuated_at)
        self.ended_at = dict(stored.ended_at)
        self.revision = stored.revision
