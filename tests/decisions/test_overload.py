"""Which requests of a crowd are admitted, and when the refused ones come back."""

from collections import Counter
from random import Random

import pytest

from merlinstand.cluster.routes import RouteKind
from merlinstand.decisions.overload import (
    FlowAdmission,
    Urgency,
    admitted_share,
    classify_urgency,
)
from merlinstand.decisions.rejection import overload_retry_after_seconds
from merlinstand.server_load.follower import LastKnownLoad
from merlinstand.server_load.reports import Flow, FlowLimit, ServiceLoad
from tests.routes import make_route

GATEWAYS = 48
ROUTE = make_route(RouteKind.REPEATABLE, "shop", "/l/", target_latency_seconds=0.2)
TWICE_THE_ROOM = ServiceLoad("shop", 2.0, (), (FlowLimit(5, "", 0.5),))
ONE_TENANT = ServiceLoad(
    "shop", 2.0, (), (FlowLimit(5, "crowd", 0.2), FlowLimit(9, "", 0.0), FlowLimit(9, "own", 0.1))
)


@pytest.mark.parametrize(
    ("load", "last", "flow", "share"),
    [
        pytest.param(None, None, Flow("shop", 5, "a"), 1.0, id="calm, or nothing known for 10 s"),
        pytest.param(
            ServiceLoad("shop", 0.9, ()), None, Flow("shop", 5, "a"), 1.0, id="a crowd that fits"
        ),
        pytest.param(TWICE_THE_ROOM, None, Flow("shop", 5, "a"), 0.5, id="a crowd twice the room"),
        pytest.param(TWICE_THE_ROOM, None, Flow("shop", 2, "a"), 1.0, id="two ranks: the urgent"),
        pytest.param(ONE_TENANT, None, Flow("shop", 5, "crowd"), 0.2, id="one tenant's crowd"),
        pytest.param(ONE_TENANT, None, Flow("shop", 5, "other"), 1.0, id="beside that crowd"),
        pytest.param(
            TWICE_THE_ROOM, None, Flow("shop", 7, "a"), 0.5, id="seldom asked, not urgent"
        ),
        pytest.param(ONE_TENANT, None, Flow("shop", 7, "a"), 0.2, id="seldom asked, between two"),
        pytest.param(ONE_TENANT, None, Flow("shop", 9, "other"), 0.0, id="last rank, unnamed"),
        pytest.param(ONE_TENANT, None, Flow("shop", 9, "own"), 0.1, id="last rank, named"),
        pytest.param(
            None, LastKnownLoad(TWICE_THE_ROOM, 4.0), Flow("shop", 5, "a"), 0.25, id="out of touch"
        ),
        pytest.param(
            None,
            LastKnownLoad(TWICE_THE_ROOM, 4.0),
            Flow("shop", 2, "a"),
            1.0,
            id="out of touch, urgent",
        ),
        pytest.param(
            ServiceLoad("shop", 0.9, ()),
            LastKnownLoad(ServiceLoad("shop", 0.9, ()), 0.1),
            Flow("shop", 5, "a"),
            1.0,
            id="the crowd is over",
        ),
    ],
)
def test_the_share_that_is_admitted(
    load: ServiceLoad | None, last: LastKnownLoad | None, flow: Flow, share: float
) -> None:
    """Load: in the name of each case."""
    assert admitted_share(load, last, flow) == pytest.approx(share)


@pytest.mark.parametrize("share", [0.0, 0.03, 0.37, 0.5, 0.9, 1.0])
def test_what_gateways_admit_adds_up_however_callers_are_spread(share: float) -> None:
    """Load: a crowd; one gateway has half of the callers, many have some requests each."""
    admitted = asked = 0
    for gateway in range(GATEWAYS):
        admission = FlowAdmission()
        admission.seed(gateway)
        for n in range(400 if gateway == 0 else 9):
            asked += 1
            admitted += admission.admit(Flow("shop", 5, ""), share, ROUTE, 0.8, n / 10)
    assert admitted == pytest.approx(share * asked, abs=GATEWAYS / 4)


