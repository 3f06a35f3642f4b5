"""Small blocking JSON requests of the launcher."""

from typing import TypeVar

import msgspec
from geventhttpclient import HTTPClient

_TIMEOUT_SECONDS = 5.0
"""Seconds of one request; chosen, not measured."""

Body = TypeVar("Body")


class JsonResponse(msgspec.Struct, frozen=True):
    """Status and undecoded body."""

    status: int
    body: bytes


def request_json(
    address: str,
    method: str,
    path: str,
    value: object = None,
    token: str = "",
    timeout_seconds: float = _TIMEOUT_SECONDS,
) -> JsonResponse | None:
    """Send one request; None if no whole response came back."""
    host, _, port = address.rpartition(":")
    client = HTTPClient(
        host, int(port), connection_timeout=timeout_seconds, network_timeout=timeout_seconds
    )
    headers = {"Content-Type": "application/json"}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    body = b"" if value is None else msgspec.json.encode(value)
    try:
        response = client.request(method, path, body=body, headers=headers)
        return JsonResponse(response.status_code, bytes(response.read()))
    except Exception:  # The library raises socket, timeout and its own parse errors.
        return None
    finally:
        client.close()


def get_typed(address: str, path: str, body_type: type[Body], token: str = "") -> Body | None:
    """Fetch and decode a JSON document; None if that fails."""
    response = request_json(address, "GET", path, token=token)
    if response is None or response.status != 200:
        return None
    try:
        return msgspec.json.decode(response.body, type=body_type)
    except msgspec.DecodeError:
        return None


def is_ready(address: str) -> bool:
    """Whether a process says it is ready."""
    response = request_json(address, "GET", "/readyz", timeout_seconds=1.0)
    return response is not None and response.status == 200
