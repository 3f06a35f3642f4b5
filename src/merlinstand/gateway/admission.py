"""Who is let in: bounds on the whole gateway and each caller's rate limits.

The decision, cheapest question first; 1 and 2 are asked before the body is looked at:

1. The process's loop is `lookup_loop_delay_seconds` behind, or `maximum_requests` are inside:
   refused.
2. The caller's rate limit (requests, and tokens of cost) is used up: refused until it is not.
3. A generation also needs a place beside those kept for lookups (`lookup_floor`), and a loop less
   than `generation_loop_delay_seconds` behind.

What is let in is charged to its caller; what it did not use is given back at its end. Whether it
then waits for a place at a back end is the dispatcher's to decide.
"""

from result import Err, Ok, Result

from merlinstand.common.errors import MerlinstandError
from merlinstand.gateway.caller_request import CallerRequest, RequestKind
from merlinstand.gateway.loop_delay import LoopDelay
from merlinstand.gateway.rate_limits import CallerBuckets, RateLimits
from merlinstand.gateway.refusals import gateway_overloaded, rate_limited
from merlinstand.gateway.settings import AdmissionSettings


class Admission:
    """Counts what is inside and refuses at once what does not fit."""

    def __init__(self, settings: AdmissionSettings, loop_delay: LoopDelay) -> None:
        """Start empty."""
        self._settings = settings
        self._loop_delay = loop_delay
        self._admitted = {RequestKind.LOOKUP: 0, RequestKind.GENERATION: 0}
        reserved = int(settings.maximum_requests * settings.lookup_floor)
        self._maximum_generations = settings.maximum_requests - reserved
        self.rate_limits = RateLimits(settings.maximum_callers, settings.burst_seconds)

    @property
    def request_count(self) -> int:
        """Requests inside the gateway."""
        return sum(self._admitted.values())

    @property
    def generation_count(self) -> int:
        """Generations inside the gateway."""
        return self._admitted[RequestKind.GENERATION]

    def refuse_early(self, caller: str, now: float) -> MerlinstandError | None:
        """Return why a request is refused whatever it asks, before its body is looked at."""
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
        """Let in a request that was not refused early, or say why not and when to come back."""
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
        """A request was answered for good; what it did not use is given back to its caller."""
        self._admitted[request.kind] -= 1
        if unused_cost > 0.0:
            buckets.tokens.refund(unused_cost)
