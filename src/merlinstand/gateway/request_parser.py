"""Checks HTTP requests and converts them to `CallerRequest`."""

import math
from collections.abc import Mapping

import msgspec
import xxhash
from result import Err, Ok, Result

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.errors import (
    BodyTooLargeError,
    HeadTooLargeError,
    InvalidInputError,
    MerlinstandError,
    MethodNotAllowedError,
)
from merlinstand.configuration.objects import Pool, PoolKind
from merlinstand.gateway.caller_request import CallerRequest, CompletionBody, RequestKind
from merlinstand.gateway.errors import MissingKeyError, UnknownPoolError
from merlinstand.gateway.outcome import (
    CALLER_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    REPEATABLE_HEADER,
    REQUEST_ID_HEADER,
    forwarded_headers,
)
from merlinstand.gateway.settings import RequestSettings
from merlinstand.kernel.events import RequestReceived
from merlinstand.routing.affinity import prompt_affinity

COMPLETIONS_PATH = "/v1/completions"
MAXIMUM_TOKENS = 131_072
"""Upper bound of `max_tokens` of a completion."""

MAXIMUM_NAME_CHARACTERS = 200
"""Maximum length of request ids, callers and idempotency keys, which are stored in tables, logs and
control's records."""

CHARACTERS_PER_TOKEN = 4
"""Number of prompt characters counted as one token of cost; the gateway has no tokenizer."""

BYTES_PER_LOOKUP_COST = 4_096
"""Number of body bytes that cost as much as a lookup without a body."""

PRIORITY_LIMIT = 1_000_000
"""Maximum absolute priority; bounded because callers choose it themselves
(docs/DECISIONS/0006-request-routing.md)."""

SEED_LIMIT = 2**63
"""Seeds are signed 64-bit integers: from `-SEED_LIMIT` to `SEED_LIMIT - 1`."""

_REPEATABLE_VALUES = {"true": True, "false": False}
_OWN_HEADERS = frozenset(
    {CALLER_HEADER, DEADLINE_HEADER, REPEATABLE_HEADER, REQUEST_ID_HEADER, IDEMPOTENCY_KEY_HEADER}
)
_COMPLETION_DECODER = msgspec.json.Decoder(CompletionBody)


class RequestHead(msgspec.Struct, frozen=True):
    """Request headers that the gateway evaluates, decoded; None for absent optional headers."""

    request_id: str
    caller: str
    repeatable: bool | None
    idempotency_key: str
    deadline_seconds: float | None


def check_size(event: RequestReceived, settings: RequestSettings) -> MerlinstandError | None:
    """Return an error if body, path or headers are too large; None otherwise."""
    if len(event.body) > settings.maximum_body_bytes:
        return BodyTooLargeError(detail=f"body exceeds {settings.maximum_body_bytes} bytes")
    if len(event.path) > settings.maximum_path_bytes:
        return HeadTooLargeError(detail=f"path exceeds {settings.maximum_path_bytes} bytes")
    header_bytes = sum(len(name) + len(value) for name, value in event.headers.items())
    if header_bytes > settings.maximum_header_bytes:
        return HeadTooLargeError(detail=f"headers exceed {settings.maximum_header_bytes} bytes")
    return None