def test_flows_of_other_ranks_and_tenants_are_counted_apart() -> None:
    """Load: one tenant's crowd of a hundred requests for each of another tenant."""
    admission = FlowAdmission()
    admitted: Counter[str] = Counter()
    for n in range(1_000):
        admitted["crowd"] += admission.admit(Flow("shop", 5, "crowd"), 0.1, ROUTE, 0.8, n / 100)
        if n % 100 == 0:
            admitted["other"] += admission.admit(Flow("shop", 5, "other"), 1.0, ROUTE, 0.8, n / 100)
    assert admitted["crowd"] == pytest.approx(100, abs=1)
    assert admitted["other"] == 10


@pytest.mark.parametrize("share", [0.35, 0.5, 0.8])
def test_callers_that_return_go_first_and_the_share_is_kept(share: float) -> None:
    """Load: refused callers return after a moment, with less time left than new ones."""
    random = Random(3)
    admission = FlowAdmission()
    asked = {"new": 0, "returning": 0}
    admitted = {"new": 0, "returning": 0}
    waiting = 0
    for n in range(4_000):
        is_returning = waiting > 0 and random.random() < 0.4
        kind = "returning" if is_returning else "new"
        waiting -= is_returning
        asked[kind] += 1
        left = 0.45 if is_returning else 0.8
        if admission.admit(Flow("shop", 5, ""), share, ROUTE, left, n / 400):
            admitted[kind] += 1
        else:
            waiting += not is_returning
    total = sum(admitted.values())
    assert total == pytest.approx(share * sum(asked.values()), abs=2)
    rates = {kind: admitted[kind] / asked[kind] for kind in asked}
    assert rates["returning"] > rates["new"] + 0.15


@pytest.mark.parametrize(
    ("left", "longest", "aim", "urgency"),
    [
        pytest.param(0.8, 0.8, 0.2, Urgency.USUAL, id="a new caller"),
        pytest.param(0.5, 0.8, 0.2, Urgency.RETRYING, id="came back once"),
        pytest.param(0.15, 0.8, 0.2, Urgency.LATE, id="an answer would come after the aim"),
        pytest.param(0.05, 0.8, 0.2, Urgency.TOO_LATE, id="no answer would come"),
        pytest.param(0.3, 0.3, 2.0, Urgency.USUAL, id="all have less than the aim"),
    ],
)
def test_urgency(left: float, longest: float, aim: float, urgency: Urgency) -> None:
    """Load: refused callers that return, some of them too late."""
    assert classify_urgency(left, longest, aim) is urgency


def test_what_callers_that_are_too_late_leave_is_given_to_others() -> None:
    """Load: a crowd twice the room, in which half of the requests have no time left."""
    admission = FlowAdmission()
    flow = Flow("shop", 5, "")
    admitted = {0.8: 0, 0.02: 0}
    for n in range(400):
        left = 0.02 if n % 2 else 0.8
        admitted[left] += admission.admit(flow, 0.5, ROUTE, left, n / 100)
    assert admitted[0.02] == 0
    assert admitted[0.8] >= 198


def test_the_time_that_others_have_is_forgotten() -> None:
    """Load: a crowd of patient callers is followed by one in which all have half the time."""
    admission = FlowAdmission()
    flow = Flow("shop", 5, "")
    for n in range(100):
        admission.admit(flow, 0.5, ROUTE, 1.6, n / 10)
    admitted = [admission.admit(flow, 0.5, ROUTE, 0.8, 60.0 + n / 10) for n in range(100)]
    assert sum(admitted) == pytest.approx(50, abs=1)


@pytest.mark.parametrize(
    ("aim", "left", "least", "most"),
    [
        pytest.param(0.2, 0.8, 0.02, 0.06, id="early enough to be served in time"),
        pytest.param(0.2, None, 0.02, 0.06, id="nobody knows how long callers wait"),
        pytest.param(0.2, 0.06, 0.02 / 3, 0.02, id="never longer than callers heed"),
        pytest.param(30.0, None, 1 / 3, 1.0, id="a long aim"),
        pytest.param(0.2, -0.1, 0.0, 0.0, id="no time left"),
    ],
)
def test_refused_callers_are_spread(
    aim: float, left: float | None, least: float, most: float
) -> None:
    """Load: a crowd is refused at one moment."""
    chances = [n / 100 for n in range(101)]
    times = [overload_retry_after_seconds(aim, left, chance) for chance in chances]
    assert times[0] == pytest.approx(least)
    assert times[-1] == pytest.approx(most, abs=0.002)
    assert times == sorted(times)
