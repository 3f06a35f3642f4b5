"""Readiness: when a gateway near its limits tells load balancers to open no new connections.

The gateway goes on serving its connections and accepts new ones in any case. A surge may bring all
gateways of a zone near their limits at once, and some of them must still receive traffic. So a
gateway reports itself as full only while the control leader permits this
(`server_load.full_gateways`); without a leader it reports itself as ready.
"""

FULL_THRESHOLD = 0.8
"""A gateway is full from this used fraction of its nearest limit on. The margin covers the delay of
a load balancer, which acts only on the second health check."""
READY_THRESHOLD = 0.5
"""A full gateway is ready again only below this, so that returning connections do not fill it at
once."""
MINIMUM_CHANGE_INTERVAL_SECONDS = 3.0
"""Minimum time between two changes of the reported state, since a load balancer needs two health
checks to act on a change."""


class Readiness:
    """Whether one gateway reports itself as full."""

    def __init__(self) -> None:
        self.is_full = False
        self._load = 0.0
        self._changed_at = float("-inf")

    def record_load(self, load: float) -> None:
        """Record the used fraction of the nearest limit, valid until the next call.

        Args:
            load: Used fraction; at 1.0, requests or connections would be rejected or cut off.
        """
        self._load = load

    @property
    def reported_load(self) -> float | None:
        """The load stated when asking the leader for permission to be full; None if not asking."""
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
