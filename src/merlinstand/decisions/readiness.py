"""Readiness: when a gateway near its limits tells load balancers to open no new connections.

The gateway goes on serving its connections and accepts new ones in any case. A surge may fill all
gateways of a zone at once, and some of them must take it. So a gateway reports itself as full only
while the control leader permits it (`server_load.full_gateways`); without a leader it is ready.
"""

FULL_THRESHOLD = 0.8
"""Fraction of the nearest limit; early enough for a load balancer, which acts on the second
check."""
READY_THRESHOLD = 0.5
"""A full gateway is ready again only below this, so that returning connections do not fill it at
once."""
MINIMUM_CHANGE_INTERVAL_SECONDS = 3.0
"""Time between two changes: a load balancer needs two checks to act on either."""


class Readiness:
    """Whether one gateway reports itself as full."""

    def __init__(self) -> None:
        """Start as ready."""
        self.is_full = False
        self._load = 0.0
        self._changed_at = float("-inf")

    def record_load(self, load: float) -> None:
        """Record the used fraction of the nearest limit, valid until the next call.

        Args:
            load: 1.0 where something would be rejected or cut off.
        """
        self._load = load

    @property
    def reported_load(self) -> float | None:
        """The load with which it asks the leader for permission to be full; None if it does not."""
        is_near = self._load > READY_THRESHOLD if self.is_full else self._load >= FULL_THRESHOLD
        return self._load if is_near else None

    def update(self, now: float, is_permitted: bool) -> bool:
        """Update `is_full`; return whether it changed.

        Args:
            now: Local time in seconds.
            is_permitted: Whether the control leader permits this gateway to be full.
        """
        if now - self._changed_at < MINIMUM_CHANGE_INTERVAL_SECONDS:
            return False
        if self.is_full == (is_permitted and self.reported_load is not None):
            return False
        self.is_full = not self.is_full
        self._changed_at = now
        return True
