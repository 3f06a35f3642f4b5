"""The engine's HTTP endpoint: streams, orders, faults, reports."""

from typing import Any

import msgspec
import pytest

from merlinstand.common.ids import CallId, RequestId
from merlinstand.kernel.effects import StopProcess
from merlinstand.kernel.events import CallFailed, CallPhase, RequestAborted, StopRequested
from merlinstand_lab.records.kinds import GenerationOutcome, GenerationRecord
from merlinstand_lab.standins.engine import EngineServer
from merlinstand_lab.standins.engine_model.text import parse_text
from merlinstand_lab.standins.settings import EngineProfile, EngineSettings

from .driver import Driver

STORE = "127.0.0.1:9"


def engine() -> Driver:
    profile = EngineProfile(cache_event_loss=0.3)
    settings = EngineSettings(node_id="e1", address="127.0.0.1:1", model="m", profile=profile)
    return Driver(EngineServer(settings))


def order(driver: Driver, kind: str, version: int, fence: tuple[int, int]) -> Any:
    body = {
        "fence": {"epoch": fence[0], "sequence": fence[1]},
        "kind": kind,
        "model": "m",
        "version": version,
        "digest": f"d{version}",
        "source": STORE,
    }
    return driver.ask("POST", "/v1/orders", body)


def load(driver: Driver, version: int, fence: tuple[int, int]) -> None:
    order(driver, "load", version, fence)
    answer = {"digest": f"d{version}", "size_bytes": 1, "transfer_seconds": 0.5}
    driver.respond(driver.calls[-1], answer)
    driver.advance(0.6)


def activate(driver: Driver, version: int, fence: tuple[int, int]) -> None:
    order(driver, "activate", version, fence)
    driver.advance(0.5)


@pytest.fixture
def serving() -> Driver:
    driver = engine()
    load(driver, 1, (1, 1))
    activate(driver, 1, (1, 2))
    return driver


def completion(driver: Driver, request_id: str, **changes: object) -> str:
    body = {"request_id": request_id, "model": "m", "prompt": "p" * 80, "stream": True}
    return driver.request("POST", "/v1/completions", body | changes)


def generations(driver: Driver) -> list[GenerationRecord]:
    found = driver.records.get("engine-e1", [])
    return [record for record in found if isinstance(record, GenerationRecord)]


def test_without_a_version_completions_are_refused_as_not_run() -> None:
    driver = engine()
    response = driver.response(completion(driver, "r"))
    assert response is not None and response.status == 503
    assert response.headers["x-not-run"] == "true"
    assert "started-e1" not in driver.records


def test_a_stream_is_whole_and_recorded(serving: Driver) -> None:
    name = completion(serving, "r")
    serving.advance(60)
    events = serving.stream(name)
    text = "".join(event["text"] for event in events)
    parsed = parse_text(text)
    assert parsed.contiguous and parsed.produced == [("r", 1, 0, parsed.token_count)]
    assert events[-1]["finish_reason"] == "stop"
    assert events[-1]["spans"] == [[1, 0, parsed.token_count]]
    assert serving.ended_whole(name) is True
    (record,) = generations(serving)
    assert record.spans == [(1, 0, parsed.token_count)]
    assert len(serving.records["started-e1"]) == 1


def test_an_answer_without_stream_holds_the_same_text(serving: Driver) -> None:
    streamed, single = completion(serving, "r"), completion(serving, "s", stream=False)
    serving.advance(60)
    text = "".join(event["text"] for event in serving.stream(streamed))
    answer = serving.answer(single)
    assert answer["finish_reason"] == "stop"
    assert parse_text(answer["text"]).token_count == parse_text(text).token_count


def test_a_length_limit_ends_a_stream(serving: Driver) -> None:
    name = completion(serving, "r", max_tokens=3)
    serving.advance(10)
    assert serving.stream(name)[-1]["finish_reason"] == "length"


def test_bad_requests_are_refused_with_a_type(serving: Driver) -> None:
    def status(value: object) -> int:
        response = serving.response(serving.request("POST", "/v1/completions", value))
        assert response is not None
        return response.status

    assert status(b"\xff\xfe") == 400
    assert status({"model": "m"}) == 400
    assert status({"model": "m", "prompt": "p", "max_tokens": 0}) == 400
    assert status({"model": "other", "prompt": "p"}) == 404
    assert generations(serving) == []


