"""Keep additional tries a small share of first ones: token buckets.

For: gateways of both kinds (second tries beside a running one, new ones after a failure). Each
first try earns a share of a token, an additional try spends a whole one. `ServiceBudgets` holds the
buckets of one service at one gateway; relies on `server_load` for how full the service is.
"""

from merlinstand.server_load.reports import ServiceLoad

HEDGE_SHARE = 0.1
"""Second tries beside a running one, for each first try to a service that isn't busy."""
HEDGE_BURST = 10.0
"""More than a busy gateway usually has in flight at one server: it may fall silent under all."""
BUSY_HEDGE_BURST = 2.0
"""Saved up at most while the service is busy: all gateways together would otherwise spend what they
saved in calm at the first sign of a queue."""
HEDGES_PER_SECOND = 0.3
"""Whatever the traffic, so that a gateway with few requests can hedge at all."""
HEDGE_DEMAND = 1.0
"""Demand from which on nothing is hedged: a late answer then comes from a queue, and a second try
only lengthens the queues. Below it a server is slow more often than all are full."""
RETRY_SHARE = 0.2
"""Tries after a failure, for each first try."""
RETRY_BURST = 40.0
"""More than one gateway has in flight at the servers of a zone: lost together, all are tried
again."""
RETRIES_PER_SECOND = 1.0
"""Whatever the traffic, likewise."""


class AttemptBudget:
    """A token bucket that first tries and time fill."""

    __slots__ = ("_balance", "_burst", "_floor_per_second", "_share", "_updated_at")

    def __init__(
        self, share: float, burst: float, floor_per_second: float, first: float | None = None
    ) -> None:
        """Begin with some tokens: a server may fail before a quiet service has earned any.

        Args:
            share: Tokens that a first try earns.
            burst: Most tokens saved up.
            floor_per_second: Tokens earned whatever the traffic.
            first: Tokens at the start; half of the burst without it.
        """
        self._share = share
        self._burst = burst
        self._floor_per_second = floor_per_second
        self._balance = burst / 2.0 if first is None else first
        self._updated_at: float | None = None

    def record_first_attempt(self, now: float, scale: float = 1.0) -> None:
        """Count a first try.

        Args:
            now: Local time.
            scale: Part of the share that it earns.
        """
        if self._balance >= self._burst:
            self._updated_at = now
            return
        self._earn_floor(now)
        self._balance = min(self._balance + self._share * scale, self._burst)

    def keep_at_most(self, tokens: float) -> None:
        """Lose what is saved up beyond some tokens."""
        self._balance = min(self._balance, tokens)

    def try_spend(self, now: float) -> bool:
        """Spend a token.

        Returns:
            Whether there was one.
        """
        self._earn_floor(now)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def _earn_floor(self, now: float) -> None:
        if self._updated_at is not None:
            elapsed_seconds = max(0.0, now - self._updated_at)
            earned = elapsed_seconds * self._floor_per_second
            self._balance = min(self._balance + earned, self._burst)
        self._updated_at = now


class ServiceBudgets:
    """What one gateway may send to one service beside first tries."""

    __slots__ = ("_hedges", "_retries")

    def __init__(self) -> None:
        """Begin with full buckets."""
        self._hedges = AttemptBudget(HEDGE_SHARE, HEDGE_BURST, HEDGES_PER_SECOND, HEDGE_BURST)
        self._retries = AttemptBudget(RETRY_SHARE, RETRY_BURST, RETRIES_PER_SECOND, RETRY_BURST)

    def record_first_attempt(self, load: ServiceLoad | None, now: float) -> None:
        """A request is sent for the first time.

        Args:
            load: What is known of the service; None if it isn't busy.
            now: Local time.
        """
        if load is not None:
            self._hedges.keep_at_most(BUSY_HEDGE_BURST)
        self._hedges.record_first_attempt(now, hedge_scale(load))
        self._retries.record_first_attempt(now)

    def try_spend_hedge(self, load: ServiceLoad | None, now: float) -> bool:
        """Return whether a second try beside a running one may be sent now; it is paid for."""
        return hedge_scale(load) > 0.0 and self._hedges.try_spend(now)

    def try_spend_retry(self, now: float) -> bool:
        """Return whether a try after a failure may be sent now; it is paid for."""
        return self._retries.try_spend(now)


def hedge_scale(load: ServiceLoad | None) -> float:
    """Return the part of `HEDGE_SHARE` that first tries earn: less as a service fills up.

    Args:
        load: What is known of the service; None if it isn't busy.
    """
    return 1.0 if load is None else max(0.0, 1.0 - load.demand / HEDGE_DEMAND)
