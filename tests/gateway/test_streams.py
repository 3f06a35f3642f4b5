"""Generations: complete or visibly truncated streams, resumed without lost or repeated tokens."""

import msgspec
import pytest

from merlinstand.kernel.events import CallPhase
from tests.gateway.driver import GatewayDriver, engine_pool, last_event, token_event

DONE = b"data: [DONE]\n\n"


def test_complete_stream_is_relayed_byte_for_byte() -> None:
    driver = GatewayDriver([engine_pool()])
    endpoint_id = driver.complete(x_request_id="r")
    call = driver.only_call()
    body = msgspec.json.decode(call.body)
    assert body["request_id"] == "r"
    assert body["resume"] is None
    driver.open_stream(call)
    assert driver.stream_started(endpoint_id)
    first = driver.tokens(call, 0, 3)
    second = driver.tokens(call, 3, 2, version=2)
    end = driver.finish_stream(call, [(1, 0, 3), (2, 3, 5)])
    assert driver.streamed(endpoint_id) == (first + second + end + DONE, True)
    assert driver.gateway.in_flight == 0


@pytest.mark.parametrize("cut", range(1, 40, 7))
def test_chunk_boundaries_do_not_matter(cut: int) -> None:
    driver = GatewayDriver([engine_pool()])
    endpoint_id = driver.complete(x_request_id="r")
    call = driver.only_call()
    driver.open_stream(call)
    data = token_event("r", 0, 2) + token_event("r", 2, 1) + last_event("r", [(1, 0, 3)]) + DONE
    for start in range(0, len(data), cut):
        driver.chunk(call, data[start : start + cut])
    assert driver.streamed(endpoint_id) == (data, True)


def test_carriage_returns_are_accepted() -> None:
    driver = GatewayDriver([engine_pool()])
    endpoint_id = driver.complete(x_request_id="r")
    call = driver.only_call()
    driver.open_stream(call)
    data = token_event("r", 0, 2) + last_event("r", [(1, 0, 2)]) + DONE
    for byte in data.replace(b"\n", b"\r\n"):
        driver.chunk(call, bytes([byte]))
    assert driver.streamed(endpoint_id) == (data, True)


@pytest.mark.parametrize("how", ["failed", "ended", "done_early"])
def test_interrupted_stream_is_resumed_elsewhere_with_each_token_once(how: str) -> None:
    driver = GatewayDriver([engine_pool()])
    endpoint_id = driver.complete(x_request_id="r")
    first = driver.only_call()
    driver.open_stream(first)
    sent = driver.tokens(first, 0, 3)
    # A partial event is not forwarded: the next engine sends it completely.
    driver.chunk(first, b'data: {"request_id"')
    if how == "failed":
        driver.fail(first, CallPhase.BODY)
    elif how == "ended":
        driver.end_stream(first)
    else:
        driver.chunk(first, b"}\n\n" + DONE)
    second = driver.only_call()
    assert second.address != first.address
    resume = msgspec.json.decode(second.body)["resume"]
    assert resume["token_count"] == 3
    assert resume["spans"] == [[1, 0, 3]]
    driver.open_stream(second)
    sent += driver.tokens(second, 3, 2, version=2)
    sent += driver.finish_stream(second, [(1, 0, 3), (2, 3, 5)])
    assert driver.streamed(endpoint_id) == (sent + DONE, True)


def test_repeated_tokens_of_a_resumed_stream_are_dropped() -> None:
    driver = GatewayDriver([engine_pool()])
    endpoint_id = driver.complete(x_request_id="r")
    first = driver.only_call()
    driver.open_stream(first)
    sent = driver.tokens(first, 0, 3)
    driver.fail(first, CallPhase.BODY)
    second = driver.only_call()
    driver.open_stream(second)
    driver.tokens(second, 0, 2)
    driver.tokens(second, 2, 1)
    sent += driver.tokens(second, 3, 1)
    sent += driver.finish_stream(second, [(1, 0, 4)])
    assert driver.streamed(endpoint_id) == (sent + DONE, True)


