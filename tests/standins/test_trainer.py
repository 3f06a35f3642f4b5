"""The trainer: publishing, pulling, what it does with late and redirected answers."""

from typing import Any

import msgspec
import pytest

from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import StartCall
from merlinstand.kernel.events import CallFailed, CallPhase
from merlinstand_lab.records.kinds import SampleRecord, StepRecord
from merlinstand_lab.standins.settings import TrainerSettings
from merlinstand_lab.standins.trainer import Trainer

from .driver import Driver

DONE = {"revision": 4, "outcome": {"outcome": "done", "revision": 4}}


SETTINGS = TrainerSettings(
    node_id="t",
    address="127.0.0.1:1",
    consumer="trainer-1",
    job="j",
    model="m",
    coordinators=("coordinator-a", "coordinator-b"),
    controls=("control-a", "control-b"),
    weight_store="store",
    step_seconds=2.0,
)


@pytest.fixture
def driver() -> Driver:
    return Driver(Trainer(SETTINGS))


def call(driver: Driver) -> StartCall:
    (only,) = driver.calls
    return only


def body(driver: Driver) -> Any:
    return msgspec.json.decode(call(driver).body)


def publish(driver: Driver) -> None:
    driver.respond(call(driver), {"digest": "d"})
    driver.respond(call(driver), DONE)


def batch(driver: Driver, number: int, nonce: str) -> dict[str, object]:
    sample = {
        "sample_id": f"j/p/{number}",
        "slot": number,
        "job": "j",
        "prompt_id": "p",
        "attempt": 0,
        "prompt": "",
        "text": "[0-4@1 r1]",
        "token_count": 4,
        "weight_versions": [[1, 0, 4]],
    }
    return {
        "job": "j",
        "consumer": "trainer-1",
        "batch": number,
        "nonce": nonce,
        "newest_version": 1,
        "samples": [sample],
    }


def test_it_publishes_pulls_trains_and_publishes_again(driver: Driver) -> None:
    assert (call(driver).address, call(driver).method) == ("store", "PUT")
    publish(driver)
    first = body(driver)
    assert (first["last_received_batch"], first["trainer_version"]) == (0, 1)
    driver.respond(call(driver), batch(driver, 1, first["nonce"]))
    (sample,) = driver.records["trainer-trainer-1"]
    assert isinstance(sample, SampleRecord)
    assert sample.produced == [("r1", 1, 0, 4)] and sample.batch == 1
    assert driver.calls == []
    driver.advance(2.0)
    (step,) = driver.records["idle-trainer-1"]
    assert isinstance(step, StepRecord)
    assert step.step_ended_at - step.received_at == 2.0
    publish(driver)
    second = body(driver)
    assert (second["last_received_batch"], second["trainer_version"]) == (1, 2)
    assert second["last_received_nonce"] == first["nonce"] != second["nonce"]
    assert len(driver.records["operators-t"]) == 2


def test_a_publication_is_resent_under_its_command_id_and_follows_the_leader(
    driver: Driver,
) -> None:
    driver.respond(call(driver), {"digest": "d"})
    command_id = body(driver)["command_id"]
    driver.send(CallFailed(CallId(driver.calls.pop().call_id), CallPhase.SENT, "timeout"))
    driver.advance(1.0)
    assert (call(driver).address, body(driver)["command_id"]) == ("control-b", command_id)
    driver.respond(call(driver), {"code": "not_leader", "leader": "control-c"}, status=421)
    assert (call(driver).address, body(driver)["command_id"]) == ("control-c", command_id)


def test_an_answer_under_an_old_nonce_is_dropped(driver: Driver) -> None:
    publish(driver)
    driver.respond(call(driver), batch(driver, 1, "another-nonce"))
    assert "trainer-trainer-1" not in driver.records
    driver.advance(1.0)
    assert body(driver)["last_received_batch"] == 0


def test_a_pull_that_was_not_answered_is_tried_elsewhere_under_a_new_nonce(
    driver: Driver,
) -> None:
    publish(driver)
    before = body(driver)["nonce"]
    driver.send(CallFailed(CallId(driver.calls.pop().call_id), CallPhase.SENT, "timeout"))
    driver.advance(1.0)
    assert call(driver).address == "coordinator-b"
    assert body(driver)["nonce"] != before


