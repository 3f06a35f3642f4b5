"""Admission under overload, and Retry-After of rejected requests."""

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
TWICE_THE_CAPACITY = ServiceLoad("shop", 2.0, (), (FlowLimit(5, "", 0.5),))
ONE_TENANT_LIMITED = ServiceLoad(
    "shop", 2.0, (), (FlowLimit(5, "busy", 0.2), FlowLimit(9, "", 0.0), FlowLimit(9, "own", 0.1))
)


@pytest.mark.parametrize(
    ("load", "last", "flow", "share"),
    [
        pytest.param(
            None, None, Flow("shop", 5, "a"), 1.0, id="not busy, or summary older than 10 s"
        ),
        pytest.param(
            ServiceLoad("shop", 0.9, ()), None, Flow("shop", 5, "a"), 1.0, id="busy without limits"
        ),
        pytest.param(
            TWICE_THE_CAPACITY, None, Flow("shop", 5, "a"), 0.5, id="demand twice the capacity"
        ),
        pytest.param(
            TWICE_THE_CAPACITY,
            None,
            Flow("shop", 2, "a"),
            1.0,
            id="more urgent than the limited rank",
        ),
        pytest.param(ONE_TENANT_LIMITED, None, Flow("shop", 5, "busy"), 0.2, id="limited tenant"),
        pytest.param(
            ONE_TENANT_LIMITED, None, Flow("shop", 5, "other"), 1.0, id="other tenant of its rank"
        ),
        pytest.param(
            TWICE_THE_CAPACITY,
            None,
            Flow("shop", 7, "a"),
            0.5,
            id="rank without arrivals behind a limited one",
        ),
        pytest.param(
            ONE_TENANT_LIMITED,
            None,
            Flow("shop", 7, "a"),
            0.2,
            id="rank without arrivals between two",
        ),
        pytest.param(
            ONE_TENANT_LIMITED, None, Flow("shop", 9, "other"), 0.0, id="last rank, common limit"
        ),
        pytest.param(
            ONE_TENANT_LIMITED, None, Flow("shop", 9, "own"), 0.1, id="last rank, own limit"
        ),
        pytest.param(
            None,
            LastKnownLoad(TWICE_THE_CAPACITY, 4.0),
            Flow("shop", 5, "a"),
            0.25,
            id="stale summary",
        ),
        pytest.param(
            None,
            LastKnownLoad(TWICE_THE_CAPACITY, 4.0),
            Flow("shop", 2, "a"),
            1.0,
            id="stale summary, not limited",
        ),
        pytest.param(
            ServiceLoad("shop", 0.9, ()),
            LastKnownLoad(ServiceLoad("shop", 0.9, ()), 0.1),
            Flow("shop", 5, "a"),
            1.0,
            id="limits have ended",
        ),
    ],
)
def test_admitted_share_by_flow_and_freshness(
    load: ServiceLoad | None, last: LastKnownLoad | None, flow: Flow, share: float
) -> None:
    assert admitted_share(load, last, flow) == pytest.approx(share)


@pytest.mark.parametrize("share", [0.0, 0.03, 0.37, 0.5, 0.9, 1.0])
def test_total_admission_matches_the_share_for_any_distribution_of_callers(share: float) -> None:
    """One gateway has half of the callers, many have a few requests each."""
    admitted = arrivals = 0
    for gateway in range(GATEWAYS):
        admission = FlowAdmission()
        admission.seed(gateway)
        for n in range(400 if gateway == 0 else 9):
            arrivals += 1
            admitted += admission.admit(Flow("shop", 5, ""), share, ROUTE, 0.8, n / 10)
    assert admitted == pytest.approx(share * arrivals, abs=GATEWAYS / 4)


def test_flows_are_admitted_independently() -> None:
    """One tenant sends a hundred requests for each of another tenant."""
    admission = FlowAdmission()
    admitted: Counter[str] = Counter()
    for n in range(1_000):
        admitted["busy"] += admission.admit(Flow("shop", 5, "busy"), 0.1, ROUTE, 0.8, n / 100)
        if n % 100 == 0:
            admitted["other"] += admission.admit(Flow("shop", 5, "other"), 1.0, ROUTE, 0.8, n / 100)
    assert admitted["busy"] == pytest.approx(100, abs=1)
    assert admitted["other"] == 10


