"""Evacuations: operators have nothing more sent to the servers of a zone, and take that back.

The replicated part, and the pure decisions about an order. Orders carry no identity: the order that
comes later in the log holds, so each of them is proposed, also one that changes nothing here and
now. An answer then never rests on an order before it that may still be decided either way.
"""

import re

import msgspec
from result import Err, Ok, Result

from merlinstand.common.errors import InvalidInputError, MerlinstandError, NotFoundError
from merlinstand.directory.commands import DirectoryCommand, EvacuateZone, TakeBackZone
from merlinstand.directory.places import Places
from merlinstand.directory.requests import EvacuationDelete, EvacuationPost
from merlinstand.kernel.effects import Effect, LogEvent

_ZONE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


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

    def order(self, zone: str, index: int, group_time: float) -> bool:
        """Evacuate a zone; tells whether that is news."""
        if zone in self.ordered_at:
            return False
        self.ordered_at[zone] = group_time
        self.taken_back_at.pop(zone, None)
        self.revision = index
        return True

    def take_back(self, zone: str, index: int, group_time: float) -> bool:
        """Use a zone again; tells whether that is news."""
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


def judge_order(
    request: EvacuationPost | EvacuationDelete, places: Places
) -> Result[EvacuateZone | TakeBackZone, MerlinstandError]:
    """Give the command for an operator's order, or tell what is wrong with it.

    Args:
        request: The order.
        places: The deployment's zones.
    """
    zone = request.zone
    if _ZONE_NAME.fullmatch(zone) is None:
        return Err(InvalidInputError(detail=f"no name of a zone: {zone!r}"))
    if not places.knows(zone):
        return Err(NotFoundError(detail=f"no zone is named {zone!r}"))
    return Ok(EvacuateZone(zone) if isinstance(request, EvacuationPost) else TakeBackZone(zone))


def order_events(command: DirectoryCommand, held: Evacuations, group_time: float) -> list[Effect]:
    """Tell what a committed order is about to change; nothing for other commands.

    Args:
        command: What was agreed.
        held: The evacuations before it is applied.
        group_time: Group time of its proposal in seconds.
    """
    match command:
        case EvacuateZone(zone=zone) if zone not in held.ordered_at:
            # A late repeat of an order that was taken back shows by its short time.
            taken_back_at = held.taken_back_at.get(zone)
            fields: dict[str, object] = {"zone": zone}
            if taken_back_at is not None:
                fields["taken_back_seconds_ago"] = round(group_time - taken_back_at, 3)
            return [LogEvent("zone.evacuated", fields)]
        case TakeBackZone(zone=zone) if zone in held.ordered_at:
            seconds = round(group_time - held.ordered_at[zone], 3)
            return [LogEvent("zone.taken_back", {"zone": zone, "evacuated_seconds": seconds})]
        case EvacuateZone(zone=zone) | TakeBackZone(zone=zone):
            repeated = "evacuate" if isinstance(command, EvacuateZone) else "take_back"
            return [LogEvent("zone.order_repeated", {"zone": zone, "order": repeated})]
        case _:
            return []