def test_a_redirect_leads_to_the_owner(driver: Driver) -> None:
    publish(driver)
    driver.respond(call(driver), {"code": "not_owner", "owner": "coordinator-c"}, status=421)
    driver.advance(0.1)
    assert call(driver).address == "coordinator-c"


def test_not_ready_is_asked_again_later(driver: Driver) -> None:
    publish(driver)
    driver.respond(call(driver), {"code": "not_ready", "retry_after_seconds": 0.5}, status=202)
    assert driver.calls == []
    driver.advance(0.6)
    assert body(driver)["last_received_batch"] == 0


def test_a_trainer_that_falls_back_loses_its_step_and_asks_for_the_older_batch(
    driver: Driver,
) -> None:
    publish(driver)
    for number in (1, 2):
        driver.respond(call(driver), batch(driver, number, body(driver)["nonce"]))
        if number == 1:
            driver.advance(2.0)
            publish(driver)
    refused = driver.response(driver.request("POST", "/lab/rewind", {"batch": 9}))
    assert refused is not None and refused.status == 400
    driver.ask("POST", "/lab/rewind", {"batch": 1})
    assert body(driver)["last_received_batch"] == 0
    assert body(driver)["last_received_nonce"] == ""
    driver.advance(10.0)
    assert len(driver.records["idle-trainer-1"]) == 1


@pytest.fixture
def moving() -> Driver:
    """A trainer that old scripts may feed too, after its first publication."""
    driver = Driver(Trainer(msgspec.structs.replace(SETTINGS, scripts="old-scripts")))
    publish(driver)
    return driver


def take_batch(driver: Driver, number: int) -> StartCall:
    """Answer the pull under way with a batch; returns the pull."""
    pull = call(driver)
    driver.respond(pull, batch(driver, number, body(driver)["nonce"]))
    return pull


def test_each_feeder_has_its_own_position_and_its_own_name_in_the_records(moving: Driver) -> None:
    assert moving.ask("POST", "/lab/feed", {"feed": "scripts"}) == {"done": True}
    former, pull = moving.calls
    moving.calls.remove(former)
    assert (former.address, pull.address) == ("coordinator-a", "old-scripts")
    for number in (1, 2):
        take_batch(moving, number)
        moving.advance(2.0)
        publish(moving)
    assert body(moving)["last_received_batch"] == 2
    moving.ask("POST", "/lab/feed", {"feed": "coordinators"})
    moving.calls.pop(0)
    assert call(moving).address == "coordinator-a"
    assert (body(moving)["last_received_batch"], body(moving)["trainer_version"]) == (0, 3)
    take_batch(moving, 1)
    moving.advance(2.0)
    publish(moving)
    moving.ask("POST", "/lab/feed", {"feed": "scripts"})
    moving.calls.pop(0)
    assert body(moving)["last_received_batch"] == 2
    steps = [
        (one.consumer, one.batch)
        for one in moving.records["idle-trainer-1"]
        if isinstance(one, StepRecord)
    ]
    assert steps == [("trainer-1@scripts", 1), ("trainer-1@scripts", 2), ("trainer-1", 1)]
    progress = moving.ask("GET", "/lab/progress")
    assert (progress["steps"], progress["steps_fed_by_scripts"]) == (3, 2)


def test_an_answer_of_the_former_feeder_is_dropped(moving: Driver) -> None:
    nonce = body(moving)["nonce"]
    former = call(moving)
    moving.ask("POST", "/lab/feed", {"feed": "scripts"})
    moving.respond(former, batch(moving, 1, nonce))
    assert "trainer-trainer-1" not in moving.records
    assert call(moving).address == "old-scripts"


def test_a_step_under_way_goes_on_when_the_feeder_changes(moving: Driver) -> None:
    take_batch(moving, 1)
    moving.ask("POST", "/lab/feed", {"feed": "scripts"})
    assert moving.calls == []
    moving.advance(2.0)
    publish(moving)
    assert call(moving).address == "old-scripts"


def test_a_feeder_that_the_settings_do_not_name_is_refused(driver: Driver) -> None:
    answer = driver.ask("POST", "/lab/feed", {"feed": "scripts"})
    assert answer["code"] == "invalid_input"
