"""Operators' orders about zones (pure decisions): which are carried out, and what they change.

Orders carry no identity: the order that comes later in the log holds, so each of them is proposed,
also one that changes nothing here and now. An answer then never rests on an order before it that
may still be decided either way. Used by the control leader.
"""

import re

from result import Err, Ok, Result

from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.errors import InvalidInputError, MerlinstandError, NotFoundError
from merlinstand.evacuation.commands import (
    EndEvacuation,
    EvacuateZone,
    EvacuationDelete,
    EvacuationPost,
)
from merlinstand.evacuation.replica import Evacuations
from merlinstand.kernel.effects import Effect, LogEvent

_ZONE_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
"""A name that needs no quoting in paths and log lines; 63 characters at most."""


def validate_order(
    request: EvacuationPost | EvacuationDelete, places: ZoneMap
) -> Result[EvacuateZone | EndEvacuation, MerlinstandError]:
    """Give the command for an operator's order, or an error that says what is wrong with it.

    Args:
        request: The order.
        places: The deployment's zones.
    """
    zone = request.zone
    if _ZONE_NAME.fullmatch(zone) is None:
        return Err(InvalidInputError(detail=f"no name of a zone: {zone!r}"))
    if not places.has_zone(zone):
        return Err(NotFoundError(detail=f"no zone is named {zone!r}"))
    return Ok(EvacuateZone(zone) if isinstance(request, EvacuationPost) else EndEvacuation(zone))


def order_events(command: object, held: Evacuations, group_time: float) -> list[Effect]:
    """Give the log line on what a committed order is about to change; nothing for other commands.

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
        case EndEvacuation(zone=zone) if zone in held.ordered_at:
            seconds = round(group_time - held.ordered_at[zone], 3)
            return [LogEvent("zone.taken_back", {"zone": zone, "evacuated_seconds": seconds})]
        case EvacuateZone(zone=zone) | EndEvacuation(zone=zone):
            repeated = "evacuate" if isinstance(command, EvacuateZone) else "take_back"
            return [LogEvent("zone.order_repeated", {"zone": zone, "order": repeated})]
        case _:
            return []
