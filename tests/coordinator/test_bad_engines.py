"""Invalid responses of one engine affect only its own streams."""

import json

import pytest

from merlinstand.kernel.events import CallChunk, CallHeaders
from tests.coordinator.driver import CoordinatorDriver, engine_pool

HUGE = 10**400


@pytest.mark.parametrize("field", ["index", "token_count", "weight_version"])
@pytest.mark.parametrize("value", [HUGE, 2**64, -1], ids=["huge", "beyond-64-bits", "negative"])
def test_a_chunk_with_an_impossible_integer_is_malformed(field: str, value: int) -> None:
    driver = CoordinatorDriver()
    driver.tick()
    stream = driver.open_streams()[0]
    body = {
        "request_id": stream.request_id,
        "index": 0,
        "token_count": 5,
        "weight_version": 1,
        "text": "[0-5@1]",
        "finish_reason": None,
        field: value,
    }
    stream.ended = True
    driver.send(CallChunk(stream.call_id, b"data: " + json.dumps(body).encode() + b"\n\n"))
    driver.tick()
    assert stream.request_id in driver.cancelled_requests
    name = driver.ask(0, "n1")
    driver.generate()
    assert len(driver.batch_of(name)["samples"]) == 4


@pytest.mark.parametrize("retry_after", ["nan", "inf", "-1", "soon"])
def test_a_refusal_with_an_invalid_retry_after_still_backs_off(
    retry_after: str,
) -> None:
    driver = CoordinatorDriver(pool=engine_pool(1))
    driver.tick()
    for stream in driver.open_streams():
        driver.send(CallHeaders(stream.call_id, 503, {"retry-after": retry_after}))
    driver.tick(0.05)
    assert driver.open_streams() == []
    for _ in range(6):
        driver.tick(1.0)
    assert driver.open_streams()


def test_an_incarnation_uses_all_64_bits() -> None:
    driver = CoordinatorDriver()
    driver.serve("engine-0", 1, incarnation=2**64 - 1)
    driver.serve("engine-1", 1, incarnation=2**63)
    name = driver.ask(0, "n1")
    driver.generate()
    assert len(driver.batch_of(name)["samples"]) == 4


@pytest.mark.parametrize("field", ["active_version", "running", "queued", "incarnation"])
def test_a_status_with_an_impossible_integer_is_ignored(field: str) -> None:
    driver = CoordinatorDriver()
    driver.serve("engine-0", 1, **{field: HUGE})
    for _ in range(6):
        driver.tick(1.0)
    name = driver.ask(0, "n1")
    driver.generate()
    assert len(driver.batch_of(name)["samples"]) == 4
