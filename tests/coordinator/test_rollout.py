"""Weight rollouts: loads before swaps, swaps in waves, recovery from failures, and fencing."""

import json
from typing import Any

from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded
from tests.coordinator.driver import CoordinatorDriver, engine_pool


class RolloutDriver(CoordinatorDriver):
    """A coordinator with the lease of the engines, but not of the job."""

    def __init__(self, engines: int = 4, epoch: int = 3) -> None:
        super().__init__(pool=engine_pool(engines), lead=False)
        self.lead_engines(epoch)
        self.tick()
        self.answered: set[str] = set()

    def pending(self, kind: str) -> list[tuple[str, dict[str, Any]]]:
        """Return the orders of a kind that got no response yet."""
        return [
            (call_id, order)
            for call_id, order in self.orders
            if call_id not in self.answered and order["kind"] == kind
        ]

    def answer(self, call_id: str, order: dict[str, Any], state: str) -> None:
        """Respond to an order."""
        self.answered.add(call_id)
        body = json.dumps({"fence": order["fence"], "state": state}).encode()
        self.send(CallResponded(call_id, 200, {}, body))  # type: ignore[arg-type]

    def finish(self, kind: str, state: str = "done") -> int:
        """Respond to all pending orders of a kind; return their number."""
        pending = self.pending(kind)
        for call_id, order in pending:
            self.answer(call_id, order, state)
        return len(pending)

    def address_of(self, call_id: str) -> str:
        return next(call.address for call in self.calls if call.call_id == call_id)


def test_engines_load_before_they_swap_and_swap_in_waves() -> None:
    driver = RolloutDriver(engines=4)
    driver.publish(2)
    driver.tick()
    assert len(driver.pending("load")) == 4
    assert driver.pending("activate") == []
    driver.finish("load")
    driver.tick()
    assert len(driver.pending("activate")) == 2, "half of four serving engines"
    driver.finish("activate")
    driver.tick()
    assert len(driver.pending("activate")) == 2
    driver.finish("activate")
    driver.serve_all(2)
    driver.tick()
    driver.tick()
    assert driver.pending("activate") == []
    assert driver.pending("load") == []


def test_engines_without_weights_do_not_wait_for_a_wave() -> None:
    driver = RolloutDriver(engines=4)
    for backend in driver.pool.backends:
        driver.serve(backend.backend_id, 0)
    driver.publish(2)
    driver.tick()
    driver.finish("load")
    driver.tick()
    assert len(driver.pending("activate")) == 4


def test_an_order_without_response_is_resent_with_the_same_fence() -> None:
    driver = RolloutDriver(engines=1)
    driver.publish(2)
    driver.tick()
    ((call_id, order),) = driver.pending("load")
    driver.answered.add(call_id)
    driver.send(CallFailed(call_id, CallPhase.SENT, "timeout"))  # type: ignore[arg-type]
    driver.tick()
    ((_retry_or_discard, repeated),) = driver.pending("load")
    assert repeated == order


def test_a_failed_swap_is_followed_by_a_load_and_a_swap_with_newer_fences() -> None:
    driver = RolloutDriver(engines=1)
    driver.publish(2)
    driver.tick()
    driver.finish("load")
    driver.tick()
    ((_, failed),) = driver.pending("activate")
    driver.serve("engine-0", 1, state="failed", loaded=[{"version": 2, "digest": "digest-2"}])
    driver.finish("activate", "failed")
    driver.tick(1.0)
    assert driver.pending("activate") == [], "in quarantine until it has loaded again"
    ((_, load),) = driver.pending("load")
    assert load["fence"]["sequence"] > failed["fence"]["sequence"]
    driver.finish("load")
    driver.tick()
    ((_, swap),) = driver.pending("activate")
    assert swap["fence"]["sequence"] > load["fence"]["sequence"]


def test_a_swap_without_result_puts_the_engine_in_quarantine() -> None:
    driver = RolloutDriver(engines=1)
    driver.publish(2)
    driver.tick()
    driver.finish("load")
    driver.tick()
    ((call_id, _),) = driver.pending("activate")
    driver.answered.add(call_id)
    driver.send(CallFailed(call_id, CallPhase.SENT, "timeout"))  # type: ignore[arg-type]
    for call_id, _ in driver.pending("activate"):
        driver.answered.add(call_id)
        driver.send(CallFailed(call_id, CallPhase.SENT, "timeout"))  # type: ignore[arg-type]
    driver.tick(11.0)
    driver.tick(2.0)
    assert driver.pending("load"), "loads again before it may swap"


def test_a_restarted_engine_is_loaded_again() -> None:
    driver = RolloutDriver(engines=1)
    driver.serve("engine-0", 0, incarnation=2, loaded=[])
    driver.tick()
    driver.tick()
    ((_, order),) = driver.pending("load")
    assert (order["version"], order["digest"]) == (1, "digest-1")


def test_a_fence_of_a_newer_lease_holder_stops_orders() -> None:
    driver = RolloutDriver(engines=1, epoch=3)
    driver.publish(2)
    driver.tick()
    ((call_id, _),) = driver.pending("load")
    driver.answered.add(call_id)
    body = b'{"code": "fenced", "fence": {"epoch": 4, "sequence": 1}}'
    driver.send(CallResponded(call_id, 409, {}, body))  # type: ignore[arg-type]
    driver.tick()
    driver.tick()
    assert driver.pending("load") == []


def test_no_orders_are_sent_after_the_lease_is_lost() -> None:
    driver = RolloutDriver(engines=2)
    driver.publish(2)
    driver.lose_lease("engines/blurb-llm")
    driver.orders.clear()
    driver.tick()
    driver.tick()
    assert driver.orders == []


def test_each_failed_load_halves_the_parallel_loads() -> None:
    driver = RolloutDriver(engines=8)
    driver.publish(2)
    driver.tick()
    assert driver.finish("load", "failed") == 8
    driver.tick(2.0)
    assert len(driver.pending("load")) == 1, "8 halved by each of 8 failures"


def test_a_loaded_version_is_activated_even_if_a_newer_one_is_published() -> None:
    driver = RolloutDriver(engines=1)
    driver.publish(2)
    driver.tick()
    driver.publish(3)
    driver.finish("load")
    driver.tick()
    ((_, order),) = driver.pending("activate")
    assert order["version"] == 2
    driver.finish("activate")
    driver.tick()
    ((_, following),) = driver.pending("load")
    assert following["version"] == 3


def test_an_outdated_report_does_not_override_a_confirmed_swap() -> None:
    driver = RolloutDriver(engines=1)
    driver.publish(2)
    driver.tick()
    driver.finish("load")
    driver.tick()
    driver.finish("activate")
    driver.tick()  # The report still shows version 1.
    driver.tick()
    assert driver.pending("load") == []
    assert driver.pending("activate") == []
