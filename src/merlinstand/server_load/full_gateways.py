"""Which gateways may ask for no new connections: few of each zone, the fullest first.

Owns who asked lately and who is named. Soft state of the control leader, which hears all gateways:
a new one names nobody until it has heard them.
"""

from collections import Counter
from collections.abc import Mapping

import msgspec

from merlinstand.common.ids import NodeId

GATEWAYS_PER_PERMIT = 5
"""One in so many of a zone's gateways may be out: the others get a quarter more at most. In a
smaller zone one may, but never the only one."""
FRESH_SECONDS = 1.0
"""A gateway that hasn't asked for this long, three usual pulls, is named no more."""


class _PermitRequest(msgspec.Struct, frozen=True):
    share: float
    """Used of the bound that is nearest."""
    received_at: float


class FullGateways:
    """The gateways that are near their bounds, at one leader."""

    def __init__(self) -> None:
        """Begin with nobody."""
        self._requests: dict[NodeId, _PermitRequest] = {}
        self._permitted: tuple[NodeId, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether no gateway asked lately."""
        return not self._requests

    def clear(self) -> None:
        """A leadership begins."""
        self._requests.clear()
        self._permitted = ()

    def record(self, gateway: NodeId, share: float | None, now: float) -> None:
        """A gateway reported how full it is, if it asks to be named."""
        if share is None:
            self._requests.pop(gateway, None)
        else:
            self._requests[gateway] = _PermitRequest(share, now)

    def select(self, zones: Mapping[NodeId, str], now: float) -> tuple[NodeId, ...]:
        """Name those that may be out now: who is out stays so while it asks.

        Args:
            zones: Of each gateway heard lately.
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
    """How many of a zone's gateways may be out."""
    return max(1, gateways // GATEWAYS_PER_PERMIT) if gateways > 1 else 0
