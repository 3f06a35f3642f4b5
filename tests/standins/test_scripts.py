"""The old scripts: names of their own beside merlinstand, and engines taken back by fences."""

import msgspec
import pytest

from merlinstand.kernel.effects import StartCall
from merlinstand_lab.standins.scripts import Scripts
from merlinstand_lab.standins.settings import ScriptsSettings

from .driver import Driver

JOB = "blurbs"
SETTINGS = ScriptsSettings(
    node_id="scripts",
    address="127.0.0.1:1",
    job=JOB,
    model="m",
    engines=("engine-a",),
    weight_store="store",
    batch_size=2,
    prompts=("p",),
    maximum_tokens=9,
    sample_prefix="scripts/",
)


@pytest.fixture
def driver() -> Driver:
    return Driver(Scripts(SETTINGS))


def pull(driver: Driver, last_batch: int, version: int) -> str:
    body = {
        "consumer": "trainer-1",
        "last_received_batch": last_batch,
        "trainer_version": version,
        "nonce": "n",
    }
    return driver.request("POST", f"/v1/jobs/{JOB}/batches", body)


def order(driver: Driver) -> StartCall:
    """The order under way."""
    (only,) = [call for call in driver.calls if call.path == "/v1/orders"]
    return only


def fence(call: StartCall) -> tuple[int, int]:
    seen = msgspec.json.decode(call.body)["fence"]
    return seen["epoch"], seen["sequence"]


def swap(driver: Driver) -> None:
    """Let the engine load and activate what it is told to."""
    (ask,) = [call for call in driver.calls if call.path.startswith("/v1/weights/")]
    driver.respond(ask, {"digest": "d"})
    for _ in ("load", "activate"):
        call = order(driver)
        driver.respond(call, {"fence": msgspec.json.decode(call.body)["fence"], "state": "done"})


def generate(driver: Driver) -> list[str]:
    """Complete every generation; returns their request ids."""
    names = []
    for call in list(driver.calls):
        assert call.path == "/v1/completions"
        name = msgspec.json.decode(call.body)["request_id"]
        names.append(name)
        answer = {
            "request_id": name,
            "text": "[0-4@1 r]",
            "token_count": 4,
            "spans": [[1, 0, 4]],
            "finish_reason": "stop",
        }
        driver.respond(call, answer)
    return names


def test_a_batch_is_whole_and_its_names_are_the_scripts_own(driver: Driver) -> None:
    assert driver.answer(pull(driver, 0, 1))["code"] == "not_ready"
    swap(driver)
    assert generate(driver) == ["scripts/blurbs/0/0~1", "scripts/blurbs/1/0~2"]
    samples = driver.answer(pull(driver, 0, 1))["samples"]
    assert [one["sample_id"] for one in samples] == ["scripts/blurbs/0/0", "scripts/blurbs/1/0"]
    assert {one["slot"] for one in samples} == {-1}, "the ledger's slots are merlinstand's"


def test_engines_that_somebody_else_ordered_are_taken_back_above_the_fence(driver: Driver) -> None:
    pull(driver, 0, 1)
    (ask,) = driver.calls
    driver.respond(ask, {"digest": "d"})
    refused = order(driver)
    assert fence(refused) == (1, 1)
    seen = {"epoch": 40, "sequence": 7}
    driver.respond(refused, {"fence": seen, "code": "fenced", "detail": ""}, status=409)
    driver.advance(1.0)
    assert fence(order(driver)) == (40, 8)


def test_samples_begun_for_an_older_version_are_not_handed_out(driver: Driver) -> None:
    pull(driver, 0, 1)
    swap(driver)
    generate(driver)
    # Merlinstand fed the trainer meanwhile; it comes back for the same batch, eight versions on.
    assert driver.answer(pull(driver, 0, 9))["code"] == "not_ready"
    swap(driver)
    assert generate(driver) == ["scripts/blurbs/2/0~3", "scripts/blurbs/3/0~4"]
    assert driver.answer(pull(driver, 0, 9))["newest_version"] == 9


def test_a_swap_that_nobody_waits_for_sends_no_more_orders(driver: Driver) -> None:
    pull(driver, 0, 1)
    (ask,) = driver.calls
    driver.respond(ask, {"digest": "d"})
    in_progress = {"fence": {"epoch": 1, "sequence": 1}, "state": "in_progress"}
    driver.respond(order(driver), in_progress)
    # The trainer is fed by merlinstand now, which orders the engines.
    driver.advance(1.0)
    driver.respond(order(driver), in_progress)
    driver.advance(5.0)
    for call in list(driver.calls):
        driver.respond(call, in_progress)
    driver.advance(5.0)
    assert driver.calls == []
    pull(driver, 0, 1)
    assert [call.path for call in driver.calls] == ["/v1/weights/m/1"], "and begins again later"
