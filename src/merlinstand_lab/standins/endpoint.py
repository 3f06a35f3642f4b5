"""What all stand-ins' HTTP endpoints share: responses, request bodies, health, fault orders."""

from typing import Any, TypeVar
from urllib.parse import parse_qs, urlsplit

import msgspec
from result import Err, Ok, Result

from merlinstand.common.errors import (
    InvalidInputError,
    MerlinstandError,
    NotFoundError,
    error_body,
)
from merlinstand.common.ids import RequestId
from merlinstand.kernel.effects import Respond
from merlinstand.kernel.events import RequestReceived

Body = TypeVar("Body")

JSON_HEADERS = {"content-type": "application/json"}
NOT_RUN_HEADER = "x-not-run"
REQUEST_ID_HEADER = "x-request-id"


class LabFault(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /lab/faults`: bring a fault about, or heal it."""

    kind: str
    duration_seconds: float = 0.0
    """How long it lasts; 0 means until `heal` (or for ever, where that makes sense)."""


class LabLeave(msgspec.Struct, frozen=True, kw_only=True):
    """`POST /lab/leave`: this back end (or a listed machine) leaves, or comes back."""

    leaving: bool = True
    address: str = ""
    """Only at the machine list: which machine."""


class Acknowledged(msgspec.Struct, frozen=True):
    """Answer of a `/lab/` request."""

    done: bool = True


def respond_json(
    request_id: RequestId, value: Any, status: int = 200, headers: dict[str, str] | None = None
) -> Respond:
    """Answer with a JSON body."""
    all_headers = {**JSON_HEADERS, **(headers or {})}
    return Respond(request_id, status, all_headers, msgspec.json.encode(value))


def respond_error(
    request_id: RequestId, error: MerlinstandError, headers: dict[str, str] | None = None
) -> Respond:
    """Answer with a typed error."""
    all_headers = {**JSON_HEADERS, **(headers or {})}
    if error.retry_after_seconds is not None:
        all_headers["retry-after"] = f"{error.retry_after_seconds:g}"
    return Respond(request_id, error.http_status, all_headers, error_body(error))


def decode_body(data: bytes, body_type: type[Body]) -> Result[Body, InvalidInputError]:
    """Decode a JSON request body."""
    try:
        return Ok(msgspec.json.decode(data, type=body_type))
    except msgspec.DecodeError as error:
        return Err(InvalidInputError(detail=str(error)))
    except UnicodeDecodeError as error:
        return Err(InvalidInputError(detail=f"invalid utf-8: {error.reason}"))


def route(event: RequestReceived) -> tuple[str, str]:
    """Return the method and the path without its query."""
    return event.method, urlsplit(event.path).path


def query_integer(event: RequestReceived, name: str) -> int:
    """Return an integer of the query string, 0 if absent or malformed."""
    values = parse_qs(urlsplit(event.path).query).get(name, [])
    try:
        return int(values[0])
    except (IndexError, ValueError):
        return 0


def respond_common(event: RequestReceived, ready: bool) -> Respond | None:
    """Answer `/livez`, `/readyz`; None for any other path."""
    _, path = route(event)
    if path == "/livez":
        return respond_json(event.request_id, Acknowledged())
    if path == "/readyz":
        return respond_json(event.request_id, Acknowledged(ready), 200 if ready else 503)
    return None


def respond_not_found(event: RequestReceived) -> Respond:
    """Answer 404 for an unknown path."""
    return respond_error(event.request_id, NotFoundError(detail=f"no such path: {event.path}"))
