"""The fair queue over a long busy time: newcomers, returning callers, items taken back."""

from merlinstand.gateway.fair_queue import FairQueue
from tests.gateway.driver import GatewayDriver, service_pool


def serve(queue: FairQueue[str], count: int) -> list[str]:
    """Take out what is next, as the gateway does: looked at first, then taken."""
    served = []
    for _ in range(count):
        item = queue.peek()
        assert queue.pop() is item
        assert item is not None
        served.append(item)
    return served


def fill(queue: FairQueue[str], caller: str, first: int, count: int, cost: float = 1.0) -> None:
    for number in range(first, first + count):
        assert queue.push(number, caller, caller, 1.0, cost)[0]


def test_newcomer_gets_no_more_than_its_share_beside_a_long_backlog() -> None:
    queue: FairQueue[str] = FairQueue(10_000, 5_000)
    fill(queue, "old", 0, 1_000)
    serve(queue, 500)
    fill(queue, "new", 2_000, 500)
    assert 19 <= serve(queue, 40).count("new") <= 21


def test_returning_caller_goes_before_every_backlog_once() -> None:
    queue: FairQueue[str] = FairQueue(10_000, 5_000)
    for place in range(10):
        fill(queue, f"backlog-{place}", 1_000 * place, 100)
    serve(queue, 37)
    fill(queue, "quiet", 20_000, 2)
    served = serve(queue, 23)
    assert served[0] == "quiet"
    # Its second item waits for its round like any other.
    assert served.index("quiet", 1) >= 9


def test_one_at_a_time_gets_no_more_rounds_than_a_backlog() -> None:
    queue: FairQueue[str] = FairQueue(10_000, 5_000)
    fill(queue, "backlog", 0, 1_000)
    served: list[str] = []
    for number in range(200):
        if "closed-loop" not in served[-1:] or not served:
            queue.push(10_000 + number, "closed-loop", "closed-loop", 1.0, 1.0)
        served += serve(queue, 1)
    assert served.count("closed-loop") <= 101


def test_returning_caller_is_told_of_no_work_ahead() -> None:
    queue: FairQueue[str] = FairQueue(10_000, 5_000)
    fill(queue, "backlog", 0, 500, cost=100.0)
    serve(queue, 10)
    assert queue.work_ahead("quiet", 1.0) == 0.0
    fill(queue, "other", 2_000, 1, cost=7.0)
    assert queue.work_ahead("quiet", 1.0) == 7.0
    assert queue.work_ahead("backlog", 1.0) > 1_000.0


def test_item_taken_back_is_not_charged() -> None:
    queue: FairQueue[str] = FairQueue(10_000, 5_000)
    fill(queue, "backlog", 0, 100)
    serve(queue, 10)
    queue.push(1_000, "quiet", "quiet", 1.0, 50.0)
    assert queue.remove(1_000) == "quiet"
    queue.push(1_001, "quiet", "quiet", 1.0, 1.0)
    assert serve(queue, 1) == ["quiet"]


def test_second_flood_does_not_push_a_quiet_caller_back() -> None:
    driver = GatewayDriver([service_pool(count=1, maximum_concurrency=1)])

    def lookup(caller: str, number: int) -> str:
        return driver.request("/shop-api/a", x_caller=caller, x_request_id=f"{caller}-{number}")

    def answer_one() -> None:
        driver.respond(driver.only_call())

    for number in range(60):
        lookup("first-flood", number)
    for number in range(30):
        lookup("quiet", number)
        answer_one()
        answer_one()
    for number in range(100):
        lookup("second-flood", number)
    quiet = lookup("quiet", 30)
    # The one in flight, a round of both floods (the second one's first item goes before it),
    # and its own.
    for _ in range(5):
        answer_one()
    assert driver.is_answered(quiet)