@pytest.mark.parametrize("index", [4, 1])
def test_gap_or_overlap_is_not_forwarded(index: int) -> None:
    driver = GatewayDriver([engine_pool(count=1)], requests=_short_resume_settings())
    endpoint_id = driver.complete(x_request_id="r")
    call = driver.only_call()
    driver.open_stream(call)
    sent = driver.tokens(call, 0, 3)
    driver.tokens(call, index, 3)
    assert call.call_id in driver.cancelled
    driver.advance(2.0)
    while driver.calls:
        driver.fail(driver.only_call(), CallPhase.CONNECT)
        driver.advance(2.0)
    assert driver.streamed(endpoint_id) == (sent, False)


def test_events_of_another_request_are_not_forwarded() -> None:
    driver = GatewayDriver([engine_pool()])
    endpoint_id = driver.complete(x_request_id="r")
    call = driver.only_call()
    driver.open_stream(call)
    driver.chunk(call, token_event("other", 0, 3))
    assert call.call_id in driver.cancelled
    assert driver.streamed(endpoint_id)[0] == b""


def test_finish_reason_without_done_event_is_a_truncation() -> None:
    driver = GatewayDriver([engine_pool()])
    endpoint_id = driver.complete(x_request_id="r")
    call = driver.only_call()
    driver.open_stream(call)
    driver.tokens(call, 0, 3)
    driver.chunk(call, last_event("r", [(1, 0, 3)]))
    assert driver.streamed(endpoint_id)[1] is None
    driver.fail(call, CallPhase.BODY)
    assert driver.streamed(endpoint_id)[1] is None
    assert msgspec.json.decode(driver.only_call().body)["resume"]["token_count"] == 3


@pytest.mark.parametrize("reason", ["cancelled", "exported", "swapped"])
def test_finish_reason_of_an_interruption_is_resumed_elsewhere(reason: str) -> None:
    driver = GatewayDriver([engine_pool()])
    endpoint_id = driver.complete(x_request_id="r")
    call = driver.only_call()
    driver.open_stream(call)
    driver.tokens(call, 0, 3)
    driver.finish_stream(call, [(1, 0, 3)], reason)
    assert driver.streamed(endpoint_id)[1] is None
    assert driver.only_call().address != call.address


def test_spans_of_the_last_event_match_the_received_events() -> None:
    driver = GatewayDriver([engine_pool()])
    endpoint_id = driver.complete(x_request_id="r")
    call = driver.only_call()
    driver.open_stream(call)
    driver.tokens(call, 0, 3, version=4)
    driver.finish_stream(call, [(5, 0, 3)])
    data, whole = driver.streamed(endpoint_id)
    assert whole is True
    last = data.split(b"\n\n")[-3]
    assert msgspec.json.decode(last[6:])["spans"] == [[4, 0, 3]]


def test_response_without_stream_is_collected_over_an_engine_failure() -> None:
    driver = GatewayDriver([engine_pool()])
    endpoint_id = driver.complete(stream=False, x_request_id="r")
    first = driver.only_call()
    assert first.stream
    driver.open_stream(first)
    driver.tokens(first, 0, 2)
    driver.fail(first, CallPhase.BODY)
    second = driver.only_call()
    driver.open_stream(second)
    driver.tokens(second, 2, 1, version=2)
    driver.finish_stream(second, [(1, 0, 2), (2, 2, 3)], "length")
    response = driver.response(endpoint_id)
    assert response.headers["x-outcome"] == "answer"
    assert msgspec.json.decode(response.body) == {
        "request_id": "r",
        "text": "t0 t1 t2 ",
        "token_count": 3,
        "spans": [[1, 0, 2], [2, 2, 3]],
        "finish_reason": "length",
    }


def test_refusal_is_retried_at_another_engine() -> None:
    driver = GatewayDriver([engine_pool()])
    endpoint_id = driver.complete()
    first = driver.only_call()
    driver.open_stream(first, 503, x_not_run="true")
    driver.chunk(first, b"{}")
    driver.end_stream(first)
    second = driver.only_call()
    assert second.address != first.address
    assert not driver.stream_started(endpoint_id)


