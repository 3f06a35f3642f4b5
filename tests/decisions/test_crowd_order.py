"""Admission by flow at three gateways under overload, with callers that retry."""

import heapq
from collections import Counter
from itertools import count
from random import Random

import msgspec
import pytest

from merlinstand.cluster.routes import RouteKind
from merlinstand.decisions.overload import Flow, FlowAdmission, admitted_share
from merlinstand.decisions.rejection import overload_retry_after_seconds
from merlinstand.server_load.flow_limits import FLOOR_SHARE, flow_limits
from merlinstand.server_load.live_service import LiveService
from merlinstand.server_load.reports import FlowLimit, FlowTally, ServiceLoad
from tests.routes import make_route

CAPACITY = 100.0
"""Requests a second that backends can serve."""
GATEWAY_WEIGHTS = (6, 3, 1)
"""Callers are distributed unevenly over three gateways."""
CALLER_TIMEOUT_SECONDS = 0.8
MAXIMUM_RETRIES = 3
"""Retries before a caller stops."""
REPORT_SECONDS = 0.05
WARM_UP_SECONDS = 2.0
RUN_SECONDS = 42.0
URGENT, NORMAL = 0, 5
ROUTE = make_route(RouteKind.REPEATABLE, "shop", "/l/", target_latency_seconds=0.2)
URGENT_WITHIN_CAPACITY = {
    Flow("shop", URGENT, "a"): 10.0,
    Flow("shop", URGENT, "b"): 10.0,
    Flow("shop", NORMAL, "a"): 20.0,
    Flow("shop", NORMAL, "b"): 60.0,
    Flow("shop", NORMAL, "c"): 100.0,
}
URGENT_ABOVE_CAPACITY = {
    Flow("shop", URGENT, "a"): 10.0,
    Flow("shop", URGENT, "b"): 50.0,
    Flow("shop", URGENT, "c"): 100.0,
    Flow("shop", NORMAL, "a"): 20.0,
    Flow("shop", NORMAL, "c"): 20.0,
}
"""First arrivals a second: twice the capacity."""


class Arrival(msgspec.Struct, frozen=True):
    """A request that arrives at some gateway."""

    flow: Flow
    deadline: float
    rejections: int = 0


class Outcomes(msgspec.Struct):
    """Counts after the warm-up, by flow."""

    arrivals: Counter[Flow] = msgspec.field(default_factory=Counter)
    admitted: Counter[Flow] = msgspec.field(default_factory=Counter)
    retried: Counter[Flow] = msgspec.field(default_factory=Counter)
    rejected_again: Counter[Flow] = msgspec.field(default_factory=Counter)
    expected_rejections: dict[Flow, float] = msgspec.field(default_factory=dict)
    """Expected rejections of retries if each were drawn by the admitted fraction."""

    def per_second(self, flow: Flow) -> float:
        return self.admitted[flow] / (RUN_SECONDS - WARM_UP_SECONDS)

    def record(self, arrival: Arrival, share: float, is_admitted: bool) -> None:
        self.arrivals[arrival.flow] += 1
        self.admitted[arrival.flow] += is_admitted
        if arrival.rejections:
            self.retried[arrival.flow] += 1
            self.rejected_again[arrival.flow] += not is_admitted
            self.expected_rejections[arrival.flow] = (
                self.expected_rejections.get(arrival.flow, 0.0) + 1.0 - share
            )


class LimitLeader:
    """Sums the arrivals of all gateways and computes limits of flows."""

    def __init__(self) -> None:
        self._service = LiveService("shop", 0.0)
        self._counts: Counter[Flow] = Counter()
        self.limits: tuple[FlowLimit, ...] = ()

    def record_arrival(self, flow: Flow) -> None:
        self._counts[flow] += 1

    def update_limits(self, now: float) -> None:
        for flow, arrivals in self._counts.items():
            tally = FlowTally(flow.service, flow.rank, flow.tenant, arrivals)
            self._service.record_arrivals(tally, 1.0, now)
        self._counts.clear()
        self.limits = flow_limits(CAPACITY, self._service.arrival_rates(now))


def run_callers(rates: dict[Flow, float], seed: int) -> Outcomes:
    """Simulate callers that retry as told by Retry-After until their deadline."""
    random = Random(seed)
    first_arrivals = [
        (at, Arrival(flow, at + CALLER_TIMEOUT_SECONDS))
        for flow, rate in rates.items()
        for at in (random.uniform(0.0, RUN_SECONDS) for _ in range(int(rate * RUN_SECONDS)))
    ]
    numbers = count()
    queue = [(at, next(numbers), arrival) for at, arrival in first_arrivals]
    heapq.heapify(queue)
    gateways = [FlowAdmission() for _ in GATEWAY_WEIGHTS]
    for n, gateway in enumerate(gateways):
        gateway.seed(seed + n)
    leader, outcomes, updated_at = LimitLeader(), Outcomes(), 0.0
    while queue:
        now, _, arrival = heapq.heappop(queue)
        if now >= RUN_SECONDS:
            break
        if now - updated_at >= REPORT_SECONDS:
            leader.update_limits(now)
            updated_at = now
        leader.record_arrival(arrival.flow)
        share = admitted_share(ServiceLoad("shop", 2.0, (), leader.limits), None, arrival.flow)
        gateway = random.choices(gateways, GATEWAY_WEIGHTS)[0]
        remaining_seconds = arrival.deadline - now
        is_admitted = gateway.admit(arrival.flow, share, ROUTE, remaining_seconds, now)
        if now >= WARM_UP_SECONDS:
            outcomes.record(arrival, share, is_admitted)
        if not is_admitted:
            wait = overload_retry_after_seconds(0.2, remaining_seconds, random.random())
            retry = Arrival(arrival.flow, arrival.deadline, arrival.rejections + 1)
            if retry.rejections <= MAXIMUM_RETRIES:
                heapq.heappush(queue, (now + wait, next(numbers), retry))
    return outcomes


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("rates", "expected"),
    [
        pytest.param(
            URGENT_WITHIN_CAPACITY, (10.0, 10.0, 20.0, 30.0, 30.0), id="urgent rank within capacity"
        ),
        pytest.param(
            URGENT_ABOVE_CAPACITY, (10.0, 44.0, 44.0, 1.0, 1.0), id="urgent rank above capacity"
        ),
    ],
)
def test_urgent_ranks_come_first_and_tenants_get_fair_shares(
    rates: dict[Flow, float], expected: tuple[float, ...], seed: int
) -> None:
    """Twice the capacity at three uneven gateways, two ranks, three tenants, with retries."""
    outcomes = run_callers(rates, seed)
    got = [outcomes.per_second(flow) for flow in rates]
    assert got == pytest.approx(expected, rel=0.1)
    assert sum(got) <= CAPACITY
    floor = FLOOR_SHARE * CAPACITY
    assert sum(outcomes.per_second(flow) for flow in rates if flow.rank == NORMAL) >= 0.9 * floor


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("rates", [URGENT_WITHIN_CAPACITY, URGENT_ABOVE_CAPACITY])
def test_retrying_callers_are_rejected_no_more_often_than_by_the_admitted_fraction(
    rates: dict[Flow, float], seed: int
) -> None:
    """Rejected callers retry up to three times, soon and at any gateway."""
    outcomes = run_callers(rates, seed)
    for flow, expected_rejections in outcomes.expected_rejections.items():
        assert (
            outcomes.rejected_again[flow]
            <= expected_rejections + 3.0 * expected_rejections**0.5 + 1.0
        ), flow
