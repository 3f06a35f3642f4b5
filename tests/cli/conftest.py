"""Fake control API for the command line's tests, and a fixture that runs commands on it."""

import json
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner, Result
from gevent.pywsgi import WSGIServer

from merlinstand.cli.main import main
from merlinstand.configuration.objects import OBJECT_TYPES

Override = Callable[[str, str, Any], tuple[int, Any] | None]


class FakeControl:
    """Stores objects and applies commands; `override` may return a response instead."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[int, Any]] = {}
        self.revision = 0
        self.posts: list[dict[str, Any]] = []
        self.handled_commands: dict[str, tuple[Any, Any]] = {}
        self.authorizations: list[str] = []
        self.responses: dict[str, Any] = {
            "/v1/members": {
                "members": [
                    {
                        "node_id": "control-1",
                        "zone": "z1",
                        "address": "127.0.0.1:1",
                        "voter": True,
                        "leader": True,
                        "match_index": 7,
                        "last_heard_seconds": 0.0,
                    }
                ]
            },
            "/v1/leases": {"leases": [{"resource": "job/blurbs", "holder": "coordinator-1"}]},
            "/v1/ledger/blurbs": {"consumers": [], "used_below": 3, "used_above": []},
        }
        self.override: Override = lambda _method, _path, _body: None
        self._server = WSGIServer(("127.0.0.1", 0), self._serve, log=None, error_log=None)
        self._server.start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.server_port}"

    def stop(self) -> None:
        self._server.stop(timeout=0)

    def put(self, key: str, value: Any) -> int:
        self.revision += 1
        self.objects[key] = (self.revision, msgspec.to_builtins(value))
        return self.revision

    def _serve(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        body = json.loads(environ["wsgi.input"].read() or b"null")
        self.authorizations.append(environ.get("HTTP_AUTHORIZATION", ""))
        if method == "POST":
            self.posts.append(body)
        response = self.override(method, path, body)
        status, content = response or self._respond(path, environ["QUERY_STRING"], body)
        start_response(f"{status} X", [("Content-Type", "application/json")])
        return [content if isinstance(content, bytes) else json.dumps(content).encode()]

    def _respond(self, path: str, query: str, body: Any) -> tuple[int, Any]:
        if path == "/v1/commands":
            return self._apply_once(body["command_id"], body["command"])
        if path.startswith("/v1/commands/"):
            handled = self.handled_commands.get(path.removeprefix("/v1/commands/"))
            return handled[1] if handled else (404, {"code": "not_found", "detail": path})
        if path == "/v1/configuration":
            prefix = query.removeprefix("prefix=").replace("%2F", "/")
            objects = [
                {"key": key, "revision": revision, "value": value}
                for key, (revision, value) in sorted(self.objects.items())
                if key.startswith(prefix)
            ]
            return 200, {"revision": self.revision, "objects": objects}
        if path in self.responses:
            return 200, self.responses[path]
        return 404, {"code": "not_found", "detail": path}

    def _apply_once(self, command_id: str, command: dict[str, Any]) -> tuple[int, Any]:
        """Deduplicate like control: a repeated command gets its first response.

        Another command under the same id is refused.
        """
        if command_id not in self.handled_commands:
            self.handled_commands[command_id] = (command, self._apply(command))
        first_command, response = self.handled_commands[command_id]
        if first_command != command:
            return 400, {"code": "invalid_input", "detail": "another command under this id"}
        return response

    def _apply(self, command: dict[str, Any]) -> tuple[int, Any]:
        key = command.get("key", "")
        if "expected_revision" in command:
            expected = command["expected_revision"]
            current_revision = self.objects.get(key, (0, None))[0]
            if expected != current_revision:
                detail = f"revision is {current_revision}, not {expected}"
                return 409, {"code": "conflict", "detail": detail}
        if command["command"] == "put_object":
            value = msgspec.convert(command["object"], OBJECT_TYPES[key.split("/")[0]])
            revision = self.put(key, value)
        elif command["command"] == "delete_object" and key not in self.objects:
            return 404, {"code": "not_found", "detail": f"{key} does not exist"}
        else:
            self.objects.pop(key, None)
            self.revision += 1
            revision = self.revision
        return 200, {"revision": revision, "outcome": {"outcome": "done", "revision": revision}}


@pytest.fixture
def control() -> Iterator[FakeControl]:
    fake = FakeControl()
    yield fake
    fake.stop()


@pytest.fixture
def run(control: FakeControl) -> Callable[..., Result]:
    """Run a command line against the fake control API."""

    def invoke(*arguments: str, addresses: tuple[str, ...] = ()) -> Result:
        control_options = [
            part for address in addresses or (control.address,) for part in ("--control", address)
        ]
        return CliRunner().invoke(main, [*arguments, *control_options])

    return invoke
