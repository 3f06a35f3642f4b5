"""Interrupted streams are resumed; samples whose versions cannot be determined are void."""

from collections import Counter

from merlinstand.kernel.events import CallFailed, CallHeaders, CallPhase, CallResponded
from tests.coordinator.driver import CoordinatorDriver, make_job
from tests.coordinator.engine_side import Stream


def _first(driver: CoordinatorDriver) -> Stream:
    driver.tick()
    return driver.open_streams()[0]


def _resumed(driver: CoordinatorDriver, stream: Stream) -> Stream:
    sample_id = stream.request_id.split("~")[0]
    return next(
        other
        for other in driver.open_streams()
        if other.request_id.startswith(f"{sample_id}~") and other is not stream
    )


def test_a_crashed_stream_is_resumed_from_the_received_tokens() -> None:
    driver = CoordinatorDriver()
    stream = _first(driver)
    driver.chunk(stream, 6, 1)
    driver.crash(stream)
    driver.tick()
    resumed = _resumed(driver, stream)
    assert resumed.request_id != stream.request_id
    assert resumed.request["resume"] == {
        "handle": None,
        "source": None,
        "token_count": 6,
        "spans": [[1, 0, 6]],
        "text": "[0-6@1]",
    }
    assert resumed.request["seed"] == stream.request["seed"]


def test_a_truncated_stream_is_never_treated_as_complete() -> None:
    driver = CoordinatorDriver()
    stream = _first(driver)
    driver.chunk(stream, 6, 1)
    body = {
        "request_id": stream.request_id,
        "index": 6,
        "token_count": 0,
        "weight_version": 1,
        "text": "",
        "finish_reason": "stop",
        "spans": stream.spans,
    }
    driver.send_data(stream, body)
    driver.crash(stream)  # Before [DONE].
    driver.settle()
    assert driver.journal == []
    driver.tick()
    assert _resumed(driver, stream).request["resume"]["token_count"] == 6


def _assert_void(driver: CoordinatorDriver, stream: Stream) -> None:
    driver.settle()
    assert driver.journal == []
    driver.tick()
    assert _resumed(driver, stream).request["resume"] is None


def test_a_gap_between_chunks_voids_the_sample() -> None:
    driver = CoordinatorDriver()
    stream = _first(driver)
    driver.chunk(stream, 6, 1)
    driver.send_chunk(stream, 7, 3, 1)
    _assert_void(driver, stream)


def test_an_overlap_of_chunks_voids_the_sample() -> None:
    driver = CoordinatorDriver()
    stream = _first(driver)
    driver.chunk(stream, 6, 1)
    driver.send_chunk(stream, 5, 3, 1)
    _assert_void(driver, stream)


def test_last_spans_that_differ_from_the_chunks_void_the_sample() -> None:
    driver = CoordinatorDriver()
    stream = _first(driver)
    driver.chunk(stream, 6, 1)
    driver.end(stream, spans=[[2, 0, 6]])
    _assert_void(driver, stream)


def test_missing_spans_in_the_last_chunk_void_the_sample() -> None:
    driver = CoordinatorDriver()
    stream = _first(driver)
    driver.chunk(stream, 6, 1)
    driver.end(stream, spans=[])
    _assert_void(driver, stream)


def test_a_chunk_of_another_request_voids_the_sample() -> None:
    driver = CoordinatorDriver()
    stream = _first(driver)
    other = driver.open_streams()[1]
    driver.chunk(stream, 6, 1)
    mixed = Stream(stream.call_id, stream.address, other.request, stream.spans)
    driver.send_chunk(mixed, 6, 3, 1)
    _assert_void(driver, stream)


def test_a_refused_generation_is_retried_from_its_prompt() -> None:
    driver = CoordinatorDriver()
    stream = _first(driver)
    stream.ended = True
    driver.send(CallHeaders(stream.call_id, 503, {"x-not-run": "true", "retry-after": "0.1"}))
    driver.tick(1.0)
    assert _resumed(driver, stream).request["resume"] is None


def test_streams_of_an_engine_without_data_and_status_are_resumed_elsewhere() -> None:
    driver = CoordinatorDriver()
    driver.tick()
    silent = next(s for s in driver.open_streams() if driver.backend_of(s.address) == "engine-0")
    driver.chunk(silent, 6, 1)
    del driver.status_of["engine-0"]
    for _ in range(10):
        driver.tick()
    resumed = _resumed(driver, silent)
    assert driver.backend_of(resumed.address) == "engine-1"
    assert resumed.request["resume"]["token_count"] == 6