def test_error_response_of_an_engine_is_forwarded() -> None:
    driver = GatewayDriver([engine_pool()])
    endpoint_id = driver.complete()
    call = driver.only_call()
    driver.open_stream(call, 400)
    driver.chunk(call, b'{"code":')
    driver.chunk(call, b'"bad"}')
    driver.end_stream(call)
    response = driver.response(endpoint_id)
    assert (response.status, response.body) == (400, b'{"code":"bad"}')
    assert response.headers["x-outcome"] == "answer"


def test_started_stream_waits_for_an_engine_to_recover() -> None:
    driver = GatewayDriver([engine_pool(count=1)])
    endpoint_id = driver.complete(x_request_id="r")
    first = driver.only_call()
    driver.open_stream(first)
    sent = driver.tokens(first, 0, 3)
    driver.fail(first, CallPhase.BODY)
    assert not driver.calls
    driver.advance(1.0)
    second = driver.only_call()
    driver.open_stream(second)
    sent += driver.tokens(second, 3, 1)
    sent += driver.finish_stream(second, [(1, 0, 4)])
    assert driver.streamed(endpoint_id) == (sent + DONE, True)


def test_started_stream_without_any_engine_is_truncated() -> None:
    driver = GatewayDriver([engine_pool(count=1)], requests=_short_resume_settings())
    endpoint_id = driver.complete(x_request_id="r")
    call = driver.only_call()
    driver.open_stream(call)
    driver.tokens(call, 0, 3)
    driver.answer_statuses(engine_0={"state": "failed"})
    driver.fail(call, CallPhase.BODY)
    for _ in range(30):
        driver.advance(0.1)
        while driver.calls:
            driver.fail(driver.only_call(), CallPhase.CONNECT)
    assert driver.streamed(endpoint_id)[1] is False
    assert driver.gateway.in_flight == 0


def test_deadline_truncates_a_started_stream_and_cancels_the_generation() -> None:
    driver = GatewayDriver([engine_pool()])
    endpoint_id = driver.complete(x_request_id="r", x_deadline_seconds="1")
    call = driver.only_call()
    driver.open_stream(call)
    driver.tokens(call, 0, 1)
    driver.advance(1.01)
    assert driver.streamed(endpoint_id)[1] is False
    assert call.call_id in driver.cancelled
    cancel = driver.only_call()
    assert (cancel.path, cancel.address) == ("/v1/cancel", call.address)


def test_idle_timeout_leaves_time_for_another_engine() -> None:
    driver = GatewayDriver([engine_pool()])
    driver.complete(x_deadline_seconds="3")
    assert driver.only_call().timeout_seconds == 1.5
    driver.complete(x_deadline_seconds="600")
    assert list(driver.calls.values())[1].timeout_seconds == 20.0


def test_read_interval_grows_with_the_number_of_streams() -> None:
    driver = GatewayDriver([engine_pool(maximum_concurrency=1000)])
    for number in range(300):
        driver.complete(x_caller=f"caller-{number}")
    intervals = [call.read_interval_seconds for call in driver.calls.values()]
    assert intervals[0] == 0.0
    assert intervals == sorted(intervals)
    assert intervals[99] == 0.05
    assert intervals[-1] == 0.1


def test_engine_that_is_not_ready_gets_no_requests() -> None:
    driver = GatewayDriver([engine_pool()], statuses_known=False)
    unknown = driver.complete()
    assert driver.outcome(unknown) == "not_run"
    driver.answer_statuses(
        engine_0={"state": "failed"}, engine_1={"active_version": None}, engine_2={"model": "x"}
    )
    none = driver.complete()
    assert driver.outcome(none) == "not_run"
    assert not driver.calls


def test_size_of_a_collected_response_is_bounded() -> None:
    settings = msgspec.structs.replace(_short_resume_settings(), maximum_answer_bytes=16)
    driver = GatewayDriver([engine_pool(count=1)], requests=settings)
    endpoint_id = driver.complete(stream=False, x_request_id="r")
    call = driver.only_call()
    driver.open_stream(call)
    driver.tokens(call, 0, 30)
    driver.advance(5.0)
    assert driver.gateway.in_flight == 0
    assert driver.outcome(endpoint_id) == "unknown"


def _short_resume_settings() -> "object":
    from merlinstand.gateway.settings import RequestSettings

    return RequestSettings(resume_patience_seconds=1.0)