def parse_head(
    event: RequestReceived, generated_id: str, settings: RequestSettings
) -> Result[RequestHead, InvalidInputError]:
    """Check and decode the request headers.

    Args:
        event: The request.
        generated_id: Request id to use if the caller sent none.
        settings: Limits.

    Returns:
        The headers, with the deadline limited to the maximum; an error if one is malformed.
    """
    headers = event.headers
    request_id = headers.get(REQUEST_ID_HEADER) or generated_id
    caller = headers.get(CALLER_HEADER) or event.peer or "anonymous"
    key = headers.get(IDEMPOTENCY_KEY_HEADER, "")
    named = ((REQUEST_ID_HEADER, request_id), (CALLER_HEADER, caller))
    for name, value in (*named, (IDEMPOTENCY_KEY_HEADER, key)):
        if not is_name(value) and value:
            return Err(InvalidInputError(detail=f"{name} is not 1 to 200 printable characters"))
    repeatable = None
    if REPEATABLE_HEADER in headers:
        repeatable = _REPEATABLE_VALUES.get(headers[REPEATABLE_HEADER].strip().lower())
        if repeatable is None:
            return Err(InvalidInputError(detail="x-repeatable must be true or false"))
    deadline_seconds = None
    if DEADLINE_HEADER in headers:
        deadline_seconds = _parse_seconds(headers[DEADLINE_HEADER])
        if deadline_seconds is None:
            return Err(InvalidInputError(detail="x-deadline-seconds must be a positive number"))
        deadline_seconds = min(deadline_seconds, settings.maximum_deadline_seconds)
    return Ok(RequestHead(request_id, caller, repeatable, key, deadline_seconds))


def is_name(value: str) -> bool:
    """Return whether a value is valid as request id, caller or key: short printable ASCII."""
    return 0 < len(value) <= MAXIMUM_NAME_CHARACTERS and value.isascii() and value.isprintable()


def parse_request(
    event: RequestReceived,
    head: RequestHead,
    pools: Mapping[str, Pool],
    settings: RequestSettings,
) -> Result[CallerRequest, MerlinstandError]:
    """Convert a request whose size and headers are valid.

    Args:
        event: The request.
        head: Headers of the request, from `parse_head`.
        pools: Configured pools by name.
        settings: Limits and default deadlines.

    Returns:
        The request, or `MethodNotAllowedError`, `InvalidInputError`, `UnknownPoolError` or
        `MissingKeyError`. A request with an error is not run.
    """
    if event.path.split("?", 1)[0] == COMPLETIONS_PATH:
        return _parse_generation(event, head, pools, settings)
    return _parse_lookup(event, head, pools, settings)


def _parse_generation(
    event: RequestReceived,
    head: RequestHead,
    pools: Mapping[str, Pool],
    settings: RequestSettings,
) -> Result[CallerRequest, MerlinstandError]:
    if event.method != "POST":
        return Err(MethodNotAllowedError(detail="completions are asked for with POST"))
    decoded = _decode_completion(event.body)
    if isinstance(decoded, Err):
        return decoded
    completion = decoded.ok_value
    pool = _engine_pool(pools, completion.model)
    if pool is None:
        return Err(UnknownPoolError(detail=f"no pool serves the model {completion.model[:100]!r}"))
    prompt_tokens = len(completion.prompt) // CHARACTERS_PER_TOKEN + 1
    return _build_request(
        event,
        head,
        settings,
        kind=RequestKind.GENERATION,
        pool=pool,
        path=COMPLETIONS_PATH,
        repeatable=True if head.repeatable is None else head.repeatable,
        default_deadline_seconds=settings.generation_deadline_seconds,
        cost=float(prompt_tokens + completion.max_tokens),
        completion=completion,
    )


def _decode_completion(body: bytes) -> Result[CompletionBody, MerlinstandError]:
    try:
        completion = _COMPLETION_DECODER.decode(body)
    except DECODE_ERRORS as error:
        return Err(InvalidInputError(detail=f"body: {error}"))
    if not 1 <= completion.max_tokens <= MAXIMUM_TOKENS:
        return Err(InvalidInputError(detail=f"max_tokens must be from 1 to {MAXIMUM_TOKENS}"))
    if abs(completion.priority) > PRIORITY_LIMIT:
        return Err(InvalidInputError(detail="priority out of range"))
    if not -SEED_LIMIT <= completion.seed < SEED_LIMIT:
        return Err(InvalidInputError(detail="seed out of range"))
    if completion.resume is not None and bytes(completion.resume) != b"null":
        return Err(InvalidInputError(detail="resume is for engines only"))
    return Ok(completion)


