"""Checks that no request reaches the servers of an evacuated zone."""

import math
from typing import Any

import msgspec

from tests.users_platform.callers import ZoneOrder, ZoneOrderResponse, ZoneOrderSent

EFFECTIVE_AFTER_SECONDS = 2.5
"""Time from an order's acknowledgement until it must hold everywhere: half the platform's limit."""
SERVER_STREAMS = ("arrivals", "runs", "orders", "reports")


class OrderTimes(msgspec.Struct):
    """Times at which an order was first sent and got its response."""

    order: ZoneOrder
    sent_at: float
    acknowledged_at: float = math.inf
    is_done: bool = False


def order_times(records: dict[str, list[Any]], times: dict[str, list[float]]) -> list[OrderTimes]:
    """Return all orders for zones, sorted by send time."""
    orders: dict[str, OrderTimes] = {}
    timed_records = zip(records.get("evacuations", []), times.get("evacuations", []), strict=True)
    for record, time in timed_records:
        if isinstance(record, ZoneOrderSent):
            orders[record.number] = OrderTimes(record.order, time)
        elif isinstance(record, ZoneOrderResponse):
            orders[record.number].acknowledged_at = time
            orders[record.number].is_done = record.status == 200
    return list(orders.values())


def evacuation_violations(
    records: dict[str, list[Any]], times: dict[str, list[float]]
) -> list[str]:
    """Return requests that reached a zone's servers while it was certainly evacuated.

    That is from `EFFECTIVE_AFTER_SECONDS` after the acknowledgement until the first order that may
    have restored the zone.

    Args:
        records: Records of servers and callers, by stream.
        times: Time of each record, by stream.
    """
    orders = order_times(records, times)
    found = []
    for evacuation in orders:
        if not (evacuation.order.is_evacuation and evacuation.is_done):
            continue
        zone = evacuation.order.zone
        end = min((_may_end(evacuation, other) for other in orders), default=math.inf)
        begin = evacuation.acknowledged_at + EFFECTIVE_AFTER_SECONDS
        for stream in SERVER_STREAMS:
            for record, time in zip(records.get(stream, []), times.get(stream, []), strict=True):
                if getattr(record, "zone", "") == zone and begin < time < end:
                    found.append(f"sent to evacuated {zone} at {time:.3f}: {record}")
    return found


def _may_end(evacuation: OrderTimes, other: OrderTimes) -> float:
    """Return the earliest time at which another order may have restored the zone; else infinity."""
    is_back = not other.order.is_evacuation and other.order.zone == evacuation.order.zone
    if not is_back or other.acknowledged_at < evacuation.sent_at:
        return math.inf
    return max(other.sent_at, evacuation.sent_at)