@pytest.mark.parametrize("share", [0.35, 0.5, 0.8])
def test_retrying_callers_have_priority_within_the_share(share: float) -> None:
    """Rejected callers retry with less remaining time than new ones."""
    random = Random(3)
    admission = FlowAdmission()
    arrivals = {"new": 0, "retry": 0}
    admitted = {"new": 0, "retry": 0}
    pending_retries = 0
    for n in range(4_000):
        is_retry = pending_retries > 0 and random.random() < 0.4
        kind = "retry" if is_retry else "new"
        pending_retries -= is_retry
        arrivals[kind] += 1
        remaining = 0.45 if is_retry else 0.8
        if admission.admit(Flow("shop", 5, ""), share, ROUTE, remaining, n / 400):
            admitted[kind] += 1
        else:
            pending_retries += not is_retry
    total = sum(admitted.values())
    assert total == pytest.approx(share * sum(arrivals.values()), abs=2)
    rates = {kind: admitted[kind] / arrivals[kind] for kind in arrivals}
    assert rates["retry"] > rates["new"] + 0.15


@pytest.mark.parametrize(
    ("remaining", "longest", "target", "urgency"),
    [
        pytest.param(0.8, 0.8, 0.2, Urgency.USUAL, id="new caller"),
        pytest.param(0.5, 0.8, 0.2, Urgency.RETRYING, id="first retry"),
        pytest.param(0.15, 0.8, 0.2, Urgency.LATE, id="response after the target latency"),
        pytest.param(0.05, 0.8, 0.2, Urgency.TOO_LATE, id="too late for a response"),
        pytest.param(0.3, 0.3, 2.0, Urgency.USUAL, id="all have less than the target latency"),
    ],
)
def test_urgency_by_remaining_time(
    remaining: float, longest: float, target: float, urgency: Urgency
) -> None:
    """Rejected callers retry, some of them too late."""
    assert classify_urgency(remaining, longest, target) is urgency


def test_share_of_callers_without_time_goes_to_others() -> None:
    """Twice the capacity, and half of the requests have hardly any remaining time."""
    admission = FlowAdmission()
    flow = Flow("shop", 5, "")
    admitted = {0.8: 0, 0.02: 0}
    for n in range(400):
        remaining = 0.02 if n % 2 else 0.8
        admitted[remaining] += admission.admit(flow, 0.5, ROUTE, remaining, n / 100)
    assert admitted[0.02] == 0
    assert admitted[0.8] >= 198


def test_longest_remaining_time_decays() -> None:
    """Callers with long timeouts are followed by callers that all have half of these."""
    admission = FlowAdmission()
    flow = Flow("shop", 5, "")
    for n in range(100):
        admission.admit(flow, 0.5, ROUTE, 1.6, n / 10)
    admitted = [admission.admit(flow, 0.5, ROUTE, 0.8, 60.0 + n / 10) for n in range(100)]
    assert sum(admitted) == pytest.approx(50, abs=1)


@pytest.mark.parametrize(
    ("target", "remaining", "minimum", "maximum"),
    [
        pytest.param(0.2, 0.8, 0.02, 0.06, id="early enough to be served in time"),
        pytest.param(0.2, None, 0.02, 0.06, id="unknown remaining time"),
        pytest.param(0.2, 0.06, 0.02 / 3, 0.02, id="short remaining time"),
        pytest.param(30.0, None, 1 / 3, 1.0, id="long target latency"),
        pytest.param(0.2, -0.1, 0.0, 0.0, id="deadline passed"),
    ],
)
def test_retry_after_of_rejected_callers_is_spread(
    target: float, remaining: float | None, minimum: float, maximum: float
) -> None:
    """Many callers are rejected at the same moment."""
    random_values = [n / 100 for n in range(101)]
    times = [
        overload_retry_after_seconds(target, remaining, random_value)
        for random_value in random_values
    ]
    assert times[0] == pytest.approx(minimum)
    assert times[-1] == pytest.approx(maximum, abs=0.002)
    assert times == sorted(times)
