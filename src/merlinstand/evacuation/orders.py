"""Validation of operators' orders about zones, and log lines on their effect (pure functions).

Orders have no ids: the last order in the log wins. Each order is proposed, even if it would change
nothing at present, so that the response never depends on an earlier order that may still be
uncommitted. Used by the control leader.
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
"""Valid zone names: at most 63 characters that need no quoting in paths and log lines."""


def validate_order(
    request: EvacuationPost | EvacuationDelete, places: ZoneMap
) -> Result[EvacuateZone | EndEvacuation, MerlinstandError]:
    """Return the command for an operator's order.

    Args:
        request: The order.
        places: The deployment's zones.

    Returns:
        The command; `InvalidInputError` if the zone's name is malformed, `NotFoundError` if the
        deployment has no such zone.
    """
    zone = request.zone
    if _ZONE_NAME.fullmatch(zone) is None:
        return Err(InvalidInputError(detail=f"no name of a zone: {zone!r}"))
    if not places.has_zone(zone):
        return Err(NotFoundError(detail=f"no zone is named {zone!r}"))
    return Ok(EvacuateZone(zone) if isinstance(request, EvacuationPost) else EndEvacuation(zone))


def order_events(command: object, held: Evacuations, group_time: float) -> list[Effect]:
    """Return the log event about the effect of a committed order; empty for other commands.

    Args:
        command: The committed command.
        held: The evacuations before the command is applied.
        group_time: Group time of the command's proposal in seconds.
    """
    match command:
        case EvacuateZone(zone=zone) if zone not in held.evacuated_at:
            # If the zone's evacuation ended only a short time ago, this may be a delayed repeat of
            # the order that started it.
            ended_at = held.ended_at.get(zone)
            fields: dict[str, object] = {"zone": zone}
            if ended_at is not None:
                fields["taken_back_seconds_ago"] = round(group_time - ended_at, 3)
            return [LogEvent("zone.evacuated", fields)]
        case EndEvacuation(zone=zone) if zone in held.evacuated_at:
            seconds = round(group_time - held.evacuated_at[zone], 3)
            return [LogEvent("zone.taken_back", {"zone": zone, "evacuated_seconds": seconds})]
        case EvacuateZone(zone=zone) | EndEvacuation(zone=zone):
            repeated = "evacuate" if isinstance(command, EvacuateZone) else "take_back"
            return [LogEvent("zone.order_repeated", {"zone": zone, "order": repeated})]
        case _:
            return []
