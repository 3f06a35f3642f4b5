"""Parses requests and builds responses of the operators' HTTP API (`docs/INTERFACES.md`)."""

import hmac
from collections.abc import Mapping
from typing import Any
from urllib.parse import parse_qs, unquote

import msgspec
from result import Err, Ok, Result

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.errors import (
    ErrorBody,
    InvalidInputError,
    MerlinstandError,
    NotFoundError,
    UnauthorizedError,
    error_body,
)
from merlinstand.common.ids import RequestId
from merlinstand.configuration.objects import (
    OBJECT_TYPES,
    ConfigurationObject,
    decode_object,
    encode_object,
)
from merlinstand.configuration.table import ConfigurationTable
from merlinstand.control.commands import (
    AnyOutcome,
    ChangeMembership,
    DeleteObject,
    PublishWeights,
    PutObject,
    Refused,
    RewindJob,
    encode_command,
)
from merlinstand.control.queries import (
    AnyQuery,
    CommandQuery,
    LeaseQuery,
    LedgerQuery,
    MembersQuery,
)
from merlinstand.control.settings import ControlSettings
from merlinstand.kernel.effects import Respond
from merlinstand.kernel.events import RequestReceived

MAXIMUM_COMMAND_ID_CHARACTERS = 200
"""Maximum length of a command id, which the deduplication window (`command_ids`) keeps."""

NOT_LEADER_RETRY_SECONDS = 0.5
"""`Retry-After` of a replica that is not the leader."""

REFUSAL_STATUS = {"conflict": 409, "not_found": 404, "invalid_input": 400, "busy": 503}
OTHER_REFUSAL_STATUS = 409
"""HTTP status of refusals whose code is not in `REFUSAL_STATUS` (Conflict)."""

OperatorCommand = PutObject | DeleteObject | PublishWeights | RewindJob | ChangeMembership


class NotLeaderReplicaError(MerlinstandError, frozen=True, kw_only=True):
    """This replica is not the leader; the response names the leader if it is known."""

    code = "not_leader"
    http_status = 421


class CommandBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `POST /v1/commands`."""

    command_id: str
    command: dict[str, Any]


class CommandPost(msgspec.Struct, frozen=True):
    """An operator's command."""

    command_id: str
    command: bytes
    """The command encoded for the log."""


class QueryGet(msgspec.Struct, frozen=True):
    """A linearizable read."""

    query: AnyQuery


class ConfigurationGet(msgspec.Struct, frozen=True):
    """A linearizable read of the configuration."""

    prefix: str


class StatusGet(msgspec.Struct, frozen=True):
    """`GET /v1/status`: state of this replica."""


OperatorRequest = CommandPost | QueryGet | ConfigurationGet | StatusGet


class NotLeaderBody(msgspec.Struct, frozen=True):
    """Body of a 421."""

    code: str
    detail: str
    leader: str
    """Address of the leader's operators' API, `ip:port`; empty if unknown."""
    retry_after_seconds: float | None = None


class OutcomeBody(msgspec.Struct, frozen=True):
    """Response body of an applied command."""

    revision: int
    outcome: AnyOutcome


class RefusedBody(msgspec.Struct, frozen=True):
    """Response body of a refused command."""

    code: str
    detail: str
    retry_after_seconds: float | None
    revision: int
    outcome: AnyOutcome


class ConfigurationItem(msgspec.Struct, frozen=True):
    """One object of `GET /v1/configuration`."""

    key: str
    revision: int
    value: Any


class ConfigurationBody(msgspec.Struct, frozen=True):
    """Body of `GET /v1/configuration`."""

    revision: int
    objects: tuple[ConfigurationItem, ...]


def read_request(
    event: RequestReceived, settings: ControlSettings
) -> Result[OperatorRequest, MerlinstandError]:
    """Check the bearer token and parse a request."""
    # `urlsplit` is not used because it raises on a request target such as `//[`.
    path, _, query = event.path.partition("?")
    if not _is_authorized(event.headers, settings):
        return Err(UnauthorizedError(detail="a valid bearer token is needed"))
    if event.method == "POST" and path == "/v1/commands":
        return _read_command(event.body)
    if event.method == "GET":
        return _read_get(path, query)
    return Err(NotFoundError(detail=f"{event.method} {path} is not served here"))


def respond_error(request_id: RequestId, error: MerlinstandError) -> Respond:
    """Build the response for an error."""
    headers = {"Content-Type": "application/json"}
    if error.retry_after_seconds is not None:
        headers["Retry-After"] = f"{error.retry_after_seconds:g}"
    return Respond(request_id, type(error).http_status, headers, error_body(error))


def respond_not_leader(request_id: RequestId, leader: str) -> Respond:
    """Build a 421 response with the leader's address, which is empty if unknown."""
    body = NotLeaderBody(
        NotLeaderReplicaError.code,
        "this replica does not lead",
        leader,
        NOT_LEADER_RETRY_SECONDS,
    )
    headers = {"Content-Type": "application/json", "Retry-After": f"{NOT_LEADER_RETRY_SECONDS:g}"}
    status = NotLeaderReplicaError.http_status
    return Respond(request_id, status, headers, msgspec.json.encode(body))


