"""Invalid input from trainers, engines and scorers gets typed errors; the process continues."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from merlinstand.kernel.effects import StartCall
from merlinstand.kernel.events import CallChunk, CallEnded, CallResponded, Event
from tests.coordinator.driver import CoordinatorDriver
from tests.coordinator.names import JOB

DEEP = b'{"a":' * 5000 + b"1" + b"}" * 5000
"""Nested more deeply than the decoder allows."""
GOOD = {"consumer": "trainer", "last_received_batch": 0, "trainer_version": 0, "nonce": "n"}

_VALUES = (
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=10)
    | st.lists(st.integers(), max_size=2)
)
_BODIES = (
    st.binary(max_size=60)
    | st.just(DEEP)
    | st.just(b'{"consumer":"\xff"}')
    | st.tuples(st.sampled_from([*GOOD, "else"]), _VALUES).map(
        lambda changed: json.dumps({**GOOD, changed[0]: changed[1]}).encode()
    )
)
_PATHS = st.sampled_from(
    [f"/v1/jobs/{JOB}/batches", "/v1/jobs/%ff/batches", "/v1/jobs//batches", "//[", "/", "", "?"]
) | st.text(max_size=20)


@given(path=_PATHS, method=st.sampled_from(["POST", "GET", "", "\u010d"]), body=_BODIES)
def test_any_request_of_a_trainer_is_survived_and_errors_are_typed(
    path: str, method: str, body: bytes
) -> None:
    driver = CoordinatorDriver()
    name = driver.post(path, body, method)
    answer = driver.answer_to(name)
    if answer is not None and answer[0] >= 400:
        assert answer[1]["code"] and answer[1]["detail"]
    driver.generate()
    asked = driver.ask(0, "good")
    driver.settle()
    assert driver.batch_of(asked)["batch"] == 1


@pytest.mark.parametrize("body", [DEEP, b'{"a":' + DEEP + b"}", b"[" * 5000])
def test_deeply_nested_bodies_are_refused(body: bytes) -> None:
    driver = CoordinatorDriver()
    answer = driver.answer_to(driver.post(f"/v1/jobs/{JOB}/batches", body))
    assert answer is not None
    assert (answer[0], answer[1]["code"]) == (400, "invalid_input")


@given(data=st.binary(max_size=60) | st.just(b'{"a":"\xff"}') | st.just(b'{"a":' + DEEP + b"}"))
def test_any_data_of_an_engine_affects_only_its_own_stream(data: bytes) -> None:
    driver = CoordinatorDriver()
    driver.tick()
    stream = driver.open_streams()[0]
    driver.accept(stream)
    driver.send(CallChunk(stream.call_id, b"data: " + data + b"\n\n"))
    stream.ended = True
    if stream.call_id in driver.streams:
        driver.send(CallEnded(stream.call_id))
    driver.generate()
    name = driver.ask(0, "n1")
    driver.settle()
    assert driver.batch_of(name)["batch"] == 1


class BadAnswers(CoordinatorDriver):
    """Responds to every call but a completion with the same invalid body."""

    bad_body = b""

    def _call(self, call: StartCall) -> list[Event]:
        super()._call(call)
        if call.path == "/v1/completions":
            return []
        return [CallResponded(call.call_id, 200, {}, self.bad_body)]


@given(body=st.binary(max_size=60) | st.just(b'{"a":' + DEEP + b"}"))
def test_any_response_to_a_call_is_survived(body: bytes) -> None:
    driver = CoordinatorDriver()
    driver.tick()
    for stream in driver.open_streams():
        driver.chunk(stream, 3, 1)
    driver.__class__ = BadAnswers
    driver.bad_body = body
    driver.publish(2)
    for _ in range(6):
        driver.tick()
    assert driver.exit_code is None
    assert driver.calls
