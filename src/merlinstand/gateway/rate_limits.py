"""What each caller may use: requests and tokens a second, by token buckets.

Limits come from the configuration (`Limits`); the buckets are this gateway's alone, so a caller
that uses several gateways has its limit at each of them.
"""

from collections import OrderedDict
from collections.abc import Mapping

from merlinstand.configuration.objects import Limits

MINIMUM_WEIGHT = 1e-3
"""Least share of a caller in the queues, whatever its limits say: costs are divided by it."""

MINIMUM_RATE = 1e-9
"""Least rate and burst of a bucket, for limits of 0: waits are divided by it."""

OVERFLOW_CALLER = ""
"""Callers beyond the table's bound share the limits of this one."""


class TokenBucket:
    """A rate limit that lets a cost larger than its burst through by going into debt."""

    __slots__ = ("_balance", "_burst", "_rate", "_updated_at")

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Start full."""
        self._rate = max(rate, MINIMUM_RATE)
        self._burst = max(burst, MINIMUM_RATE)
        self._balance = self._burst
        self._updated_at = now

    def set_rate(self, rate: float, burst: float) -> None:
        """Follow a changed configuration."""
        self._rate = max(rate, MINIMUM_RATE)
        self._burst = max(burst, MINIMUM_RATE)
        self._balance = min(self._balance, self._burst)

    def seconds_until_available(self, now: float) -> float:
        """Return 0 if a cost may be taken now, else how long until one may."""
        self._refill(now)
        if self._balance > 0.0:
            return 0.0
        return -self._balance / self._rate + 1e-3

    def spend(self, cost: float) -> None:
        """Take a cost, into debt if need be. Call only when open."""
        self._balance -= cost

    def refund(self, cost: float) -> None:
        """Return what was taken and not used."""
        self._balance = min(self._balance + cost, self._burst)

    def is_full(self, now: float) -> bool:
        """Tell whether forgetting this bucket would change nothing."""
        self._refill(now)
        return self._balance >= self._burst

    def _refill(self, now: float) -> None:
        elapsed_seconds = max(0.0, now - self._updated_at)
        self._balance = min(self._balance + elapsed_seconds * self._rate, self._burst)
        self._updated_at = now


class CallerBuckets:
    """The two buckets of one caller."""

    __slots__ = ("requests", "tokens", "weight")

    def __init__(self, limits: Limits, burst_seconds: float, now: float) -> None:
        """Start with full buckets."""
        self.weight = max(limits.weight, MINIMUM_WEIGHT)
        self.requests = TokenBucket(
            limits.requests_per_second, max(1.0, limits.requests_per_second * burst_seconds), now
        )
        self.tokens = TokenBucket(
            limits.tokens_per_second, limits.tokens_per_second * burst_seconds, now
        )

    def set_limits(self, limits: Limits, burst_seconds: float) -> None:
        """Follow a changed configuration."""
        self.weight = max(limits.weight, MINIMUM_WEIGHT)
        requests_per_second = limits.requests_per_second
        self.requests.set_rate(requests_per_second, max(1.0, requests_per_second * burst_seconds))
        self.tokens.set_rate(limits.tokens_per_second, limits.tokens_per_second * burst_seconds)

    def is_full(self, now: float) -> bool:
        """Tell whether nothing is lost by forgetting this caller."""
        return self.requests.is_full(now) and self.tokens.is_full(now)


class RateLimits:
    """Buckets of all callers, in bounded memory.

    A caller whose buckets are full is forgotten first. When none can be forgotten, new names
    share one set of buckets: inventing names must not get a flood past its limit.
    """

    def __init__(self, maximum_callers: int, burst_seconds: float) -> None:
        """Start without callers."""
        self._maximum_callers = maximum_callers
        self._burst_seconds = burst_seconds
        self._limits: Mapping[str, Limits] = {}
        self._buckets: OrderedDict[str, CallerBuckets] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of callers remembered."""
        return len(self._buckets)

    def configure(self, limits: Mapping[str, Limits]) -> None:
        """Follow the configuration."""
        self._limits = limits
        for caller, buckets in self._buckets.items():
            buckets.set_limits(self._limits_of(caller), self._burst_seconds)

    def buckets(self, caller: str, now: float) -> CallerBuckets:
        """Return a caller's buckets, made if need be."""
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
        """Forget the caller longest unheard of, if its buckets are full."""
        caller = next(iter(self._buckets))
        if not self._buckets[caller].is_full(now):
            return False
        del self._buckets[caller]
        return True
