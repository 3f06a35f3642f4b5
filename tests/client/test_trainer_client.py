"""Trainer client against scripted HTTP servers on loopback."""

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

Response = tuple[int, bytes]
Handler = Callable[[dict[str, Any]], Response]


class ScriptedServer:
    """Answers each request with the next handler; the last one is repeated."""

    def __init__(self) -> None:
        self.handlers: list[Handler] = []
        self.requests: list[dict[str, Any]] = []
        self.truncated_responses = 0
        scripted = self

        class RequestHandler(http.server.BaseHTTPRequestHandler):
            def do_POST(self) -> None:
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                scripted.requests.append(body)
                handler_index = min(len(scripted.requests), len(scripted.handlers)) - 1
                status, response = scripted.handlers[handler_index](body)
                self.send_response(status)
                self.send_header("Content-Length", str(len(response)))
                self.end_headers()
                if scripted.truncated_responses > 0:
                    scripted.truncated_responses -= 1
                    response = response[: len(response) // 2]
                self.wfile.write(response)

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


def _batch(request: dict[str, Any], **changes: Any) -> Response:
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


def _reject(status: int, code: str, **fields: Any) -> Handler:
    body = {"code": code, "detail": code, "retry_after_seconds": None, **fields}
    return lambda request: (status, json.dumps(body).encode())


def _client(*addresses: str, position: Position | None = None) -> TrainerClient:
    return TrainerClient(addresses, "j", "trainer-1", position=position, sleep=lambda seconds: None)


def test_batches_are_sequential_and_acknowledged_by_nonce(
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


def test_resumes_from_a_checkpointed_position(server: ScriptedServer) -> None:
    server.handlers = [_batch]
    client = _client(server.address, position=Position(7, "n7"))
    assert client.next_batch(1).unwrap().batch == 8
    assert server.requests[0]["last_received_nonce"] == "n7"


def test_every_attempt_has_its_own_nonce(server: ScriptedServer) -> None:
    server.handlers = [_reject(202, "not_ready"), _reject(409, "nonce_used"), _batch]
    assert isinstance(_client(server.address).next_batch(1), Ok)
    assert len({request["nonce"] for request in server.requests}) == 3


def test_a_response_with_another_nonce_is_dropped(server: ScriptedServer) -> None:
    server.handlers = [lambda request: _batch(request, nonce="older"), _batch]
    client = _client(server.address)
    assert client.next_batch(1).unwrap().nonce == server.requests[1]["nonce"]


def test_a_batch_out_of_order_is_dropped(server: ScriptedServer) -> None:
    server.handlers = [lambda request: _batch(request, batch=9), _batch]
    assert _client(server.address).next_batch(1).unwrap().batch == 1


def test_a_late_response_is_dropped_and_requested_again(
    server: ScriptedServer,
) -> None:
    server.handlers = [
        lambda request: _batch(request, use_within_seconds=0.0),
        lambda request: _batch(request, use_within_seconds=60.0),
    ]
    batch = _client(server.address).next_batch(1).unwrap()
    first, second = server.requests
    assert batch.nonce == second["nonce"] != first["nonce"]
    assert second["last_received_batch"] == 0, "the dropped response does not count as received"


def test_a_truncated_response_is_requested_again(server: ScriptedServer) -> None:
    server.handlers = [_batch]
    server.truncated_responses = 1
    assert isinstance(_client(server.address).next_batch(1), Ok)
    assert len(server.requests) == 2


def test_follows_the_owner(server: ScriptedServer, other: ScriptedServer) -> None:
    server.handlers = [_reject(421, "not_owner", owner=other.address)]
    other.handlers = [_batch]
    assert isinstance(_client(server.address).next_batch(1), Ok)
    assert len(other.requests) == 1


def test_tries_the_next_coordinator_when_one_is_unreachable(server: ScriptedServer) -> None:
    server.handlers = [_batch]
    assert isinstance(_client("127.0.0.1:1", server.address).next_batch(1), Ok)


@pytest.mark.parametrize("code", ["rewound", "ahead"])
def test_a_position_conflict_is_returned_without_retry(server: ScriptedServer, code: str) -> None:
    server.handlers = [_reject(409, code)]
    outcome = _client(server.address).next_batch(1)
    assert isinstance(outcome, Err)
    assert isinstance(outcome.err_value, PositionError)
    assert outcome.err_value.server_code == code
    assert len(server.requests) == 1


def test_a_permanent_rejection_is_returned(server: ScriptedServer) -> None:
    server.handlers = [_reject(404, "unknown_job")]
    outcome = _client(server.address).next_batch(1)
    assert isinstance(outcome, Err)
    assert isinstance(outcome.err_value, RejectedError)


def test_the_deadline_ends_the_attempts(server: ScriptedServer) -> None:
    server.handlers = [_reject(202, "not_ready", retry_after_seconds=0.05)]
    outcome = _client(server.address).next_batch(1, deadline_seconds=0.0)
    assert isinstance(outcome, Err)
    assert isinstance(outcome.err_value, BatchNotReadyError)


WEIGHTS = PublishWeights(model="m", version=2, digest="d", source="10.0.0.1:1", size_bytes=3)
DONE = json.dumps({"revision": 12, "outcome": {"outcome": "done", "revision": 12}}).encode()


def test_publishing_retries_with_one_command_id_until_the_leader_responds(
    server: ScriptedServer, other: ScriptedServer
) -> None:
    server.handlers = [_reject(503, "unavailable"), _reject(421, "x", leader=other.address)]
    other.handlers = [lambda request: (200, DONE)]
    outcome = publish_weights([server.address], WEIGHTS, sleep=lambda seconds: None)
    assert outcome.unwrap().revision == 12
    command_ids = {request["command_id"] for request in server.requests + other.requests}
    assert len(command_ids) == 1
    assert other.requests[0]["command"]["command"] == "publish_weights"


def test_a_rejected_publication_is_returned_as_rejected_error(server: ScriptedServer) -> None:
    rejected = {"revision": 3, "outcome": {"outcome": "refused", "code": "conflict", "detail": "x"}}
    server.handlers = [lambda request: (200, json.dumps(rejected).encode())]
    outcome = publish_weights([server.address], WEIGHTS, sleep=lambda seconds: None)
    assert isinstance(outcome, Err)
    assert isinstance(outcome.err_value, RejectedError)
    assert outcome.err_value.server_code == "conflict"


def test_unreachable_control_gives_no_answer_error() -> None:
    outcome = publish_weights(
        ["127.0.0.1:1"], WEIGHTS, deadline_seconds=0.0, sleep=lambda seconds: None
    )
    assert isinstance(outcome, Err)
    assert isinstance(outcome.err_value, NoAnswerError)
