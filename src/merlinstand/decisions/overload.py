"""Overload control: which requests a gateway admits while a service cannot serve all of them.

The control leader publishes the fraction of each flow that all gateways together may admit
(`server_load`). Each gateway applies it to its own arrivals, so that the total fits however callers
are spread over gateways. Each flow has a token accumulator here, and each route the longest
remaining time of its callers.
"""

import enum
from random import Random

import msgspec

from merlinstand.cluster.routes import Route
from merlinstand.common.bounded_table import BoundedTable
from merlinstand.server_load.follower import LastKnownLoad
from merlinstand.server_load.reports import Flow, FlowLimit, ServiceLoad

STALE_ADMISSION_FACTOR = 0.5
"""While the leader is not heard, a flow is admitted at this factor of its last known fraction: the
capacity may have shrunk, and backends still refuse what exceeds it."""
SHORT_TIME_FRACTION = 0.97
"""A caller whose remaining time is below this fraction of the longest on its route has been
rejected before or has waited; rejected callers retry after a small part of the target latency."""
RETRY_TOKEN_CREDIT = 0.5
"""Such a caller is admitted with this many tokens missing; other requests of the flow pay for
it."""
MINIMUM_TARGET_FRACTION = 0.5
"""A caller whose remaining time is below this fraction of the target latency is too late for a
response from a full service: it would use capacity that can still serve another in time."""
MINIMUM_TIME_FRACTION = 0.25
"""The same bound relative to the longest remaining time on the route. The lower of the two bounds
applies, so that nobody is rejected for it where all callers have little time."""
LONGEST_TIME_HALF_LIFE_SECONDS = 10.0
"""Half-life of the recorded longest remaining time of a route's callers."""
MAXIMUM_FLOWS = 4_096
"""Limit on flows, and on routes, for which state is kept; the oldest entry is evicted."""
MAXIMUM_TOKENS = 2.0
"""Token limit of a flow, so that unused admission is not saved up for a surge."""
_ROUNDING_TOLERANCE = 1e-9
"""Sums of fractions may fall short of a whole token by this."""


def admitted_share(load: ServiceLoad | None, last: LastKnownLoad | None, flow: Flow) -> float:
    """Return the fraction of a flow's requests that may be admitted, 0 to 1.

    Args:
        load: Fresh load of its service; None if the service is not busy or nothing fresh is known.
        last: Last known load of the service, fresh or not.
        flow: The flow.
    """
    if load is not None:
        return _flow_limit(load.limits, flow)
    if last is None:
        return 1.0
    share = _flow_limit(last.load.limits, flow)
    return share if share >= 1.0 else STALE_ADMISSION_FACTOR * share


def _flow_limit(limits: tuple[FlowLimit, ...], flow: Flow) -> float:
    """Return the limit of a flow, or the common limit of the other flows of its rank.

    A rank without limits has capacity left, or had no arrivals recently. Behind a limited rank it
    is the latter, so the flow gets no more than the strictest limit of the nearest more urgent
    rank.
    """
    of_rank = {limit.tenant: limit.admitted for limit in limits if limit.rank == flow.rank}
    if of_rank:
        return of_rank.get(flow.tenant, of_rank.get("", 1.0))
    nearest_rank = max((limit.rank for limit in limits if limit.rank < flow.rank), default=None)
    return min((limit.admitted for limit in limits if limit.rank == nearest_rank), default=1.0)


class FlowAdmission:
    """Decides which requests of each flow one gateway admits.

    Each request of a flow adds the flow's fraction to its accumulator, and each admitted one takes
    a whole token, so the fraction holds over any few requests and not only on average. Accumulators
    start at random values, so that many gateways with one request each do not all decide alike.
    """

    def __init__(self) -> None:
        """Create with no flows."""
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
            flow: Its flow.
            share: Fraction of the flow's requests that may be admitted, 0 to 1.
            route: Its route.
            remaining_seconds: How long its caller will still wait; None if unknown.
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
    """A caller's remaining time compared with that of other callers of its route."""

    USUAL = "usual"
    RETRYING = "retrying"
    """Clearly shorter, but enough for a response within the target latency: it has priority."""
    LATE = "late"
    """Clearly shorter, and a response would come after the target latency."""
    TOO_LATE = "too_late"
    """Too short for a response."""


def classify_urgency(
    remaining_seconds: float, longest_seconds: float, target_latency_seconds: float
) -> Urgency:
    """Classify a caller by its remaining time.

    Args:
        remaining_seconds: How long it will still wait.
        longest_seconds: Longest remaining time among callers of its route.
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
        # Capped because requests that are too late spend no token.
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