def test_a_queued_stream_on_a_responsive_engine_is_not_interrupted() -> None:
    driver = CoordinatorDriver()
    driver.tick()
    before = {stream.request_id for stream in driver.open_streams()}
    for _ in range(20):
        driver.tick()
    assert before <= {stream.request_id for stream in driver.open_streams()}


def test_a_long_stream_on_a_draining_engine_is_moved_with_its_cache() -> None:
    driver = CoordinatorDriver()
    driver.tick()
    stream = next(s for s in driver.open_streams() if driver.backend_of(s.address) == "engine-0")
    driver.chunk(stream, 70, 1)
    driver.configure(drains=["engine-0"])
    driver.tick()
    export = next(call for call in driver.calls if call.path == "/v1/kv/export")
    assert export.address == stream.address
    driver.end(stream, "exported")
    answer = b'{"handle": "h1", "token_count": 70, "size_bytes": 5}'
    driver.send(CallResponded(export.call_id, 200, {}, answer))
    driver.tick()
    resumed = _resumed(driver, stream)
    assert driver.backend_of(resumed.address) == "engine-1"
    assert resumed.request["resume"]["handle"] == "h1"
    assert resumed.request["resume"]["source"] == stream.address


def test_a_cache_with_another_token_count_than_received_is_not_used() -> None:
    driver = CoordinatorDriver()
    driver.tick()
    stream = next(s for s in driver.open_streams() if driver.backend_of(s.address) == "engine-0")
    driver.chunk(stream, 70, 1)
    driver.configure(drains=["engine-0"])
    driver.tick()
    export = next(call for call in driver.calls if call.path == "/v1/kv/export")
    driver.end(stream, "exported")
    answer = b'{"handle": "h1", "token_count": 75, "size_bytes": 5}'
    driver.send(CallResponded(export.call_id, 200, {}, answer))
    driver.tick()
    assert _resumed(driver, stream).request["resume"]["handle"] is None


def test_a_failed_export_still_resumes_the_text() -> None:
    driver = CoordinatorDriver()
    driver.tick()
    stream = next(s for s in driver.open_streams() if driver.backend_of(s.address) == "engine-0")
    driver.chunk(stream, 70, 1)
    driver.configure(drains=["engine-0"])
    driver.tick()
    export = next(call for call in driver.calls if call.path == "/v1/kv/export")
    driver.crash(stream)
    driver.send(CallFailed(export.call_id, CallPhase.CONNECT, "refused"))
    driver.tick()
    assert _resumed(driver, stream).request["resume"]["token_count"] == 70


def test_no_stream_starts_on_engines_with_unverified_weights() -> None:
    driver = CoordinatorDriver(lead=False)
    driver.serve("engine-0", 1, active_digest="other")
    driver.serve("engine-1", 1, state="failed")
    driver.lead()
    driver.tick()
    assert driver.open_streams() == []


def test_no_stream_starts_without_the_configuration_lease() -> None:
    driver = CoordinatorDriver()
    driver.session.may_take = False
    driver.tick()
    assert driver.open_streams() == []


def test_a_sample_too_old_for_any_batch_is_cancelled_and_restarted() -> None:
    driver = CoordinatorDriver()
    stream = _first(driver)
    driver.chunk(stream, 6, 1)
    driver.publish(4)
    driver.serve_all(4)
    driver.tick()
    driver.tick()
    assert stream.request_id in driver.cancelled_requests
    assert _resumed(driver, stream).request["resume"] is None


def test_a_discarded_slot_discards_all_samples_of_its_prompt() -> None:
    driver = CoordinatorDriver(make_job(samples_per_prompt=2))
    serving = 1
    for newest in (4, 8):
        driver.tick()
        for stream in driver.open_streams():
            driver.chunk(stream, 6, serving)
        # All of them are too old now; after the second time their slots are discarded.
        driver.publish(newest)
        driver.serve_all(newest)
        driver.tick()
        serving = newest
    driver.tick()
    attempts = Counter(
        stream.request_id.split("~")[0].rsplit("/", 1)[0] for stream in driver.open_streams()
    )
    assert attempts and set(attempts.values()) == {2}, (
        "only some samples of a prompt were restarted"
    )


def test_a_finished_sample_is_ready_only_when_it_is_durable() -> None:
    driver = CoordinatorDriver()
    driver.tick()
    for stream in driver.open_streams():
        driver.complete(stream, 1)
    name = driver.ask(0, "n1")
    assert driver.session.waiting == []
    driver.settle()
    assert driver.batch_of(name)["batch"] == 1
