"""The hollow engine's streams and orders follow the interfaces of real engines."""

import msgspec

from merlinstand.common.ids import RequestId
from merlinstand.kernel.effects import Respond, RespondChunk, RespondEnd, RespondStart, SetTimer
from merlinstand.kernel.events import RequestReceived, TimerFired
from merlinstand_lab.capacity.hollow_server import CHUNK_TIMER, HollowServer
from merlinstand_lab.capacity.hollow_settings import HollowServerSettings


def _request(path: str, body: dict[str, object]) -> RequestReceived:
    headers = {"x-request-id": "r-1"}
    return RequestReceived(RequestId("http-1"), "POST", path, headers, msgspec.json.encode(body))


def test_a_stream_has_all_tokens_once_and_ends_with_done() -> None:
    server = HollowServer(HollowServerSettings(node_id="engine-0", tokens_per_chunk=4))
    start, clock = server.reduce(
        _request("/v1/completions", {"request_id": "r-1", "max_tokens": 10}), 0.0
    )
    assert isinstance(start, RespondStart)
    assert isinstance(clock, SetTimer)
    effects = [effect for _ in range(3) for effect in server.reduce(TimerFired(CHUNK_TIMER), 0.0)]
    chunks = [effect.data for effect in effects if isinstance(effect, RespondChunk)]
    events = [msgspec.json.decode(data[6:].split(b"\n\n")[0]) for data in chunks]
    assert [(event["index"], event["token_count"]) for event in events] == [(0, 4), (4, 4), (8, 2)]
    assert events[-1]["finish_reason"] == "length"
    assert events[-1]["spans"] == [[1, 0, 10]]
    assert chunks[-1].endswith(b"data: [DONE]\n\n")
    assert sum(isinstance(effect, RespondEnd) for effect in effects) == 1
    assert sum(isinstance(effect, SetTimer) for effect in effects) == 3
    assert server.reduce(TimerFired(CHUNK_TIMER), 0.0) == (), "the clock stops without streams"


def test_orders_are_done_at_once_and_shown_in_the_status() -> None:
    server = HollowServer(HollowServerSettings(node_id="engine-0"))
    fence = {"epoch": 3, "sequence": 1}
    order = {"fence": fence, "kind": "activate", "version": 7, "digest": "d7"}
    (answer,) = server.reduce(_request("/v1/orders", order), 0.0)
    assert isinstance(answer, Respond)
    assert msgspec.json.decode(answer.body) == {"fence": fence, "state": "done"}
    (status,) = server.reduce(_request("/v1/status", {}), 5.0)
    assert isinstance(status, Respond)
    assert msgspec.json.decode(status.body)["active_version"] == 7
