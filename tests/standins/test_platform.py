"""Service, weight store, scorer and machine list."""

from merlinstand.kernel.effects import StopProcess
from merlinstand.kernel.events import StopRequested
from merlinstand_lab.standins.machine_list import MachineList
from merlinstand_lab.standins.scorer import Scorer
from merlinstand_lab.standins.service import ServiceServer, answer_digest
from merlinstand_lab.standins.settings import (
    MachineEntry,
    MachineListSettings,
    ScorerSettings,
    ServiceSettings,
    WeightStoreSettings,
)
from merlinstand_lab.standins.weight_store import WeightStore

from .driver import Driver

ADDRESS = "127.0.0.1:1"


def service(**changes: object) -> Driver:
    settings = ServiceSettings(node_id="s1", address=ADDRESS, service="shop", **changes)  # type: ignore[arg-type]
    return Driver(ServiceServer(settings))


def test_a_service_answers_with_a_digest_of_the_request_and_records_the_run() -> None:
    driver = service()
    headers = {"x-request-id": "r", "idempotency-key": "k", "x-repeatable": "false"}
    name = driver.request("POST", "/bookings?x=1", b"body", headers)
    assert driver.response(name) is None
    driver.advance(5)
    assert driver.answer(name)["digest"] == answer_digest("r", "/bookings?x=1", b"body")
    (run,) = driver.records["service-s1"]
    assert (run.request_id, run.idempotency_key, run.repeatable) == ("r", "k", False)  # type: ignore[attr-defined]
    assert len(driver.records["started-s1"]) == 1


def test_a_full_service_refuses_before_running() -> None:
    driver = service(maximum_concurrency=1)
    driver.request("GET", "/a")
    refused = driver.response(driver.request("GET", "/b"))
    assert refused is not None and refused.headers["x-not-run"] == "true"
    assert len(driver.records["started-s1"]) == 1


def test_a_leaving_service_says_so_and_a_stopping_one_finishes_first() -> None:
    driver = service()
    driver.ask("POST", "/lab/leave", {"leaving": True})
    assert driver.ask("GET", "/v1/status")["state"] == "leaving"
    name = driver.request("GET", "/a")
    driver.send(StopRequested())
    assert driver.others == []
    driver.advance(5)
    assert driver.response(name) is not None
    assert isinstance(driver.others[-1], StopProcess)


def test_a_crash_breaks_running_requests() -> None:
    driver = service()
    name = driver.request("POST", "/bookings", b"", {"x-request-id": "r", "idempotency-key": "k"})
    driver.ask("POST", "/lab/faults", {"kind": "crash"})
    assert driver.ended_whole(name) is False
    (run,) = driver.records["service-s1"]
    assert (run.request_id, run.idempotency_key) == ("r", "k"), "it ran, whoever heard of it"  # type: ignore[attr-defined]
    refused = driver.response(driver.request("GET", "/b"))
    assert refused is not None and refused.status == 503
    driver.advance(60)
    assert len(driver.records["service-s1"]) == 1


def test_the_store_keeps_versions_and_limits_transfers() -> None:
    settings = WeightStoreSettings(
        node_id="w", address=ADDRESS, bytes_per_second=100.0, maximum_transfers=2
    )
    driver = Driver(WeightStore(settings))
    put = driver.ask("PUT", "/v1/weights/m/1", {"size_bytes": 100})
    assert driver.ask("PUT", "/v1/weights/m/1", {"size_bytes": 999}) == put
    assert len(driver.records["store"]) == 1
    first = driver.ask("GET", "/v1/weights/m/1")
    second = driver.ask("GET", "/v1/weights/m/1")
    assert (first["digest"], first["transfer_seconds"]) == (put["digest"], 1.0)
    assert second["transfer_seconds"] == 2.0
    third = driver.response(driver.request("GET", "/v1/weights/m/1"))
    assert third is not None and third.status == 429 and float(third.headers["retry-after"]) > 0
    driver.advance(3)
    assert driver.ask("GET", "/v1/weights/m/1")["transfer_seconds"] == 1.0
    missing = driver.response(driver.request("GET", "/v1/weights/m/2"))
    assert missing is not None and missing.status == 404


def test_the_scorer_is_steady_and_can_be_slow_or_dead() -> None:
    driver = Driver(Scorer(ScorerSettings(node_id="c", address=ADDRESS)))
    body = {"sample_id": "s", "prompt": "p", "text": "t"}
    first = driver.request("POST", "/v1/score", body)
    driver.advance(1)
    second = driver.request("POST", "/v1/score", body)
    driver.advance(1)
    assert driver.answer(first) == driver.answer(second)
    driver.ask("POST", "/lab/faults", {"kind": "slow", "duration_seconds": 2.0})
    slow = driver.request("POST", "/v1/score", body)
    driver.advance(4)
    assert driver.response(slow) is None
    driver.advance(2)
    assert driver.response(slow) is not None
    driver.ask("POST", "/lab/faults", {"kind": "dead"})
    dead = driver.request("POST", "/v1/score", body)
    driver.advance(100)
    assert driver.response(dead) is None
    driver.ask("POST", "/lab/faults", {"kind": "heal"})
    healed = driver.request("POST", "/v1/score", body)
    driver.advance(1)
    assert driver.response(healed) is not None


def test_the_machine_list_lags() -> None:
    machines = (MachineEntry(address="a"), MachineEntry(address="b"))
    settings = MachineListSettings(node_id="l", address=ADDRESS, lag_seconds=3.0, machines=machines)
    driver = Driver(MachineList(settings))

    def states() -> dict[str, str]:
        listed = driver.ask("GET", "/v1/machines")["machines"]
        return {machine["address"]: machine["state"] for machine in listed}

    driver.ask("POST", "/lab/leave", {"address": "b"})
    driver.advance(2.9)
    assert states() == {"a": "live", "b": "live"}
    driver.advance(0.2)
    assert states() == {"a": "live", "b": "leaving"}
    assert len(driver.records["machines"]) == 1
    unknown = driver.response(driver.request("POST", "/lab/leave", {"address": "z"}))
    assert unknown is not None and unknown.status == 400
