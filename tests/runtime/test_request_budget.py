"""The budget of unfinished requests: who is refused and who is closed when room is short."""

from typing import Any

import pytest

from merlinstand.decisions.return_order import MAXIMUM_RETRY_AFTER_SECONDS, ReturnOrder
from merlinstand.runtime.connection_usage import CONNECTION_BYTES, ConnectionUsage
from merlinstand.runtime.errors import NoRoomError
from merlinstand.runtime.host_settings import HttpLimits
from merlinstand.runtime.kept_bytes import BASE_PROCESS_BYTES
from merlinstand.runtime.request_budget import (
    GRACE_SECONDS,
    Action,
    Decision,
    Reason,
    RequestBudget,
)
from merlinstand.runtime.request_limits import (
    LARGE_SHARE,
    MINIMUM_AVAILABLE_BYTES,
    SMALL_SHARE,
    UNKNOWN_MEMORY_BYTES,
    RequestLimits,
    request_limits,
)

MIB = 1024 * 1024
LARGE = 10 * MIB


class Clients:
    """Clients of a process with virtual time."""

    def __init__(self, **limits: Any) -> None:
        self.now = 0.0
        self.decisions: list[Decision] = []
        self.ended: list[str] = []
        self.with_unread: set[str] = set()
        self.budget = RequestBudget(
            RequestLimits(**limits), self.decisions.append, lambda: self.now
        )
        self.group = self.budget.add_group(32)

    def connect(self, name: str) -> ConnectionUsage:
        usage = self.budget.open_connection(
            self.group, name, lambda: self.ended.append(name), lambda: name in self.with_unread
        )
        usage.begin_request()
        return usage


def announce(usage: ConnectionUsage, size: int) -> NoRoomError | None:
    return usage.reserve_body(size, is_final=True)


@pytest.mark.parametrize(
    ("memory_bytes", "available_bytes"),
    [
        pytest.param(0, UNKNOWN_MEMORY_BYTES - BASE_PROCESS_BYTES, id="unknown"),
        pytest.param(1_000_000, MINIMUM_AVAILABLE_BYTES, id="tiny"),
        pytest.param(BASE_PROCESS_BYTES + 100_000_000, 100_000_000, id="usual"),
    ],
)
def test_limits_follow_from_the_memory(memory_bytes: int, available_bytes: int) -> None:
    limits = request_limits(HttpLimits(memory_bytes=memory_bytes))
    assert limits.small_bytes == int(SMALL_SHARE * available_bytes)
    assert limits.large_bytes == int(LARGE_SHARE * available_bytes)


def test_settings_replace_the_derived_limits() -> None:
    limits = request_limits(HttpLimits(small_request_bytes=1, large_request_bytes=2))
    assert (limits.small_bytes, limits.large_bytes) == (1, 2)


def test_single_body_is_admitted_however_large() -> None:
    clients = Clients(large_bytes=MIB, body_copies=2.0)
    usage = clients.connect("one")
    assert announce(usage, LARGE) is None
    assert usage.record_complete(LARGE) is None
    usage.end_request()
    assert clients.budget.large_bytes == 0


def test_second_body_that_does_not_fit_is_told_when_to_come_back() -> None:
    clients = Clients(large_bytes=LARGE)
    assert announce(clients.connect("first"), LARGE) is None
    error = announce(clients.connect("second"), LARGE)
    assert error is not None and error.retry_after_seconds is not None
    assert error.http_status == 503
    assert clients.ended == []
    assert clients.decisions == [Decision(Action.REFUSED, Reason.LARGE_BODIES, "second", LARGE, 0)]


def test_room_for_processing_the_largest_body_is_kept() -> None:
    clients = Clients(large_bytes=10 * MIB, body_copies=2.0)
    assert announce(clients.connect("a"), 2 * MIB) is None
    assert announce(clients.connect("b"), 2 * MIB) is None
    assert announce(clients.connect("c"), 3 * MIB) is not None
    assert announce(clients.connect("d"), 2 * MIB) is None


def test_bodies_that_stand_still_are_closed_for_one_that_moves() -> None:
    clients = Clients(large_bytes=2 * LARGE)
    for name in ("still", "steady"):
        assert announce(clients.connect(name), LARGE) is None
    steady = next(usage for usage in clients.budget._large if usage.peer == "steady")
    clients.now = GRACE_SECONDS
    steady.record_arrived(MIB)
    newcomer = clients.connect("newcomer")
    assert announce(newcomer, LARGE) is None
    assert clients.ended == ["still"]
    assert announce(clients.connect("last"), LARGE) is not None
    assert clients.ended == ["still"]


def test_slow_progress_of_a_large_body_does_not_count() -> None:
    clients = Clients(large_bytes=LARGE)
    slow = clients.connect("slow")
    assert announce(slow, LARGE) is None
    clients.now = GRACE_SECONDS
    slow.record_arrived(64)
    assert announce(clients.connect("newcomer"), LARGE) is None
    assert clients.ended == ["slow"]
    assert slow.record_complete(LARGE) is not None


