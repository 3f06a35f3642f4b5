"""Who is admitted at a few gateways that carry much, while callers ask for more than fits."""

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
"""Requests a second that servers can do."""
GATEWAY_WEIGHTS = (6, 3, 1)
"""Callers are spread unevenly over three gateways."""
PATIENCE_SECONDS = 0.8
MOST_RETURNS = 3
"""After which a caller gives up."""
REPORT_SECONDS = 0.05
WARM_UP_SECONDS = 2.0
DAY_SECONDS = 42.0
URGENT, USUAL = 0, 5
ROUTE = make_route(RouteKind.REPEATABLE, "shop", "/l/", target_latency_seconds=0.2)
URGENT_FITS = {
    Flow("shop", URGENT, "a"): 10.0,
    Flow("shop", URGENT, "b"): 10.0,
    Flow("shop", USUAL, "a"): 20.0,
    Flow("shop", USUAL, "b"): 60.0,
    Flow("shop", USUAL, "c"): 100.0,
}
URGENT_IS_TOO_MUCH = {
    Flow("shop", URGENT, "a"): 10.0,
    Flow("shop", URGENT, "b"): 50.0,
    Flow("shop", URGENT, "c"): 100.0,
    Flow("shop", USUAL, "a"): 20.0,
    Flow("shop", USUAL, "c"): 20.0,
}
"""Requests a second that callers bring for the first time: twice the room."""


class Visit(msgspec.Struct, frozen=True):
    """A caller comes to some gateway."""

    flow: Flow
    gives_up_at: float
    refusals: int = 0


class Seen(msgspec.Struct):
    """What callers met after the warm-up, by flow."""

    asked: Counter[Flow] = msgspec.field(default_factory=Counter)
    admitted: Counter[Flow] = msgspec.field(default_factory=Counter)
    returned: Counter[Flow] = msgspec.field(default_factory=Counter)
    refused_again: Counter[Flow] = msgspec.field(default_factory=Counter)
    chance: dict[Flow, float] = msgspec.field(default_factory=dict)
    """How many of those that returned would be refused if it were drawn by the share."""

    def per_second(self, flow: Flow) -> float:
        return self.admitted[flow] / (DAY_SECONDS - WARM_UP_SECONDS)

    def note(self, visit: Visit, share: float, is_admitted: bool) -> None:
        self.asked[visit.flow] += 1
        self.admitted[visit.flow] += is_admitted
        if visit.refusals:
            self.returned[visit.flow] += 1
            self.refused_again[visit.flow] += not is_admitted
            self.chance[visit.flow] = self.chance.get(visit.flow, 0.0) + 1.0 - share


class Leader:
    """Adds up what gateways are asked for, and limits flows by it."""

    def __init__(self) -> None:
        self._service = LiveService("shop", 0.0)
        self._counts: Counter[Flow] = Counter()
        self.limits: tuple[FlowLimit, ...] = ()

    def note_asked(self, flow: Flow) -> None:
        self._counts[flow] += 1

    def look(self, now: float) -> None:
        for flow, asked in self._counts.items():
            tally = FlowTally(flow.service, flow.rank, flow.tenant, asked)
            self._service.record_arrivals(tally, 1.0, now)
        self._counts.clear()
        self.limits = flow_limits(CAPACITY, self._service.arrival_rates(now))


def play(rates: dict[Flow, float], seed: int) -> Seen:
    """Let callers come, and come back when they are told to while they have time left."""
    random = Random(seed)
    arrivals = [
        (at, Visit(flow, at + PATIENCE_SECONDS))
        for flow, rate in rates.items()
        for at in (random.uniform(0.0, DAY_SECONDS) for _ in range(int(rate * DAY_SECONDS)))
    ]
    numbers = count()
    queue = [(at, next(numbers), visit) for at, visit in arrivals]
    heapq.heapify(queue)
    gateways = [FlowAdmission() for _ in GATEWAY_WEIGHTS]
    for n, gateway in enumerate(gateways):
        gateway.seed(seed + n)
    leader, seen, looked_at = Leader(), Seen(), 0.0
    while queue:
        now, _, visit = heapq.heappop(queue)
        if now >= DAY_SECONDS:
            break
        if now - looked_at >= REPORT_SECONDS:
            leader.look(now)
            looked_at = now
        leader.note_asked(visit.flow)
        share = admitted_share(ServiceLoad("shop", 2.0, (), leader.limits), None, visit.flow)
        gateway = random.choices(gateways, GATEWAY_WEIGHTS)[0]
        left_seconds = visit.gives_up_at - now
        is_admitted = gateway.admit(visit.flow, share, ROUTE, left_seconds, now)
        if now >= WARM_UP_SECONDS:
            seen.note(visit, share, is_admitted)
        if not is_admitted:
            wait = overload_retry_after_seconds(0.2, left_seconds, random.random())
            returning = Visit(visit.flow, visit.gives_up_at, visit.refusals + 1)
            if returning.refusals <= MOST_RETURNS:
                heapq.heappush(queue, (now + wait, next(numbers), returning))
    return seen


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(
    ("rates", "expected"),
    [
        pytest.param(URGENT_FITS, (10.0, 10.0, 20.0, 30.0, 30.0), id="the urgent rank fits"),
        pytest.param(URGENT_IS_TOO_MUCH, (10.0, 44.0, 44.0, 1.0, 1.0), id="it does not"),
    ],
)
def test_ranks_come_in_order_and_tenants_get_fair_shares(
    rates: dict[Flow, float], expected: tuple[float, ...], seed: int
) -> None:
    """Load: twice the room at three uneven gateways, two ranks, three tenants; callers return."""
    seen = play(rates, seed)
    got = [seen.per_second(flow) for flow in rates]
    assert got == pytest.approx(expected, rel=0.1)
    assert sum(got) <= CAPACITY
    floor = FLOOR_SHARE * CAPACITY
    assert sum(seen.per_second(flow) for flow in rates if flow.rank == USUAL) >= 0.9 * floor


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("rates", [URGENT_FITS, URGENT_IS_TOO_MUCH])
def test_callers_that_return_are_refused_again_no_more_often_than_by_chance(
    rates: dict[Flow, float], seed: int
) -> None:
    """Load: the same; refused callers come back up to three times, soon and to any gateway."""
    seen = play(rates, seed)
    for flow, chance in seen.chance.items():
        assert seen.refused_again[flow] <= chance + 3.0 * chance**0.5 + 1.0, flow
