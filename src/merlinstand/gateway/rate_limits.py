"""Rate limits of callers in requests and tokens per second, as token buckets.

Limits come from the configuration (`Limits`). Buckets are local to this gateway, so the limit of a
caller applies separately at each gateway.
"""

from collections import OrderedDict
from collections.abc import Mapping

from merlinstand.configuration.objects import Limits

MINIMUM_WEIGHT = 1e-3
"""Minimum weight of a caller in the fair queue; avoids division by 0, as costs are divided by the
weight."""

MINIMUM_RATE = 1e-9
"""Minimum rate and burst of a bucket; avoids division by 0, as the balance is divided by the
rate."""

OVERFLOW_CALLER = ""
"""Name under which all callers that no longer fit into the table share one set of buckets."""


class TokenBucket:
    """A token bucket whose balance may become negative, so that it admits costs above its burst."""

    __slots__ = ("_balance", "_burst", "_rate", "_updated_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Create a full bucket; `rate` is per second."""
        self._rate = max(rate, MINIMUM_RATE)
        self._burst = max(burst, MINIMUM_RATE)
        self._balance = self._burst
        self._updated_at = now

    def set_rate(self, rate: float, burst: float) -> None:
        """Change the rate per second and the burst."""
        self._rate = max(rate, MINIMUM_RATE)
        self._burst = max(burst, MINIMUM_RATE)
        self._balance = min(self._balance, self._burst)

    def seconds_until_available(self, now: float) -> float:
        """Return the seconds until a cost may be spent; 0 if one may be spent now."""
        self._refill(now)
        if self._balance > 0.0:
            return 0.0
        return -self._balance / self._rate + 1e-3

    def spend(self, cost: float) -> None:
        """Subtract a cost; the balance may become negative.

        May only be called if `seconds_until_available` is 0.
        """
        self._balance -= cost

    def refund(self, cost: float) -> None:
        """Add back a cost that was spent and not used."""
        self._balance = min(self._balance + cost, self._burst)

    def is_full(self, now: float) -> bool:
        """Return whether the bucket is full, so that a new bucket could replace it."""
        self._refill(now)
        return self._balance >= self._burst

    def _refill(self, now: float) -> None:
        elapsed_seconds = max(0.0, now - self._updated_at)
        self._balance = min(self._balance + elapsed_seconds * self._rate, self._burst)
        self._updated_at = now


class CallerBuckets:
    """Buckets and fair-queue weight of one caller."""

    __slots__ = ("requests", "tokens", "weight")

    def __init__(self, limits: Limits, burst_seconds: float, now: float) -> None:
        """Create full buckets; a burst is as much as the limit allows in `burst_seconds`."""
        self.weight = max(limits.weight, MINIMUM_WEIGHT)
        self.requests = TokenBucket(
            limits.requests_per_second, max(1.0, limits.requests_per_second * burst_seconds), now
        )
        self.tokens = TokenBucket(
            limits.tokens_per_second, limits.tokens_per_second * burst_seconds, now
        )

    def set_limits(self, limits: Limits, burst_seconds: float) -> None:
        """Change weight, rates and bursts; the balances are kept, up to the new bursts."""
        self.weight = max(limits.weight, MINIMUM_WEIGHT)
        requests_per_second = limits.requests_per_second
        self.requests.set_rate(requests_per_second, max(1.0, requests_per_second * burst_seconds))
        self.tokens.set_rate(limits.tokens_per_second, limits.tokens_per_second * burst_seconds)

    def is_full(self, now: float) -> bool:
        """Return whether both buckets are full."""
        return self.requests.is_full(now) and self.tokens.is_full(now)


class RateLimits:
    """Buckets of all callers, in bounded memory.

    If the table is full, the least recently used caller is evicted if its buckets are full.
    Otherwise new callers share one set of buckets, so that invented caller names do not evade the
    limits.
    """

    def __init__(self, maximum_callers: int, burst_seconds: float) -> None:
        """Create a table of at most `maximum_callers`, plus the shared buckets."""
        self._maximum_callers = maximum_callers
        self._burst_seconds = burst_seconds
        self._limits: Mapping[str, Limits] = {}
        self._buckets: OrderedDict[str, CallerBuckets] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of callers in the table."""
        return len(self._buckets)

    def configure(self, limits: Mapping[str, Limits]) -> None:
        """Apply the limits of a configuration, by caller."""
        self._limits = limits
        for caller, buckets in self._buckets.items():
            buckets.set_limits(self._limits_of(caller), self._burst_seconds)

    def buckets(self, caller: str, now: float) -> CallerBuckets:
        """Return the buckets of a caller, creating them if needed."""
        buckets = self._buckets.get(caller)
        if buckets is not None:
            self._buckets.move_to_end(caller)
            return buckets
        if len(self._buckets) >= self._maximum_callers and not self._evict_oldest(now):
            caller = OVERFLOW_CALLER
            shared = self._buckets.get(caller)
            if shared is not None:
                return shared
        buckets = CallerBuckets(self._limits_of(caller), self._burst_seconds, now)
        self._buckets[caller] = buckets
        return buckets

    def _limits_of(self, caller: str) -> Limits:
        return self._limits.get(caller) or Limits(caller=caller)

    def _evict_oldest(self, now: float) -> bool:
        """Evict the least recently used caller if its buckets are full.

        Returns:
            Whether the caller was evicted.
        """
        caller = next(iter(self._buckets))
        if not self._buckets[caller].is_full(now):
            return False
        del self._buckets[caller]
        return True