def respond_outcome(request_id: RequestId, revision: int, outcome: AnyOutcome) -> Respond:
    """Build the response for a command's outcome."""
    if not isinstance(outcome, Refused):
        return respond_json(request_id, OutcomeBody(revision, outcome))
    body = RefusedBody(outcome.code, outcome.detail, None, revision, outcome)
    return respond_json(request_id, body, REFUSAL_STATUS.get(outcome.code, OTHER_REFUSAL_STATUS))


def respond_json(request_id: RequestId, body: Any, status: int = 200) -> Respond:
    """Build a response with a JSON body."""
    headers = {"Content-Type": "application/json"}
    return Respond(request_id, status, headers, msgspec.json.encode(body))


def respond_health(request_id: RequestId, healthy: bool, detail: str) -> Respond:
    """Build the response for a health check: 200 or 503."""
    code = "ok" if healthy else "unavailable"
    return respond_json(request_id, ErrorBody(code, detail), 200 if healthy else 503)


def configuration_body(table: ConfigurationTable, prefix: str) -> ConfigurationBody:
    """Build the body with the decoded objects whose keys begin with a prefix."""
    items = tuple(
        ConfigurationItem(key, entry.revision, decode_object(key, entry.payload))
        for key, entry in sorted(table.entries.items())
        if key.startswith(prefix)
    )
    return ConfigurationBody(table.revision, items)


def _is_authorized(headers: Mapping[str, str], settings: ControlSettings) -> bool:
    if not settings.token_required():
        return True
    if not settings.operator_token:
        return False
    scheme, _, token = headers.get("authorization", "").partition(" ")
    matches = hmac.compare_digest(token.strip().encode(), settings.operator_token.encode())
    return scheme.lower() == "bearer" and matches


def _read_get(path: str, query: str) -> Result[OperatorRequest, MerlinstandError]:
    if path == "/v1/configuration":
        return Ok(ConfigurationGet(parse_qs(query).get("prefix", [""])[0]))
    if path == "/v1/members":
        return Ok(QueryGet(MembersQuery()))
    if path == "/v1/leases":
        return Ok(QueryGet(LeaseQuery()))
    if path == "/v1/status":
        return Ok(StatusGet())
    if path.startswith("/v1/commands/"):
        command_id = unquote(path.removeprefix("/v1/commands/"))
        return Ok(QueryGet(CommandQuery(command_id=command_id)))
    if path.startswith("/v1/ledger/"):
        return Ok(QueryGet(LedgerQuery(job=unquote(path.removeprefix("/v1/ledger/")))))
    return Err(NotFoundError(detail=f"GET {path} is not served here"))


def _read_command(body: bytes) -> Result[OperatorRequest, MerlinstandError]:
    try:
        parsed = msgspec.json.decode(body, type=CommandBody)
        # Encoded already here, to reject integers that JSON allows but the log's encoding does not.
        command = encode_command(_convert_command(parsed.command))
    except DECODE_ERRORS as error:
        return Err(InvalidInputError(detail=str(error)))
    except OverflowError:
        return Err(InvalidInputError(detail="an integer is outside 64 bits"))
    except KeyError as error:
        return Err(InvalidInputError(detail=f"unknown kind of object: {error}"))
    if not 0 < len(parsed.command_id) <= MAXIMUM_COMMAND_ID_CHARACTERS:
        return Err(InvalidInputError(detail="command_id is empty or too long"))
    return Ok(CommandPost(parsed.command_id, command))


def _convert_command(raw: dict[str, Any]) -> OperatorCommand:
    if raw.get("command") == "put_object" and "object" in raw:
        fields = dict(raw)
        value = fields.pop("object")
        key = fields.get("key")
        if not isinstance(key, str):
            raise msgspec.ValidationError("Expected `str` - at `$.key`")
        fields["value"] = _encode_value(key, value)
        raw = fields
    command: OperatorCommand = msgspec.convert(raw, OperatorCommand)
    _refuse_unknown_fields(raw, command, "$.command")
    return command


def _encode_value(key: str, value: Any) -> bytes:
    typed: ConfigurationObject = msgspec.convert(value, OBJECT_TYPES[key.split("/", 1)[0]])
    _refuse_unknown_fields(value, typed, "$.object")
    return encode_object(typed)


def _refuse_unknown_fields(raw: Any, typed: Any, path: str) -> None:
    """Reject fields that the Struct does not have, which are most likely misspelt.

    Raises:
        msgspec.ValidationError: A field is unknown.
    """
    if isinstance(typed, msgspec.Struct) and isinstance(raw, dict):
        tag = typed.__struct_config__.tag_field
        for name, value in raw.items():
            if name == tag:
                continue
            if name not in typed.__struct_fields__:
                raise msgspec.ValidationError(f"Unknown field `{name}` - at `{path}`")
            _refuse_unknown_fields(value, getattr(typed, name), f"{path}.{name}")
    elif isinstance(typed, tuple) and isinstance(raw, list):
        for number, (raw_item, item) in enumerate(zip(raw, typed, strict=True)):
            _refuse_unknown_fields(raw_item, item, f"{path}[{number}]")
