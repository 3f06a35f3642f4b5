"""Recovery after restarts, limits on memory and journal, scoring, and planned stops."""

import json

from merlinstand.kernel.events import CallFailed, CallPhase, CallResponded
from tests.coordinator.driver import CoordinatorDriver, make_job
from tests.coordinator.names import JOB
from tests.coordinator.scripted_control import Control


def test_samples_survive_a_restart_and_are_not_generated_again() -> None:
    control = Control(make_job())
    first = CoordinatorDriver(control=control)
    first.generate()
    records = list(first.journal)
    second = CoordinatorDriver(control=control, run="coordinator-1/b", journal=records)
    name = second.ask(0, "n1")
    second.settle()
    assert second.batch_of(name)["batch"] == 1
    assert second.streams == {}


def test_samples_of_a_lost_journal_are_generated_again() -> None:
    control = Control(make_job())
    first = CoordinatorDriver(control=control)
    first.generate()
    second = CoordinatorDriver(control=control, run="coordinator-1/b")
    name = second.ask(0, "n1")
    second.settle()
    assert second.answer_to(name) is None
    second.generate()
    assert second.batch_of(name)["batch"] == 1


def test_recovered_samples_of_delivered_slots_are_dropped() -> None:
    control = Control(make_job())
    first = CoordinatorDriver(control=control)
    first.generate()
    one = first.ask(0, "n1")
    first.settle()
    records = list(first.journal)
    first.generate()
    first.ask(1, "n2", last_nonce="n1")
    first.settle()
    second = CoordinatorDriver(control=control, run="coordinator-1/b", journal=records)
    three = second.ask(2, "n3", last_nonce="n2")
    second.generate()
    before = {s["sample_id"] for s in first.batch_of(one)["samples"]}
    assert before.isdisjoint({s["sample_id"] for s in second.batch_of(three)["samples"]})


def test_the_journal_is_compacted_and_keeps_live_samples() -> None:
    driver = CoordinatorDriver(maximum_journal_records=12)
    last = ""
    for batch in range(8):
        name = driver.ask(batch, f"n{batch}", last_nonce=last)
        driver.generate()
        assert driver.batch_of(name)["batch"] == batch + 1
        last = f"n{batch}"
    assert driver.snapshot is not None
    assert len(driver.journal) <= 12 + 2
    assert b"session-record" in driver.journal
    restarted = CoordinatorDriver(
        control=driver.control,
        run="coordinator-1/b",
        journal=driver.journal,
        snapshot=driver.snapshot,
    )
    name = restarted.ask(8, "n8", last_nonce=last)
    restarted.generate()
    assert restarted.batch_of(name)["batch"] == 9


def test_memory_of_slots_and_samples_stays_bounded() -> None:
    driver = CoordinatorDriver()
    last = ""
    for batch in range(30):
        name = driver.ask(batch, f"n{batch}", last_nonce=last)
        driver.generate(3)
        assert driver.batch_of(name)["batch"] == batch + 1
        last = f"n{batch}"
    runner = driver.daemon._work.runner(JOB)
    assert runner is not None
    kept = len(runner._store.samples)
    assert kept <= 3 * driver.control.job.batch_size
    body = json.loads(driver.responses[driver.post("/v1/jobs", b"", "GET")].body)
    # The delivered batch is kept until it is acknowledged, but no longer waits for a batch.
    assert body["jobs"][0]["ready_samples"] == kept - driver.control.job.batch_size
    assert driver.control.ledger.used.slots_above_contiguous() == ()


def test_a_planned_stop_finishes_streams_and_releases_the_leases() -> None:
    driver = CoordinatorDriver()
    driver.tick()
    streams = driver.open_streams()
    driver.stop()
    driver.tick()
    assert not driver.session.stopped
    assert driver.open_streams() == streams, "no stream is cut or started"
    driver.complete_all(1)
    driver.tick()
    driver.tick()
    assert driver.session.stopped
    assert driver.exit_code == 0


def test_a_planned_stop_ends_after_the_drain_timeout() -> None:
    driver = CoordinatorDriver()
    driver.tick()
    driver.stop()
    driver.tick(25.0)
    driver.tick()
    assert driver.session.stopped
    assert driver.exit_code == 0


def _score_calls(driver: CoordinatorDriver) -> list[str]:
    return [call.call_id for call in driver.calls if call.path == "/v1/score"]


def test_samples_are_scored() -> None:
    driver = CoordinatorDriver(make_job(scorer="10.0.8.1:80"))
    driver.tick()
    driver.complete_all(1)
    assert driver.journal == []
    for call_id in _score_calls(driver):
        driver.send(CallResponded(call_id, 200, {}, b'{"score": 0.25}'))  # type: ignore[arg-type]
    name = driver.ask(0, "n1")
    driver.settle()
    assert {s["score"] for s in driver.batch_of(name)["samples"]} == {0.25}


def test_a_slow_scorer_delays_a_sample_only_for_a_bounded_time() -> None:
    driver = CoordinatorDriver(make_job(scorer="10.0.8.1:80"))
    driver.tick()
    driver.complete_all(1)
    name = driver.ask(0, "n1")
    driver.tick(4.0)
    assert driver.answer_to(name) is None
    driver.tick(1.5)
    driver.settle()
    name = driver.ask(0, "n2")
    driver.settle()
    assert {s["score"] for s in driver.batch_of(name)["samples"]} == {None}


def test_a_failed_scorer_delays_no_sample_for_long() -> None:
    driver = CoordinatorDriver(make_job(scorer="10.0.8.1:80"))
    driver.tick()
    driver.complete_all(1)
    failed: set[str] = set()
    for _ in range(4):
        for call_id in _score_calls(driver):
            if call_id not in failed:
                failed.add(call_id)
                event = CallFailed(call_id, CallPhase.CONNECT, "refused")  # type: ignore[arg-type]
                driver.send(event)
        driver.tick(0.3)
    name = driver.ask(0, "n1")
    driver.settle()
    assert {s["score"] for s in driver.batch_of(name)["samples"]} == {None}


def test_unknown_job_and_bad_bodies_get_typed_errors() -> None:
    driver = CoordinatorDriver()
    good = b'{"consumer": "a", "last_received_batch": 0, "trainer_version": 0, "nonce": "n"}'
    cases = {
        driver.post("/v1/jobs/nobody/batches", good): (404, "unknown_job"),
        driver.post(f"/v1/jobs/{JOB}/batches", good): (404, "unknown_consumer"),
        driver.post(f"/v1/jobs/{JOB}/batches", b"{"): (400, "invalid_input"),
        driver.post(f"/v1/jobs/{JOB}/batches", b"\xff\xfe"): (400, "invalid_input"),
        driver.post(f"/v1/jobs/{JOB}/batches", good, "GET"): (405, "method_not_allowed"),
        driver.post("/elsewhere", b""): (404, "not_found"),
        driver.post(f"/v1/jobs/{JOB}/batches", good.replace(b"0,", b"-1,", 1)): (
            400,
            "invalid_input",
        ),
    }
    for name, (status, code) in cases.items():
        answer = driver.answer_to(name)
        assert answer is not None
        assert (answer[0], answer[1]["code"]) == (status, code)
