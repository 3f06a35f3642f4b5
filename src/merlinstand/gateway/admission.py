"""Admission control: limits of the whole gateway and rate limits of each caller.

Checks in order of cost; 1 and 2 are made before the body is read:

1. A request is rejected if the event loop lags by `lookup_loop_delay_seconds` or more, or if
   `maximum_requests` are admitted already.
2. A request is rejected while its caller's rate limits, for requests and for tokens, are used up.
3. A generation is also rejected if only slots reserved for lookups (`lookup_floor`) are free, or if
   the event loop lags by `generation_loop_delay_seconds` or more.

The cost of an admitted request, in tokens, is charged to its caller; the unused part is refunded at
the end of the request. Whether the request then waits for a backend is decided by the dispatcher.
"""

from result import Err, Ok, Result

from merlinstand.common.errors import MerlinstandError
from merlinstand.gateway.caller_request import CallerRequest, RequestKind
from merlinstand.gateway.loop_delay import LoopDelay
from merlinstand.gateway.rate_limits import CallerBuckets, RateLimits
from merlinstand.gateway.refusals import gateway_overloaded, rate_limited
from merlinstand.gateway.settings import AdmissionSettings


class Admission:
    """Counts admitted requests and rejects those above the limits."""

    def __init__(self, settings: AdmissionSettings, loop_delay: LoopDelay) -> None:
        """Create admission control; `loop_delay` provides the lag of the event loop."""
        self._settings = settings
        self._loop_delay = loop_delay
        self._admitted = {RequestKind.LOOKUP: 0, RequestKind.GENERATION: 0}
        reserved = int(settings.maximum_requests * settings.lookup_floor)
        self._maximum_generations = settings.maximum_requests - reserved
        self.rate_limits = RateLimits(settings.maximum_callers, settings.burst_seconds)

    @property
    def request_count(self) -> int:
        """Number of requests that are admitted and not finished."""
        return sum(self._admitted.values())

    @property
    def generation_count(self) -> int:
        """Number of generations that are admitted and not finished."""
        return self._admitted[RequestKind.GENERATION]

    def reject_early(self, caller: str, now: float) -> MerlinstandError | None:
        """Return why a request is rejected regardless of its body; None if it may be parsed."""
        if self._loop_delay.seconds >= self._settings.lookup_loop_delay_seconds:
            return gateway_overloaded("the gateway is far behind")
        if self.request_count >= self._settings.maximum_requests:
            return gateway_overloaded("the gateway is full")
        buckets = self.rate_limits.buckets(caller, now)
        wait_seconds = max(
            buckets.requests.seconds_until_available(now),
            buckets.tokens.seconds_until_available(now),
        )
        if wait_seconds <= 0.0:
            return None
        return rate_limited(wait_seconds)

    def admit(self, request: CallerRequest, now: float) -> Result[CallerBuckets, MerlinstandError]:
        """Admit a request that `reject_early` passed, or return an error with a retry delay."""
        if request.kind is RequestKind.GENERATION:
            if self._admitted[RequestKind.GENERATION] >= self._maximum_generations:
                return Err(gateway_overloaded("the gateway has no place for another generation"))
            if self._loop_delay.seconds >= self._settings.generation_loop_delay_seconds:
                return Err(gateway_overloaded("the gateway is behind"))
        buckets = self.rate_limits.buckets(request.caller, now)
        buckets.requests.spend(1.0)
        buckets.tokens.spend(request.cost)
        self._admitted[request.kind] += 1
        return Ok(buckets)

    def release(self, request: CallerRequest, buckets: CallerBuckets, unused_cost: float) -> None:
        """Release a finished request and refund its unused cost to its caller."""
        self._admitted[request.kind] -= 1
        if unused_cost > 0.0:
            buckets.tokens.refund(unused_cost)
