"""Second tries beside a running one, and tries after failures, as a service fills up."""

import pytest

from merlinstand.decisions.send_budget import ServiceBudgets
from merlinstand.server_load.reports import ServiceLoad

SENDS_PER_SECOND = 8.0
"""Of one of 48 gateways whose callers bring 370 requests/s."""
SECONDS = 60.0


def hedges_given(demand: float | None, every: int) -> int:
    """Play a minute in which one request of so many asks for a second try."""
    load = None if demand is None else ServiceLoad("shop", demand, ())
    budgets = ServiceBudgets()
    given = 0
    for number in range(int(SENDS_PER_SECOND * SECONDS)):
        now = number / SENDS_PER_SECOND
        budgets.record_first_attempt(load, now)
        given += number % every == 0 and budgets.try_spend_hedge(load, now)
    return given


@pytest.mark.parametrize(
    ("demand", "every", "least", "most"),
    [
        pytest.param(None, 10, 48, 48, id="calm, a tenth is late: all of them"),
        pytest.param(0.5, 2, 40, 60, id="half full, half are late: half of the share"),
        pytest.param(1.0, 2, 0, 0, id="all room is asked for: none, queues are the cause"),
        pytest.param(2.0, 1, 0, 0, id="a crowd twice the room: none"),
    ],
)
def test_second_tries_vanish_as_a_service_fills_up(
    demand: float | None, every: int, least: int, most: int
) -> None:
    """Load: one gateway's part of a crowd, with servers that become slower as they fill."""
    assert least <= hedges_given(demand, every) <= most


def test_all_requests_at_a_server_that_falls_silent_are_hedged() -> None:
    """Load: calm; a gateway with 500 requests/s has ten in flight at one server that stops."""
    budgets = ServiceBudgets()
    assert all(budgets.try_spend_hedge(None, 0.0) for _ in range(10))
    assert not budgets.try_spend_hedge(None, 0.0)


def test_a_lost_zone_is_tried_again_whole_and_a_failing_service_is_not() -> None:
    """Load: 30 requests break off at once; then each request of a crowd fails."""
    budgets = ServiceBudgets()
    assert all(budgets.try_spend_retry(0.0) for _ in range(30))
    given = 0
    for number in range(400):
        now = 1.0 + number / 100.0
        budgets.record_first_attempt(None, now)
        given += budgets.try_spend_retry(now)
    assert given <= 10 + 0.2 * 400 + 6
