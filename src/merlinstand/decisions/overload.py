"""Overload control: which requests a gateway admits while a service cannot serve all of them.

The control leader publishes the fraction of each flow that all gateways together may admit
(`server_load`). Each gateway applies this fraction to its own arrivals, so that the total is right
however callers are spread over gateways. The state is one token accumulator per flow, and per route
the longest remaining time of its callers.
"""

import enum
from random import Random

import msgspec

from merlinstand.cluster.routes import Route
from merlinstand.common.bounded_table import BoundedTable
from merlinstand.server_load.follower import LastKnownLoad
from merlinstand.server_load.reports import Flow, FlowLimit, ServiceLoad

STALE_ADMISSION_FACTOR = 0.5
"""Without contact to the control leader, a flow's last known fraction is multiplied by this factor,
since the capacity may have shrunk. Backends still refuse requests beyond their capacity."""
SHORT_TIME_FRACTION = 0.97
"""A caller whose remaining time is below this fraction of the longest on the same route has
probably been rejected before or has waited: rejected callers retry after a small part of the target
latency."""
RETRY_TOKEN_CREDIT = 0.5
"""A retrying caller (`Urgency.RETRYING`) is admitted even if this many tokens are missing. The
deficit delays other requests of the same flow."""
MINIMUM_TARGET_FRACTION = 0.5
"""A caller whose remaining time is below this fraction of the target latency is too late for a
response from a full service and would use capacity that can still serve another caller in time."""
MINIMUM_TIME_FRACTION = 0.25
"""Alternative to `MINIMUM_TARGET_FRACTION`, relative to the longest remaining time on the route.
The lower of the two bounds applies, so that no caller is rejected as too late on a route where all
callers have little time."""
LONGEST_TIME_HALF_LIFE_SECONDS = 10.0
"""Half-life of the recorded longest remaining time of a route's callers."""
MAXIMUM_FLOWS = 4_096
"""Limit on flows, and on routes, for which state is kept; the oldest entry is evicted."""
MAXIMUM_TOKENS = 2.0
"""Maximum tokens saved by a flow, so that unused tokens don't admit a surge later."""
_ROUNDING_TOLERANCE = 1e-9
"""Rounding error by which a sum of fractions may fall short of a whole token."""


def admitted_share(load: ServiceLoad | None, last: LastKnownLoad | None, flow: Flow) -> float:
    """Return the fraction of a flow's requests that may be admitted, 0 to 1.

    Args:
        load: Current load of the flow's service; None if the service is not busy or its current
            load is unknown.
        last: Last known load of the service, which may be outdated.
        flow: Service, rank and tenant of the requests.
    """
    if load is not None:
        return _flow_limit(load.limits, flow)
    if last is None:
        return 1.0
    share = _flow_limit(last.load.limits, flow)
    return share if share >= 1.0 else STALE_ADMISSION_FACTOR * share


def _flow_limit(limits: tuple[FlowLimit, ...], flow: Flow) -> float:
    """Return the limit of a flow, or the common limit of the other flows of its rank.

    A rank without limits either has capacity left or had no arrivals recently. If a more urgent
    rank is limited, no capacity can be left, so the flow gets no more than the strictest limit of
    the nearest more urgent rank that has limits.
    """
    of_rank = {limit.tenant: limit.admitted for limit in limits if limit.rank == flow.rank}
    if of_rank:
        return of_rank.get(flow.tenant, of_rank.get("", 1.0))
    nearest_rank = max((limit.rank for limit in limits if limit.rank < flow.rank), default=None)
    return min((limit.admitted for limit in limits if limit.rank == nearest_rank), default=1.0)