def _engine_pool(pools: Mapping[str, Pool], model: str) -> Pool | None:
    """Return the engine pool that serves a model, the first by name if several do; else None."""
    if not model:
        return None
    names = [
        name for name, pool in pools.items() if pool.kind is PoolKind.ENGINE and pool.model == model
    ]
    return pools[min(names)] if names else None


def _parse_lookup(
    event: RequestReceived,
    head: RequestHead,
    pools: Mapping[str, Pool],
    settings: RequestSettings,
) -> Result[CallerRequest, MerlinstandError]:
    if not event.path.startswith("/") or not event.path.isascii():
        return Err(InvalidInputError(detail="path must begin with / and be percent-encoded"))
    name, separator, rest = event.path[1:].partition("/")
    name, question_mark, query = (name, "", "") if separator else name.partition("?")
    path = "/" + rest if separator else "/" + question_mark + query
    pool = pools.get(name)
    if pool is None or pool.kind is not PoolKind.SERVICE:
        return Err(UnknownPoolError(detail=f"no service pool {name[:100]!r}"))
    return _build_request(
        event,
        head,
        settings,
        kind=RequestKind.LOOKUP,
        pool=pool,
        path=path,
        repeatable=_is_repeatable(head, pool, event.method, path),
        default_deadline_seconds=pool.request_timeout_seconds,
        cost=1.0 + len(event.body) / BYTES_PER_LOOKUP_COST,
        completion=None,
    )


def _is_repeatable(head: RequestHead, pool: Pool, method: str, path: str) -> bool:
    """Return whether a lookup may be sent twice, by its header or else by the pool's settings."""
    if head.repeatable is not None:
        return head.repeatable
    if method == "POST" and any(path.startswith(prefix) for prefix in pool.not_repeatable_paths):
        return False
    return pool.repeatable


def _build_request(
    event: RequestReceived,
    head: RequestHead,
    settings: RequestSettings,
    *,
    kind: RequestKind,
    pool: Pool,
    path: str,
    repeatable: bool,
    default_deadline_seconds: float,
    cost: float,
    completion: CompletionBody | None,
) -> Result[CallerRequest, MerlinstandError]:
    if not repeatable and not head.idempotency_key:
        return Err(MissingKeyError(detail="not repeatable: Idempotency-Key is needed"))
    default_seconds = min(default_deadline_seconds, settings.maximum_deadline_seconds)
    return Ok(
        CallerRequest(
            kind=kind,
            pool=pool,
            caller=head.caller,
            request_id=head.request_id,
            repeatable=repeatable,
            idempotency_key="" if repeatable else f"{pool.name}/{head.idempotency_key}",
            digest="" if repeatable else request_digest(event.method, path, event.body),
            deadline_seconds=head.deadline_seconds or default_seconds,
            method=event.method,
            path=path,
            headers=_backend_headers(event, head, repeatable),
            body=event.body,
            cost=cost,
            completion=completion,
            affinity=None if completion is None else prompt_affinity(completion.prompt),
        )
    )


def _backend_headers(event: RequestReceived, head: RequestHead, repeatable: bool) -> dict[str, str]:
    """Return the headers for the backend: end-to-end headers and the gateway's own headers."""
    headers = forwarded_headers(event.headers, _OWN_HEADERS)
    headers[REQUEST_ID_HEADER] = head.request_id
    headers[REPEATABLE_HEADER] = "true" if repeatable else "false"
    if head.idempotency_key:
        headers[IDEMPOTENCY_KEY_HEADER] = head.idempotency_key
    return headers


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest that distinguishes requests under one idempotency key."""
    digest = xxhash.xxh3_128()
    digest.update(f"{method} {path}\n".encode("utf-8", "surrogatepass"))
    digest.update(body)
    return str(digest.hexdigest())


def _parse_seconds(text: str) -> float | None:
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if math.isfinite(seconds) and seconds > 0.0 else None