def test_cancel_ends_a_stream_at_once(serving: Driver) -> None:
    name = completion(serving, "r")
    serving.advance(0.3)
    assert serving.ask("POST", "/v1/cancel", {"request_id": "r"}) == {"cancelled": True}
    assert serving.stream(name)[-1]["finish_reason"] == "cancelled"
    assert serving.ask("POST", "/v1/cancel", {"request_id": "r"}) == {"cancelled": False}


def test_a_client_that_goes_away_stops_the_work(serving: Driver) -> None:
    name = completion(serving, "r")
    serving.advance(0.3)
    serving.send(RequestAborted(RequestId(name)))
    stopped_at = serving.now
    serving.advance(2.0)
    (record,) = generations(serving)
    assert (record.outcome, record.ended_at) == (GenerationOutcome.ABORTED, stopped_at)


def test_a_cancel_that_its_closed_stream_overtook_is_a_cancel(serving: Driver) -> None:
    name = completion(serving, "r")
    serving.advance(0.3)
    serving.send(RequestAborted(RequestId(name)))
    assert serving.ask("POST", "/v1/cancel", {"request_id": "r"}) == {"cancelled": False}
    serving.advance(2.0)
    assert [record.outcome for record in generations(serving)] == [GenerationOutcome.CANCELLED]


@pytest.mark.parametrize("end", ["crash", "stop"])
def test_an_abandoned_stream_is_recorded_before_the_engine_ends(serving: Driver, end: str) -> None:
    name = completion(serving, "r")
    serving.advance(0.3)
    serving.send(RequestAborted(RequestId(name)))
    if end == "crash":
        serving.ask("POST", "/lab/faults", {"kind": "crash"})
    else:
        serving.send(StopRequested())
    assert [record.outcome for record in generations(serving)] == [GenerationOutcome.ABORTED]


def test_exported_state_is_imported_by_another_engine(serving: Driver) -> None:
    name = completion(serving, "r")
    serving.advance(0.3)
    exported = serving.ask("POST", "/v1/kv/export", {"request_id": "r"})
    end = serving.stream(name)[-1]
    assert end["finish_reason"] == "exported" and end["spans"][-1][2] == exported["token_count"]
    state = serving.ask("GET", f"/v1/kv/{exported['handle']}")
    other = engine()
    load(other, 2, (1, 1))
    activate(other, 2, (1, 2))
    resume = {
        "handle": exported["handle"],
        "source": "127.0.0.1:1",
        "token_count": exported["token_count"],
        "spans": end["spans"],
    }
    resumed = completion(other, "r2", resume=resume)
    other.respond(other.calls[-1], state)
    other.advance(60)
    events = other.stream(resumed)
    assert events[0]["index"] == exported["token_count"]
    assert [span[0] for span in events[-1]["spans"]] == [1, 2]


def test_a_lost_export_is_computed_again(serving: Driver) -> None:
    resume = {"handle": "gone", "source": "127.0.0.1:1", "token_count": 2, "spans": [[1, 0, 2]]}
    name = completion(serving, "r", resume=resume)
    call = serving.calls.pop()
    serving.send(CallFailed(CallId(call.call_id), CallPhase.CONNECT, "refused"))
    serving.advance(60)
    assert serving.stream(name)[-1]["finish_reason"] == "stop"


def test_orders_apply_in_the_order_of_their_fences(serving: Driver) -> None:
    load(serving, 2, (2, 1))
    overtaken = order(serving, "activate", 1, (1, 9))
    assert overtaken["code"] == "fenced" and overtaken["fence"] == {"epoch": 2, "sequence": 1}
    first = order(serving, "activate", 2, (2, 2))
    assert first["state"] == "in_progress"
    serving.advance(1)
    assert order(serving, "activate", 2, (2, 2))["state"] == "done"
    assert len(serving.records["versions-e1"]) == 2


def test_a_version_that_is_not_loaded_can_not_be_activated(serving: Driver) -> None:
    assert order(serving, "activate", 7, (2, 1))["state"] == "failed"


