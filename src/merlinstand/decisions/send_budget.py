"""Token buckets that limit additional attempts to a small fraction of first attempts.

Used by gateways of both kinds, for hedges beside a running attempt and for retries after a failure.
Each first attempt earns a fraction of a token, and each additional attempt spends a whole token.
`ServiceBudgets` holds the buckets of one service at one gateway.
"""

from merlinstand.server_load.reports import ServiceLoad

HEDGE_TOKENS_PER_ATTEMPT = 0.1
"""Tokens for hedges that each first attempt earns while the service is not busy."""
HEDGE_BURST = 10.0
"""Limit on saved hedge tokens: more than the requests that a busy gateway usually has in flight at
one backend, since the backend may stop responding to all of them."""
BUSY_HEDGE_BURST = 2.0
"""Limit on saved hedge tokens while the service is busy. Otherwise all gateways together would
spend what they saved in quiet times at the first sign of a queue."""
MINIMUM_HEDGES_PER_SECOND = 0.3
"""Hedge tokens earned per second regardless of traffic, so that a gateway with few requests can
hedge at all."""
HEDGE_CUTOFF_DEMAND = 1.0
"""From this demand on (arrivals relative to capacity) nothing is hedged: responses are then late
because of queues, which a second attempt only lengthens. At a lower demand, a single slow backend
is a more likely cause than all backends being full."""
RETRY_TOKENS_PER_ATTEMPT = 0.2
"""Tokens for retries after failures that each first attempt earns."""
RETRY_BURST = 40.0
"""Limit on saved retry tokens: more than the requests that one gateway has in flight at the
backends of a zone, since all of these are retried if the zone is lost."""
MINIMUM_RETRIES_PER_SECOND = 1.0
"""Retry tokens earned per second regardless of traffic."""


class AttemptBudget:
    """A token bucket filled by first attempts and by time."""

    __slots__ = ("_burst", "_tokens", "_tokens_per_attempt", "_tokens_per_second", "_updated_at")

    def __init__(
        self,
        tokens_per_attempt: float,
        burst: float,
        tokens_per_second: float,
        initial_tokens: float | None = None,
    ) -> None:
        """Create a bucket with initial tokens, since a backend may fail before any were earned.

        Args:
            tokens_per_attempt: Tokens that a first attempt earns.
            burst: Limit on saved tokens.
            tokens_per_second: Tokens earned regardless of traffic.
            initial_tokens: Tokens at the start; half of the burst by default.
        """
        self._tokens_per_attempt = tokens_per_attempt
        self._burst = burst
        self._tokens_per_second = tokens_per_second
        self._tokens = burst / 2.0 if initial_tokens is None else initial_tokens
        self._updated_at: float | None = None

    def record_first_attempt(self, now: float, scale: float = 1.0) -> None:
        """Earn tokens for a first attempt.

        Args:
            now: Local time.
            scale: Factor for the tokens earned, 0 to 1.
        """
        if self._tokens >= self._burst:
            self._updated_at = now
            return
        self._refill(now)
        self._tokens = min(self._tokens + self._tokens_per_attempt * scale, self._burst)

    def cap(self, tokens: float) -> None:
        """Discard saved tokens beyond a number."""
        self._tokens = min(self._tokens, tokens)

    def try_spend(self, now: float) -> bool:
        """Spend a token; return whether there was one."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now: float) -> None:
        if self._updated_at is not None:
            elapsed_seconds = max(0.0, now - self._updated_at)
            earned = elapsed_seconds * self._tokens_per_second
            self._tokens = min(self._tokens + earned, self._burst)
        self._updated_at = now


class ServiceBudgets:
    """Additional attempts that one gateway may send to one service."""

    __slots__ = ("_hedges", "_retries")

    def __init__(self) -> None:
        """Start with full buckets, since a backend may fail before any tokens were earned."""
        self._hedges = AttemptBudget(
            HEDGE_TOKENS_PER_ATTEMPT, HEDGE_BURST, MINIMUM_HEDGES_PER_SECOND, HEDGE_BURST
        )
        self._retries = AttemptBudget(
            RETRY_TOKENS_PER_ATTEMPT, RETRY_BURST, MINIMUM_RETRIES_PER_SECOND, RETRY_BURST
        )

    def record_first_attempt(self, load: ServiceLoad | None, now: float) -> None:
        """Record that a request is sent for the first time.

        Args:
            load: Load of the service; None if it is not busy.
            now: Local time.
        """
        if load is not None:
            self._hedges.cap(BUSY_HEDGE_BURST)
        self._hedges.record_first_attempt(now, hedge_scale(load))
        self._retries.record_first_attempt(now)

    def try_spend_hedge(self, load: ServiceLoad | None, now: float) -> bool:
        """Spend a token for a hedge; return whether the hedge may be sent now."""
        return hedge_scale(load) > 0.0 and self._hedges.try_spend(now)

    def try_spend_retry(self, now: float) -> bool:
        """Spend a token for a retry after a failure; return whether the retry may be sent now."""
        return self._retries.try_spend(now)


def hedge_scale(load: ServiceLoad | None) -> float:
    """Return the factor for `HEDGE_TOKENS_PER_ATTEMPT`, which falls from 1 to 0 as demand rises.

    Args:
        load: Load of the service; None if it is not busy.
    """
    return 1.0 if load is None else max(0.0, 1.0 - load.demand / HEDGE_CUTOFF_DEMAND)
