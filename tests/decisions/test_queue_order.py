"""Fair queue: order, shares, new and idle callers, eviction."""

from hypothesis import given, settings
from hypothesis import strategies as st

from merlinstand.decisions.queue_order import FairQueue


def serve(queue: FairQueue[str], count: int) -> list[str]:
    """Peek and pop items, as the gateway does."""
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


def test_new_caller_gets_its_share_beside_a_long_backlog() -> None:
    queue: FairQueue[str] = FairQueue(10_000, 5_000)
    fill(queue, "old", 0, 1_000)
    serve(queue, 500)
    fill(queue, "new", 2_000, 500)
    assert 19 <= serve(queue, 40).count("new") <= 21


def test_idle_caller_precedes_every_backlog_with_one_item() -> None:
    queue: FairQueue[str] = FairQueue(10_000, 5_000)
    for place in range(10):
        fill(queue, f"backlog-{place}", 1_000 * place, 100)
    serve(queue, 37)
    fill(queue, "quiet", 20_000, 2)
    served = serve(queue, 23)
    assert served[0] == "quiet"
    # Its second item waits for its round like any other.
    assert served.index("quiet", 1) >= 9


def test_sending_one_at_a_time_gains_no_rounds() -> None:
    queue: FairQueue[str] = FairQueue(10_000, 5_000)
    fill(queue, "backlog", 0, 1_000)
    served: list[str] = []
    for number in range(200):
        if "closed-loop" not in served[-1:] or not served:
            queue.push(10_000 + number, "closed-loop", "closed-loop", 1.0, 1.0)
        served += serve(queue, 1)
    assert served.count("closed-loop") <= 101


def test_cost_ahead_of_an_idle_caller_excludes_backlogs() -> None:
    queue: FairQueue[str] = FairQueue(10_000, 5_000)
    fill(queue, "backlog", 0, 500, cost=100.0)
    serve(queue, 10)
    assert queue.cost_ahead("quiet", 1.0) == 0.0
    fill(queue, "other", 2_000, 1, cost=7.0)
    assert queue.cost_ahead("quiet", 1.0) == 7.0
    assert queue.cost_ahead("backlog", 1.0) > 1_000.0


def test_removed_item_is_not_charged() -> None:
    queue: FairQueue[str] = FairQueue(10_000, 5_000)
    fill(queue, "backlog", 0, 100)
    serve(queue, 10)
    queue.push(1_000, "quiet", "quiet", 1.0, 50.0)
    assert queue.remove(1_000) == "quiet"
    queue.push(1_001, "quiet", "quiet", 1.0, 1.0)
    assert serve(queue, 1) == ["quiet"]


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    pushes=st.lists(
        st.tuples(st.integers(0, 3), st.integers(1, 20), st.booleans()), min_size=1, max_size=80
    )
)
def test_queue_keeps_each_callers_order_and_loses_nothing(
    pushes: list[tuple[int, int, bool]],
) -> None:
    queue: FairQueue[int] = FairQueue(20, 10)
    waiting: set[int] = set()
    popped: list[int] = []
    callers = {}
    for number, (caller, cost, pop_one) in enumerate(pushes):
        accepted, evicted = queue.push(number, number, f"c{caller}", 1.0, float(cost))
        callers[number] = caller
        if accepted:
            waiting.add(number)
        if evicted is not None:
            waiting.remove(evicted)
        if pop_one:
            item = queue.pop()
            if item is not None:
                waiting.remove(item)
                popped.append(item)
        assert len(queue) == len(waiting) <= 20
    while (item := queue.pop()) is not None:
        waiting.remove(item)
        popped.append(item)
    assert not waiting
    assert queue.queued_cost == 0.0
    for caller in range(4):
        own = [number for number in popped if callers[number] == caller]
        assert own == sorted(own)


def test_queue_shares_cost_by_weight() -> None:
    queue: FairQueue[str] = FairQueue(1000, 500)
    for number in range(300):
        queue.push(number, "heavy", "heavy", 1.0, 10.0)
        queue.push(1000 + number, "light", "light", 2.0, 1.0)
    served = [queue.pop() for _ in range(210)]
    # Weight 2 and a tenth of the cost: twenty light items for each heavy one.
    assert served.count("light") == 200


def test_idle_caller_gains_no_credit() -> None:
    queue: FairQueue[str] = FairQueue(1000, 500)
    for number in range(100):
        queue.push(number, "busy", "busy", 1.0, 1.0)
    for _ in range(50):
        queue.pop()
    for number in range(200, 250):
        queue.push(number, "late", "late", 1.0, 1.0)
    served = [queue.pop() for _ in range(40)]
    assert 19 <= served.count("late") <= 21
