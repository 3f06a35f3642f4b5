"""Admit a part of the requests that callers bring, while a service can't serve all of them.

For: gateways, before a request is sent to any server. The control leader publishes which share of
each flow all gateways together may admit (`server_load`); each applies it to its own arrivals, so
that what all admit adds up to what fits, however callers are spread over them. Owns an accumulator
for each flow, and how long callers of each route wait.
"""

import enum
from random import Random

import msgspec

from merlinstand.cluster.routes import Route
from merlinstand.common.bounded_table import BoundedTable
from merlinstand.server_load.follower import LastKnownLoad
from merlinstand.server_load.reports import Flow, FlowLimit, ServiceLoad

STALE_SHARE = 0.5
"""Part of its last known share that is admitted of a flow while the leader is not heard: what fits
may have become less, and servers still turn away what is too much."""
LITTLE_TIME_SHARE = 0.97
"""A caller with less than this share of the time that others of its route have has been refused
before, or has waited; refused ones are back after a small part of their aim."""
BORROWED_TOKEN = 0.5
"""Such a caller is admitted this far ahead of its flow's share; others of the flow make up for
it."""
LEAST_AIM_SHARE = 0.5
"""Share of its route's aim below which a caller's time doesn't suffice for an answer of a full
service: it would take the place of one that can still be served."""
LEAST_TIME_SHARE = 0.25
"""The same, against the time that others of its route have: where all have little, none is refused
for it."""
PATIENCE_HALF_LIFE_SECONDS = 10.0
"""The longest time that callers of a route had left is forgotten by half in this time."""
MAXIMUM_FLOWS = 4_096
"""Most flows, and routes, that anything is kept of; the oldest entry gives way to a new one."""
LARGEST_BALANCE = 2.0
"""Most tokens of a flow: what it didn't use isn't saved up for a surge."""
_ROUNDING = 1e-9
"""Sums of shares may fall short of a whole token by this."""


def admitted_share(load: ServiceLoad | None, last: LastKnownLoad | None, flow: Flow) -> float:
    """Return the share of a flow's requests that may be admitted, 0 to 1.

    Args:
        load: What is known of its service; None if it isn't busy, or nothing fresh is known.
        last: What was known of it last, fresh or not.
        flow: The flow.
    """
    if load is not None:
        return _limit_of(load.limits, flow)
    if last is None:
        return 1.0
    share = _limit_of(last.load.limits, flow)
    return share if share >= 1.0 else STALE_SHARE * share


def _limit_of(limits: tuple[FlowLimit, ...], flow: Flow) -> float:
    """Give the limit of a flow, else that of all others of its rank.

    A rank that is not named has room, or nobody asked for it lately. Behind a limited rank it is
    the latter: the flow then gets no more than that rank.
    """
    of_rank = {limit.tenant: limit.admitted for limit in limits if limit.rank == flow.rank}
    if of_rank:
        return of_rank.get(flow.tenant, of_rank.get("", 1.0))
    before = max((limit.rank for limit in limits if limit.rank < flow.rank), default=None)
    return min((limit.admitted for limit in limits if limit.rank == before), default=1.0)


class FlowAdmission:
    """Which requests of each flow one gateway admits.

    A flow's accumulator grows by the share with each of its requests, and each admitted one takes a
    whole token: the share is kept over any few requests, not only on average. It begins at random,
    so that many gateways with a request each don't all decide alike.
    """

    def __init__(self) -> None:
        """Begin without flows."""
        self._random = Random(0)
        self._accumulators: BoundedTable[Flow, Accumulator] = BoundedTable(
            MAXIMUM_FLOWS, lambda: Accumulator(self._random.random())
        )
        self._patience: BoundedTable[str, Patience] = BoundedTable(MAXIMUM_FLOWS, Patience)

    def seed(self, seed: int) -> None:
        """Make random choices follow this seed."""
        self._random = Random(seed)

    def admit(
        self, flow: Flow, share: float, route: Route, remaining_seconds: float | None, now: float
    ) -> bool:
        """Return whether a request is admitted.

        Args:
            flow: Its flow.
            share: Of the flow's requests that may be admitted, 0 to 1.
            route: Its route.
            left_seconds: How long its caller still waits; None if it didn't say.
            now: Local time.
        """
        if share >= 1.0:
            return True
        urgency = Urgency.USUAL
        if remaining_seconds is not None:
            longest_seconds = self._patience[route.name].longest(remaining_seconds, now)
            urgency = judge_urgency(
                remaining_seconds, longest_seconds, route.target_latency_seconds
            )
        return self._accumulators[flow].take(share, urgency)


class Urgency(enum.Enum):
    """How a caller's time compares with that of others of its route."""

    USUAL = "usual"
    RETURNING = "returning"
    """Clearly less, and enough for an answer in time: it goes first."""
    LATE = "late"
    """Clearly less, and an answer would come after the aim."""
    TOO_LATE = "too_late"
    """Too little for an answer."""


def judge_urgency(left_seconds: float, longest_seconds: float, aim_seconds: float) -> Urgency:
    """Judge a caller's time.

    Args:
        left_seconds: How long it still waits.
        longest_seconds: How long others of its route wait.
        aim_seconds: Time within which an answer is fully useful.
    """
    least_seconds = min(LEAST_AIM_SHARE * aim_seconds, LEAST_TIME_SHARE * longest_seconds)
    if left_seconds < least_seconds:
        return Urgency.TOO_LATE
    if left_seconds >= LITTLE_TIME_SHARE * longest_seconds:
        return Urgency.USUAL
    return Urgency.RETURNING if left_seconds >= aim_seconds else Urgency.LATE


class Accumulator(msgspec.Struct):
    """Tokens of one flow, -0.5 to `LARGEST_BALANCE`."""

    tokens: float

    def take(self, share: float, urgency: Urgency) -> bool:
        """Count a request in; return whether it is admitted."""
        # Bounded, since requests that are too late take no token.
        self.tokens = min(self.tokens + share, LARGEST_BALANCE)
        if share <= 0.0 or urgency is Urgency.TOO_LATE:
            return False
        needed = 1.0 - BORROWED_TOKEN * (urgency is Urgency.RETURNING)
        if self.tokens < needed - _ROUNDING:
            return False
        self.tokens -= 1.0
        return True


class Patience(msgspec.Struct):
    """The longest time that callers of a route had left lately."""

    longest_seconds: float = 0.0
    noted_at: float = 0.0

    def longest(self, left_seconds: float, now: float) -> float:
        """Take a caller's time in; return the longest."""
        elapsed_seconds = max(0.0, now - self.noted_at)
        faded = self.longest_seconds * 0.5 ** (elapsed_seconds / PATIENCE_HALF_LIFE_SECONDS)
        self.longest_seconds = max(left_seconds, faded)
        self.noted_at = now
        return self.longest_seconds
