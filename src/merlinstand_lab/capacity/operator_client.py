"""Operators' commands over HTTP, as the command line sends them."""

import http.client
import time
import uuid
from collections.abc import Sequence
from typing import Any

import msgspec

from merlinstand.configuration.objects import ConfigurationObject

REQUEST_TIMEOUT_SECONDS = 1.0
"""Seconds; chosen, not measured."""
RETRY_SECONDS = 0.1
"""Seconds; chosen, not measured."""
GIVE_UP_SECONDS = 60.0
"""Seconds; chosen, not measured."""


class OperatorCommandError(Exception):
    """Control refused a command, or none answered in time."""


class OperatorClient:
    """Submits commands to whichever replica leads, under one command id each."""

    def __init__(self, http_addresses: Sequence[str]) -> None:
        """Know the replicas' operators' APIs."""
        self._addresses = list(http_addresses)

    def put(self, key: str, value: ConfigurationObject) -> int:
        """Create or replace a configuration object and return its revision."""
        command = {"command": "put_object", "key": key, "object": msgspec.to_builtins(value)}
        return self.submit(command)

    def submit(self, command: dict[str, Any]) -> int:
        """Send a command until it is accepted, and return the revision.

        Raises:
            OperatorCommandError: It was refused, or no replica accepted it in time.
        """
        body = msgspec.json.encode({"command_id": uuid.uuid4().hex, "command": command})
        end = time.monotonic() + GIVE_UP_SECONDS
        last = ""
        while time.monotonic() < end:
            for address in self._addresses:
                status, answer = _request(address, "POST", "/v1/commands", body)
                if status == http.client.OK:
                    return self._accepted(address, answer)
                last = f"{address}: {status} {answer!r}"
                if status == http.client.CONFLICT:
                    raise OperatorCommandError(last)
            time.sleep(RETRY_SECONDS)
        raise OperatorCommandError(f"no replica accepted the command; last answer {last}")

    def get(self, path: str) -> Any:
        """Read a JSON document from the first replica that answers."""
        end = time.monotonic() + GIVE_UP_SECONDS
        last = ""
        while time.monotonic() < end:
            for address in self._addresses:
                status, answer = _request(address, "GET", path, b"")
                if status == http.client.OK:
                    return msgspec.json.decode(answer)
                last = f"{address}: {status} {answer!r}"
            time.sleep(RETRY_SECONDS)
        raise OperatorCommandError(f"no replica answered {path}; last answer {last}")

    def _accepted(self, address: str, answer: bytes) -> int:
        self._addresses.remove(address)
        self._addresses.insert(0, address)
        return int(msgspec.json.decode(answer)["revision"])


def _request(address: str, method: str, path: str, body: bytes) -> tuple[int, bytes]:
    """Send one request; status 0 means that no answer came."""
    connection = http.client.HTTPConnection(address, timeout=REQUEST_TIMEOUT_SECONDS)
    try:
        connection.request(method, path, body, {"Content-Type": "application/json"})
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, str(error).encode()
    finally:
        connection.close()