def test_request_that_runs_is_never_closed() -> None:
    clients = Clients(large_bytes=LARGE, small_bytes=2 * CONNECTION_BYTES)
    running = clients.connect("running")
    assert announce(running, LARGE) is None
    assert running.record_complete(LARGE) is None
    clients.now = 100.0
    assert announce(clients.connect("newcomer"), LARGE) is not None
    clients.connect("third")
    assert clients.ended == []


def test_client_whose_bytes_wait_to_be_read_is_not_closed() -> None:
    clients = Clients(large_bytes=LARGE)
    assert announce(clients.connect("unread"), LARGE) is None
    clients.with_unread.add("unread")
    clients.now = 100.0
    assert announce(clients.connect("newcomer"), LARGE) is not None
    assert clients.ended == []


def test_of_two_growing_bodies_the_one_that_moved_more_is_completed() -> None:
    clients = Clients(large_bytes=LARGE)
    usages = [clients.connect("more"), clients.connect("less")]
    for usage, step in zip(usages, (2 * MIB, MIB), strict=True):
        assert usage.reserve_body(5 * MIB, is_final=False) is None
        usage.record_arrived(step)
    assert usages[1].reserve_body(6 * MIB, is_final=False) is not None
    assert usages[0].reserve_body(6 * MIB, is_final=False) is None
    assert clients.ended == ["less"]


def test_large_bodies_take_no_room_from_small_requests() -> None:
    clients = Clients(large_bytes=MIB, small_bytes=MIB)
    assert announce(clients.connect("large"), LARGE) is None
    assert clients.connect("small").add_small(1000) is None


def test_a_body_is_not_rejected_for_another_that_does_not_fit_anyway() -> None:
    clients = Clients(large_bytes=10 * MIB)
    running = clients.connect("running")
    assert announce(running, 6 * MIB) is None
    assert running.record_complete(6 * MIB) is None
    more, less = clients.connect("more"), clients.connect("less")
    for usage, step in ((more, 2), (less, 1)):
        assert usage.reserve_body(2 * MIB, is_final=False) is None
        usage.record_arrived(step)
    assert more.reserve_body(5 * MIB, is_final=False) is not None
    assert clients.ended == []


def test_resting_connections_are_closed_for_new_ones_longest_first() -> None:
    clients = Clients()
    for number in range(30):
        clients.now = number / 100
        clients.connect(f"{number}")
    clients.now = 5.0
    clients.connect("newcomer")
    assert clients.ended == ["0", "1"]
    assert clients.group.count == 29


def test_connections_that_were_served_stay_longer_than_silent_ones() -> None:
    clients = Clients()
    served = clients.connect("served")
    assert served.record_complete(0) is None
    served.end_request()
    clients.now = 1.0
    for number in range(29):
        clients.connect(f"{number}")
    clients.now = 2.0
    clients.connect("newcomer")
    assert clients.ended == ["0", "1"]


def test_small_requests_beyond_the_limit_are_refused_after_resting_ones_were_closed() -> None:
    clients = Clients(small_bytes=4 * CONNECTION_BYTES - 100)
    resting, running = clients.connect("resting"), clients.connect("running")
    assert running.add_small(900) is None
    assert running.record_complete(900) is None
    clients.now = 1.0
    newcomer = clients.connect("newcomer")
    assert newcomer.add_small(CONNECTION_BYTES) is None
    assert clients.ended == ["resting"]
    clients.now = 2.0
    first, second = (newcomer.add_small(CONNECTION_BYTES) for _ in range(2))
    assert first is not None and second is not None
    assert (first.retry_after_seconds or 0.0) < (second.retry_after_seconds or 0.0)
    assert resting.add_small(1) is not None
    assert clients.ended == ["resting"]


def test_nothing_is_left_over() -> None:
    clients = Clients(large_bytes=LARGE, small_bytes=MIB)
    usages = [clients.connect(f"{number}") for number in range(10)]
    for number, usage in enumerate(usages):
        usage.add_small(number)
        usage.reserve_body(MIB * (number + 1), is_final=number % 2 == 0)
        clients.now += 0.2
        usage.record_complete(MIB)
    for usage in usages:
        usage.end_request()
        usage.close()
        usage.close()
    budget = clients.budget
    assert (budget.small_bytes, budget.large_bytes, budget.connections) == (0, 0, 0)
    assert clients.group.count == 0
    assert not budget._large


def test_rejected_requests_return_one_after_the_other() -> None:
    order = ReturnOrder(0.5, 1.0)
    waits = [order.retry_after_seconds(100.0, 0.5) for _ in range(4)]
    assert waits == [0.5, 1.0, 1.5, 2.0]
    assert order.retry_after_seconds(200.0, 0.5) == 0.5
    assert max(order.retry_after_seconds(200.0, 1.0) for _ in range(50)) == (
        MAXIMUM_RETRY_AFTER_SECONDS
    )


def test_return_times_follow_the_observed_use() -> None:
    order = ReturnOrder(0.1, 1.0)
    for _ in range(100):
        order.record_use(0.1, 0.5)
    first, second = (order.retry_after_seconds(10.0, 1.0) for _ in range(2))
    assert second - first == pytest.approx(0.2, rel=0.01)
