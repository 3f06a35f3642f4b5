"""Selects the gateways that may report themselves as full: few of each zone, the fullest first.

Holds the gateways' recent requests for permission and the current selection. This is soft state of
the control leader; a new leader selects a gateway only after receiving its request.
"""

from collections import Counter
from collections.abc import Mapping

import msgspec

from merlinstand.common.ids import NodeId

GATEWAYS_PER_PERMIT = 5
"""One of this many gateways of a zone may report itself as full, so that the load of the others
grows by at most a quarter. In a smaller zone one gateway may, unless it is the only one."""
FRESH_SECONDS = 1.0
"""A gateway that has not asked for this long (three usual pull intervals) is no longer selected."""


class _PermitRequest(msgspec.Struct, frozen=True):
    share: float
    """Used fraction of the gateway's nearest limit."""
    received_at: float


class FullGateways:
    """The gateways that are near their limits, as known to one leader."""

    def __init__(self) -> None:
        self._requests: dict[NodeId, _PermitRequest] = {}
        self._permitted: tuple[NodeId, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether no gateway asked recently."""
        return not self._requests

    def clear(self) -> None:
        """Drop all requests and the selection, at the start of a leadership."""
        self._requests.clear()
        self._permitted = ()

    def record(self, gateway: NodeId, share: float | None, now: float) -> None:
        """Record a gateway's report; `share` is None if it does not ask to be full."""
        if share is None:
            self._requests.pop(gateway, None)
        else:
            self._requests[gateway] = _PermitRequest(share, now)

    def select(self, zones: Mapping[NodeId, str], now: float) -> tuple[NodeId, ...]:
        """Select the gateways that may be full; a selected gateway stays selected while it asks.

        Args:
            zones: The zone of each gateway heard recently.
            now: Local time.
        """
        for gateway, request in list(self._requests.items()):
            if gateway not in zones or now - request.received_at > FRESH_SECONDS:
                del self._requests[gateway]
        remaining = {zone: _maximum_permits(size) for zone, size in Counter(zones.values()).items()}
        permitted: list[NodeId] = []
        for gateway in sorted(self._requests, key=self._sort_key):
            if remaining[zones[gateway]]:
                remaining[zones[gateway]] -= 1
                permitted.append(gateway)
        self._permitted = tuple(permitted)
        return self._permitted

    def _sort_key(self, gateway: NodeId) -> tuple[bool, float, NodeId]:
        return gateway not in self._permitted, -self._requests[gateway].share, gateway


def _maximum_permits(gateways: int) -> int:
    """Return how many gateways of a zone of this size may be full at once."""
    return max(1, gateways // GATEWAYS_PER_PERMIT) if gateways > 1 else 0
