"""Live callers: what they count as an answer, and when they try again."""

import msgspec
import pytest

from merlinstand.common.ids import CallId
from merlinstand.kernel.effects import StartCall
from merlinstand.kernel.events import (
    CallChunk,
    CallEnded,
    CallFailed,
    CallHeaders,
    CallPhase,
    CallResponded,
)
from merlinstand_lab.records.kinds import CallerOutcome, CallerRecord
from merlinstand_lab.standins.callers import Callers
from merlinstand_lab.standins.service import answer_digest
from merlinstand_lab.standins.settings import CallersSettings

from .driver import Driver


def callers(**rates: float) -> Driver:
    calm = {"lookups_per_second": 0.0, "bookings_per_second": 0.0, "completions_per_second": 0.0}
    settings = CallersSettings(
        node_id="c",
        address="127.0.0.1:1",
        gateways=("g1", "g2", "g3"),
        service="shop",
        model="m",
        **(calm | rates),  # type: ignore[arg-type]
    )
    driver = Driver(Callers(settings))
    while not driver.calls:
        driver.advance(0.5)
    return driver


def records(driver: Driver) -> list[CallerRecord]:
    return [one for one in driver.records["callers"] if isinstance(one, CallerRecord)]


def respond(
    driver: Driver,
    call: StartCall,
    status: int = 200,
    outcome: str = "answer",
    body: bytes = b"{}",
    **headers: str,
) -> None:
    driver.calls.remove(call)
    answered = {
        "x-outcome": outcome,
        "x-request-id": call.headers["x-request-id"],
        "x-answered-by": "s1",
    }
    event = CallResponded(CallId(call.call_id), status, answered | headers, body)
    driver.send(event)


def answer_for(call: StartCall, path: str) -> bytes:
    request_id = call.headers["x-request-id"]
    answer = {
        "request_id": request_id,
        "path": path,
        "digest": answer_digest(request_id, path, call.body),
        "answered_by": "s1",
    }
    return msgspec.json.encode(answer)


def test_an_own_whole_answer_is_recorded_as_such() -> None:
    driver = callers(lookups_per_second=1.0)
    call = driver.calls[0]
    respond(driver, call, body=answer_for(call, call.path.removeprefix("/shop")))
    (record,) = records(driver)
    assert record.outcome is CallerOutcome.ANSWER and record.digest_ok
    assert (record.answered_by, record.kind) == ("s1", "lookup")


@pytest.mark.parametrize("body", [b"{}", b"cut {", b'{"request_id":"other","path":"","digest":""}'])
def test_another_answer_or_a_cut_one_is_not_ok(body: bytes) -> None:
    driver = callers(lookups_per_second=1.0)
    respond(driver, driver.calls[0], body=body)
    (record,) = records(driver)
    assert record.outcome is CallerOutcome.ANSWER and not record.digest_ok


def test_a_refused_request_is_tried_at_the_next_gateway_after_the_wait() -> None:
    driver = callers(lookups_per_second=0.01)
    call = driver.calls[0]
    respond(driver, call, status=503, outcome="not_run", **{"retry-after": "0.7"})
    driver.advance(0.6)
    assert driver.calls == []
    driver.advance(0.2)
    (again,) = driver.calls
    assert again.address != call.address
    assert again.headers["x-request-id"] != call.headers["x-request-id"]
    assert [one.outcome for one in records(driver)] == [CallerOutcome.NOT_RUN]


def test_a_booking_keeps_its_key_over_attempts_and_takes_the_recorded_answer() -> None:
    driver = callers(bookings_per_second=0.01)
    first = driver.calls[0]
    assert first.fresh_connection and first.headers["x-repeatable"] == "false"
    recorded = answer_for(first, "/bookings")
    failed = CallFailed(CallId(first.call_id), CallPhase.SENT, "timeout")
    driver.calls.remove(first)
    driver.send(failed)
    driver.advance(0.5)
    again = next(
        call
        for call in driver.calls
        if call.headers["idempotency-key"] == first.headers["idempotency-key"]
    )
    respond(driver, again, body=recorded)
    last = records(driver)[-1]
    assert last.outcome is CallerOutcome.ANSWER and last.digest_ok


def test_a_gateway_that_is_not_reached_made_no_claim() -> None:
    driver = callers(lookups_per_second=1.0)
    call = driver.calls.pop(0)
    driver.send(CallFailed(CallId(call.call_id), CallPhase.CONNECT, "refused"))
    assert records(driver)[0].outcome is CallerOutcome.ERROR


def test_twins_go_through_two_gateways_under_one_key() -> None:
    driver = callers(bookings_per_second=5.0)
    driver.advance(10)
    keys: dict[str, set[str]] = {}
    for call in driver.calls:
        keys.setdefault(call.headers["idempotency-key"], set()).add(call.address)
    assert any(len(gateways) == 2 for gateways in keys.values())


def _stream(driver: Driver, call: StartCall, text: str, done: bool) -> CallerRecord:
    request_id = call.headers["x-request-id"]
    headers = {"x-outcome": "answer", "x-request-id": request_id}
    driver.send(CallHeaders(CallId(call.call_id), 200, headers))
    chunk = {"request_id": request_id, "index": 0, "token_count": 5, "text": text}
    end = {"request_id": request_id, "index": 5, "token_count": 0, "finish_reason": "stop"}
    data = b"".join(b"data: " + msgspec.json.encode(one) + b"\n\n" for one in (chunk, end))
    driver.send(CallChunk(CallId(call.call_id), data + (b"data: [DONE]\n\n" if done else b"")))
    driver.send(CallEnded(CallId(call.call_id)))
    return records(driver)[-1]


def test_a_completion_must_hold_every_token_and_the_end_mark() -> None:
    driver = callers(completions_per_second=1.0)
    driver.advance(10)
    whole, gap, cut = driver.calls[:3]
    assert whole.stream
    assert _stream(driver, whole, "[0-5@1 r]", done=True).digest_ok
    assert not _stream(driver, gap, "[1-5@1 r]", done=True).digest_ok
    assert not _stream(driver, cut, "[0-5@1 r]", done=False).digest_ok
