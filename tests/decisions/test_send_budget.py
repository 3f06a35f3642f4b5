"""Budgets of hedges and retries by the demand on a service."""

import pytest

from merlinstand.decisions.send_budget import ServiceBudgets
from merlinstand.server_load.reports import ServiceLoad

REQUESTS_PER_SECOND = 8.0
"""Rate of one of 48 gateways that receive 370 requests/s together."""
SECONDS = 60.0


def count_hedges(demand: float | None, hedge_interval: int) -> int:
    """Simulate a minute in which every n-th request needs a hedge; return the number allowed."""
    load = None if demand is None else ServiceLoad("shop", demand, ())
    budgets = ServiceBudgets()
    allowed = 0
    for number in range(int(REQUESTS_PER_SECOND * SECONDS)):
        now = number / REQUESTS_PER_SECOND
        budgets.record_first_attempt(load, now)
        allowed += number % hedge_interval == 0 and budgets.try_spend_hedge(load, now)
    return allowed


@pytest.mark.parametrize(
    ("demand", "hedge_interval", "minimum", "maximum"),
    [
        pytest.param(None, 10, 48, 48, id="not busy, a tenth late: all"),
        pytest.param(0.5, 2, 40, 60, id="half of the capacity, half late: half of the budget"),
        pytest.param(1.0, 2, 0, 0, id="demand at capacity: none"),
        pytest.param(2.0, 1, 0, 0, id="demand twice the capacity: none"),
    ],
)
def test_hedges_decrease_with_demand(
    demand: float | None, hedge_interval: int, minimum: int, maximum: int
) -> None:
    """Hedges stop when late responses come from queues."""
    assert minimum <= count_hedges(demand, hedge_interval) <= maximum


def test_all_requests_at_an_unresponsive_backend_are_hedged() -> None:
    """A gateway with 500 requests/s has ten in flight at one backend that stops responding."""
    budgets = ServiceBudgets()
    assert all(budgets.try_spend_hedge(None, 0.0) for _ in range(10))
    assert not budgets.try_spend_hedge(None, 0.0)


def test_requests_of_a_lost_zone_are_retried_and_retries_of_a_failing_service_are_limited() -> None:
    """30 requests break off at once; then every request fails."""
    budgets = ServiceBudgets()
    assert all(budgets.try_spend_retry(0.0) for _ in range(30))
    allowed = 0
    for number in range(400):
        now = 1.0 + number / 100.0
        budgets.record_first_attempt(None, now)
        allowed += budgets.try_spend_retry(now)
    assert allowed <= 10 + 0.2 * 400 + 6