def test_weights_with_another_digest_are_not_taken(serving: Driver) -> None:
    order(serving, "load", 2, (2, 1))
    wrong = {"digest": "other", "size_bytes": 1, "transfer_seconds": 0.1}
    serving.respond(serving.calls[-1], wrong)
    assert order(serving, "load", 2, (2, 1))["state"] == "failed"


def test_a_store_without_rate_left_is_asked_again(serving: Driver) -> None:
    order(serving, "load", 2, (2, 1))
    serving.respond(serving.calls[-1], {}, status=429)
    assert serving.calls == []
    serving.advance(1.0)
    assert [call.path for call in serving.calls] == ["/v1/weights/m/2"]


def test_a_running_stream_goes_on_under_the_new_version(serving: Driver) -> None:
    load(serving, 2, (2, 1))
    name = completion(serving, "r")
    serving.advance(0.3)
    activate(serving, 2, (2, 2))
    serving.advance(60)
    events = serving.stream(name)
    assert [span[0] for span in events[-1]["spans"]] == [1, 2]
    assert all(parse_text(event["text"]).produced or not event["text"] for event in events)


def test_a_failed_swap_serves_nothing_until_a_newer_order_succeeds(serving: Driver) -> None:
    load(serving, 2, (2, 1))
    name = completion(serving, "r")
    serving.advance(0.2)
    serving.ask("POST", "/lab/faults", {"kind": "swap_failure"})
    activate(serving, 2, (2, 2))
    assert serving.stream(name)[-1]["finish_reason"] == "swapped"
    assert all(span[0] == 1 for record in generations(serving) for span in record.spans)
    refused = serving.response(completion(serving, "s"))
    assert refused is not None and refused.headers["x-not-run"] == "true"
    serving.advance(2)
    status = serving.ask("GET", "/v1/status")
    assert (status["state"], status["active_version"]) == ("failed", 0)
    assert status["order"]["state"] == "failed"
    activate(serving, 2, (2, 3))
    again = completion(serving, "t")
    serving.advance(60)
    assert serving.ended_whole(again) is True


def test_a_crash_breaks_streams_and_brings_a_new_incarnation_without_version(
    serving: Driver,
) -> None:
    name = completion(serving, "r")
    serving.advance(0.5)
    before = serving.ask("GET", "/v1/status")["incarnation"]
    serving.ask("POST", "/lab/faults", {"kind": "crash"})
    assert serving.ended_whole(name) is False
    sent = parse_text("".join(event["text"] for event in serving.stream(name)))
    (record,) = generations(serving)
    assert record.outcome is GenerationOutcome.CRASHED
    assert record.spans[-1][2] == sent.token_count > 0
    serving.advance(5)
    status = serving.ask("GET", "/v1/status")
    assert status["incarnation"] != before and status["active_version"] == 0


def test_load_reports_lag(serving: Driver) -> None:
    serving.advance(3)
    completion(serving, "r")
    status = serving.ask("GET", "/v1/status")
    assert status["running"] + status["queued"] == 0
    serving.advance(1.1)
    assert serving.ask("GET", "/v1/status")["running"] == 1


def test_cache_events_come_late_and_with_gaps(serving: Driver) -> None:
    for index in range(40):
        completion(serving, f"r{index}", prompt=f"{index:04d}" * 40, max_tokens=1)
    serving.advance(0.5)
    assert serving.ask("GET", "/v1/cache_events?after=0")["events"] == []
    serving.advance(60)
    lines = serving.ask("GET", "/v1/cache_events?after=0")["events"]
    numbers = [line["sequence"] for line in lines]
    assert numbers == sorted(numbers) and numbers[-1] > len(numbers) > 20


def test_a_planned_stop_ends_streams_first(serving: Driver) -> None:
    name = completion(serving, "r")
    serving.send(StopRequested())
    assert not any(isinstance(effect, StopProcess) for effect in serving.others)
    refused = serving.response(completion(serving, "s"))
    assert refused is not None and refused.status == 503
    serving.advance(60)
    assert serving.ended_whole(name) is True
    assert any(isinstance(effect, StopProcess) for effect in serving.others)


def test_bodies_decode_to_what_the_interface_page_says(serving: Driver) -> None:
    status = serving.ask("GET", "/v1/status")
    assert msgspec.json.encode(status)
    assert {"backend_id", "active_digest", "loaded", "order", "free_blocks"} <= set(status)
