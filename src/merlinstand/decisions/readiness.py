"""Readiness: when a gateway that is near its bounds asks for no new connections.

For: gateways, whose readiness a balancer asks for. Owns the newest load and whether this gateway
calls itself full. It serves what it has and what still comes, whatever it says here.

A surge may fill all gateways of a zone at once, and somebody has to take it. So a gateway calls
itself full only while the control leader names it (`server_load.full_gateways`); one that hears no
leader is ready.
"""

FULL_SHARE = 0.8
"""Of the bound that is nearest: early enough for a balancer, which acts on the second answer."""
READY_SHARE = 0.5
"""Ready again only below this, so that the connections that come back don't fill it at once."""
MINIMUM_CHANGE_INTERVAL_SECONDS = 3.0
"""Between two changes: a balancer needs two answers to act on either."""


class Readiness:
    """Whether one gateway calls itself full."""

    def __init__(self) -> None:
        """Begin ready."""
        self.is_full = False
        self._share = 0.0
        self._changed_at = float("-inf")

    def record_load(self, share: float) -> None:
        """Take how much of the nearest bound is used; it stays so until the next time.

        Args:
            share: 1.0 where something would be turned away or cut off.
        """
        self._share = share

    @property
    def reported_load(self) -> float | None:
        """The load with which it asks the leader to be named; None if it doesn't."""
        is_near = self._share > READY_SHARE if self.is_full else self._share >= FULL_SHARE
        return self._share if is_near else None

    def update(self, now: float, is_named: bool) -> bool:
        """Judge anew; returns whether `is_full` has changed.

        Args:
            now: Local time in seconds.
            is_named: Whether the control leader names this gateway.
        """
        if now - self._changed_at < MINIMUM_CHANGE_INTERVAL_SECONDS:
            return False
        if self.is_full == (is_named and self.reported_load is not None):
            return False
        self.is_full = not self.is_full
        self._changed_at = now
        return True