class FlowAdmission:
    """Decides which requests of each flow one gateway admits.

    Each request adds the admitted fraction to the flow's accumulator, and each admitted request
    takes a whole token. The fraction thus holds over any few requests and not only on average.
    Accumulators start at random values, so that many gateways with one request each do not all
    decide alike.
    """

    def __init__(self) -> None:
        self._random = Random(0)
        self._accumulators: BoundedTable[Flow, Accumulator] = BoundedTable(
            MAXIMUM_FLOWS, lambda: Accumulator(self._random.random())
        )
        self._longest_times: BoundedTable[str, LongestRemainingTime] = BoundedTable(
            MAXIMUM_FLOWS, LongestRemainingTime
        )

    def seed(self, seed: int) -> None:
        """Seed the random choices."""
        self._random = Random(seed)

    def admit(
        self, flow: Flow, share: float, route: Route, remaining_seconds: float | None, now: float
    ) -> bool:
        """Return whether a request is admitted.

        Args:
            flow: The request's flow.
            share: Fraction of the flow's requests that may be admitted, 0 to 1.
            route: The request's route.
            remaining_seconds: How long the caller will still wait; None if unknown.
            now: Local time.
        """
        if share >= 1.0:
            return True
        urgency = Urgency.USUAL
        if remaining_seconds is not None:
            longest_seconds = self._longest_times[route.name].record(remaining_seconds, now)
            urgency = classify_urgency(
                remaining_seconds, longest_seconds, route.target_latency_seconds
            )
        return self._accumulators[flow].try_admit(share, urgency)


class Urgency(enum.Enum):
    """A caller's remaining time compared with that of other callers of the same route."""

    USUAL = "usual"
    RETRYING = "retrying"
    """The time is clearly shorter, but at least the target latency: the caller has priority."""
    LATE = "late"
    """The time is clearly shorter, and less than the target latency."""
    TOO_LATE = "too_late"
    """The time is too short for a response."""


def classify_urgency(
    remaining_seconds: float, longest_seconds: float, target_latency_seconds: float
) -> Urgency:
    """Classify a caller by its remaining time.

    Args:
        remaining_seconds: How long the caller will still wait.
        longest_seconds: Longest remaining time among callers of the same route.
        target_latency_seconds: Time within which a response is fully useful.
    """
    minimum_seconds = min(
        MINIMUM_TARGET_FRACTION * target_latency_seconds, MINIMUM_TIME_FRACTION * longest_seconds
    )
    if remaining_seconds < minimum_seconds:
        return Urgency.TOO_LATE
    if remaining_seconds >= SHORT_TIME_FRACTION * longest_seconds:
        return Urgency.USUAL
    return Urgency.RETRYING if remaining_seconds >= target_latency_seconds else Urgency.LATE


class Accumulator(msgspec.Struct):
    """Tokens of one flow, -0.5 to `MAXIMUM_TOKENS`."""

    tokens: float

    def try_admit(self, share: float, urgency: Urgency) -> bool:
        """Count a request; return whether it is admitted."""
        # Without the cap, requests that are too late would save up tokens, since they spend none.
        self.tokens = min(self.tokens + share, MAXIMUM_TOKENS)
        if share <= 0.0 or urgency is Urgency.TOO_LATE:
            return False
        needed = 1.0 - RETRY_TOKEN_CREDIT * (urgency is Urgency.RETRYING)
        if self.tokens < needed - _ROUNDING_TOLERANCE:
            return False
        self.tokens -= 1.0
        return True


class LongestRemainingTime(msgspec.Struct):
    """Decaying maximum of the remaining time of a route's callers."""

    longest_seconds: float = 0.0
    recorded_at: float = 0.0

    def record(self, remaining_seconds: float, now: float) -> float:
        """Add a caller's remaining time; return the maximum."""
        elapsed_seconds = max(0.0, now - self.recorded_at)
        decayed = self.longest_seconds * 0.5 ** (elapsed_seconds / LONGEST_TIME_HALF_LIFE_SECONDS)
        self.longest_seconds = max(remaining_seconds, decayed)
        self.recorded_at = now
        return self.longest_seconds
