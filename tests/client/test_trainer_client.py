"""The trainer's client against scripted servers on loopback."""

import http.server
import json
import threading
from collections.abc import Callable, Iterator
from typing import Any

import pytest
from result import Err, Ok

from merlinstand.client import (
    BatchNotReadyError,
    NoAnswerError,
    PositionError,
    RejectedError,
    TrainerClient,
    publish_weights,
)
from merlinstand.client.batches import Position
from merlinstand.control.commands import PublishWeights

Answer = tuple[int, bytes]
Handler = Callable[[dict[str, Any]], Answer]


class ScriptedServer:
    """Answers each request by the next handler; the last one is repeated."""

    def __init__(self) -> None:
        self.handlers: list[Handler] = []
        self.requests: list[dict[str, Any]] = []
        self.cut_bodies = 0
        scripted = self

        class RequestHandler(http.server.BaseHTTPRequestHandler):
            def do_POST(self) -> None:
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                scripted.requests.append(body)
                turn = min(len(scripted.requests), len(scripted.handlers)) - 1
                status, answer = scripted.handlers[turn](body)
                self.send_response(status)
                self.send_header("Content-Length", str(len(answer)))
                self.end_headers()
                if scripted.cut_bodies > 0:
                    scripted.cut_bodies -= 1
                    answer = answer[: len(answer) // 2]
                self.wfile.write(answer)

            def log_message(self, format: str, *args: Any) -> None:
                pass

        self.server = http.server.HTTPServer(("127.0.0.1", 0), RequestHandler)
        self.address = f"127.0.0.1:{self.server.server_port}"
        self.thread = threading.Thread(target=self.server.serve_forever, args=(0.01,))
        self.thread.start()

    def close(self) -> None:
        self.server.shutdown()
        self.thread.join()
        self.server.server_close()


@pytest.fixture
def server() -> Iterator[ScriptedServer]:
    scripted = ScriptedServer()
    yield scripted
    scripted.close()


@pytest.fixture
def other() -> Iterator[ScriptedServer]:
    scripted = ScriptedServer()
    yield scripted
    scripted.close()


def _batch(request: dict[str, Any], **changes: Any) -> Answer:
    sample = {
        "sample_id": "j/0/0",
        "slot": 0,
        "job": "j",
        "prompt_id": "0",
        "attempt": 0,
        "prompt": "p",
        "text": "t",
        "token_count": 3,
        "weight_versions": [[1, 0, 3]],
        "weight": 1.0,
        "score": None,
    }
    body = {
        "job": "j",
        "consumer": "trainer-1",
        "batch": request["last_received_batch"] + 1,
        "nonce": request["nonce"],
        "newest_version": 1,
        "samples": [sample],
    }
    return 200, json.dumps({**body, **changes}).encode()


def _refuse(status: int, code: str, **fields: Any) -> Handler:
    body = {"code": code, "detail": code, "retry_after_seconds": None, **fields}
    return lambda request: (status, json.dumps(body).encode())


def _client(*addresses: str, position: Position | None = None) -> TrainerClient:
    return TrainerClient(addresses, "j", "trainer-1", position=position, sleep=lambda seconds: None)


def test_batches_follow_one_another_and_acknowledge_under_their_nonce(
    server: ScriptedServer,
) -> None:
    server.handlers = [_batch]
    client = _client(server.address)
    first = client.next_batch(1).unwrap()
    second = client.next_batch(2).unwrap()
    assert (first.batch, second.batch) == (1, 2)
    assert first.samples[0].weight_versions == ((1, 0, 3),)
    assert server.requests[1]["last_received_nonce"] == first.nonce
    assert client.position == Position(2, second.nonce)


def test_a_checkpointed_position_goes_on(server: ScriptedServer) -> None:
    server.handlers = [_batch]
    client = _client(server.address, position=Position(7, "n7"))
    assert client.next_batch(1).unwrap().batch == 8
    assert server.requests[0]["last_received_nonce"] == "n7"


def test_every_try_has_its_own_nonce(server: ScriptedServer) -> None:
    server.handlers = [_refuse(202, "not_ready"), _refuse(409, "nonce_used"), _batch]
    assert isinstance(_client(server.address).next_batch(1), Ok)
    assert len({request["nonce"] for request in server.requests}) == 3


def test_an_answer_to_another_nonce_is_dropped(server: ScriptedServer) -> None:
    server.handlers = [lambda request: _batch(request, nonce="older"), _batch]
    client = _client(server.address)
    assert client.next_batch(1).unwrap().nonce == server.requests[1]["nonce"]


def test_a_batch_out_of_order_is_dropped(server: ScriptedServer) -> None:
    server.handlers = [lambda request: _batch(request, batch=9), _batch]
    assert _client(server.address).next_batch(1).unwrap().batch == 1


def test_an_answer_that_took_too_long_is_dropped_and_asked_for_anew(
    server: ScriptedServer,
) -> None:
    server.handlers = [
        lambda request: _batch(request, use_within_seconds=0.0),
        lambda request: _batch(request, use_within_seconds=60.0),
    ]
    batch = _client(server.address).next_batch(1).unwrap()
    first, second = server.requests
    assert batch.nonce == second["nonce"] != first["nonce"]
    assert second["last_received_batch"] == 0, "the dropped answer does not count as received"


def test_a_truncated_answer_is_asked_for_again(server: ScriptedServer) -> None:
    server.handlers = [_batch]
    server.cut_bodies = 1
    assert isinstance(_client(server.address).next_batch(1), Ok)
    assert len(server.requests) == 2


def test_follows_the_owner(server: ScriptedServer, other: ScriptedServer) -> None:
    server.handlers = [_refuse(421, "not_owner", owner=other.address)]
    other.handlers = [_batch]
    assert isinstance(_client(server.address).next_batch(1), Ok)
    assert len(other.requests) == 1


def test_goes_round_the_coordinators_when_one_is_dead(server: ScriptedServer) -> None:
    server.handlers = [_batch]
    assert isinstance(_client("127.0.0.1:1", server.address).next_batch(1), Ok)


@pytest.mark.parametrize("code", ["rewound", "ahead"])
def test_a_position_that_differs_is_for_the_operator(server: ScriptedServer, code: str) -> None:
    server.handlers = [_refuse(409, code)]
    outcome = _client(server.address).next_batch(1)
    assert isinstance(outcome, Err)
    assert isinstance(outcome.err_value, PositionError)
    assert outcome.err_value.server_code == code
    assert len(server.requests) == 1


def test_a_refusal_for_good_is_returned(server: ScriptedServer) -> None:
    server.handlers = [_refuse(404, "unknown_job")]
    outcome = _client(server.address).next_batch(1)
    assert isinstance(outcome, Err)
    assert isinstance(outcome.err_value, RejectedError)


def test_the_deadline_ends_the_tries(server: ScriptedServer) -> None:
    server.handlers = [_refuse(202, "not_ready", retry_after_seconds=0.05)]
    outcome = _client(server.address).next_batch(1, deadline_seconds=0.0)
    assert isinstance(outcome, Err)
    assert isinstance(outcome.err_value, BatchNotReadyError)


WEIGHTS = PublishWeights(model="m", version=2, digest="d", source="10.0.0.1:1", size_bytes=3)
DONE = json.dumps({"revision": 12, "outcome": {"outcome": "done", "revision": 12}}).encode()


def test_publishing_repeats_one_command_id_until_the_leader_answers(
    server: ScriptedServer, other: ScriptedServer
) -> None:
    server.handlers = [_refuse(503, "unavailable"), _refuse(421, "x", leader=other.address)]
    other.handlers = [lambda request: (200, DONE)]
    outcome = publish_weights([server.address], WEIGHTS, sleep=lambda seconds: None)
    assert outcome.unwrap().revision == 12
    names = {request["command_id"] for request in server.requests + other.requests}
    assert len(names) == 1
    assert other.requests[0]["command"]["command"] == "publish_weights"


def test_a_refused_publication_is_typed(server: ScriptedServer) -> None:
    refused = {"revision": 3, "outcome": {"outcome": "refused", "code": "conflict", "detail": "x"}}
    server.handlers = [lambda request: (200, json.dumps(refused).encode())]
    outcome = publish_weights([server.address], WEIGHTS, sleep=lambda seconds: None)
    assert isinstance(outcome, Err)
    assert isinstance(outcome.err_value, RejectedError)
    assert outcome.err_value.server_code == "conflict"


def test_no_control_means_no_answer() -> None:
    outcome = publish_weights(
        ["127.0.0.1:1"], WEIGHTS, deadline_seconds=0.0, sleep=lambda seconds: None
    )
    assert isinstance(outcome, Err)
    assert isinstance(outcome.err_value, NoAnswerError)
