"""Publishes weights.

Sends the `publish_weights` command of `control/commands` to the leader of the control replicas.
"""

import random
import time
import uuid
from collections.abc import Callable, Sequence

import msgspec
from result import Err, Ok, Result

from merlinstand.client.errors import ClientError, NoAnswerError, RejectedError
from merlinstand.client.http_json import (
    INITIAL_BACKOFF_SECONDS,
    RETRYABLE_STATUSES,
    HttpResponse,
    decode_error,
    post_json,
)
from merlinstand.common.boot_clock import boot_seconds
from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.control.commands import PublishWeights

REQUEST_TIMEOUT_SECONDS = 10.0
"""Timeout for connecting to a replica, and for each read of its response."""
MAXIMUM_BACKOFF_SECONDS = 2.0


class Published(msgspec.Struct, frozen=True):
    """A published version: the staleness of samples is measured against it from now on."""

    model: str
    version: int
    revision: int


class _Outcome(msgspec.Struct, frozen=True, kw_only=True):
    outcome: str
    code: str = ""
    detail: str = ""


class _CommandResponse(msgspec.Struct, frozen=True, kw_only=True):
    revision: int
    outcome: _Outcome


class _CommandBody(msgspec.Struct, frozen=True, kw_only=True):
    command_id: str
    command: PublishWeights


class _Request(msgspec.Struct, frozen=True, kw_only=True):
    """The request, which is the same for every replica."""

    body: bytes
    headers: dict[str, str]
    weights: PublishWeights


class _AttemptFailed(msgspec.Struct, frozen=True):
    """One replica gave no final response; another may be tried."""

    error: NoAnswerError
    leader: str = ""
    """HTTP address of the leader, if the replica named it."""


def publish_weights(
    addresses: Sequence[str],
    weights: PublishWeights,
    *,
    token: str = "",
    deadline_seconds: float = 60.0,
    sleep: Callable[[float], None] = time.sleep,
) -> Result[Published, ClientError]:
    """Publish the next version of a model, which must already be in the weight store.

    All attempts send the command with the same command id, so it is applied at most once.

    Args:
        addresses: HTTP addresses of the control replicas.
        weights: Model, version (the newest + 1), digest, source and size.
        token: Operator's token, required unless control is bound to loopback.
        deadline_seconds: The last error is returned when waiting for the next attempt could
            pass this time.
        sleep: Called to wait between attempts; replaced in tests.

    Raises:
        ValueError: No address was given.
    """
    if not addresses:
        raise ValueError("no control address")
    request = _Request(
        body=msgspec.json.encode(_CommandBody(command_id=uuid.uuid4().hex, command=weights)),
        headers={"Authorization": f"Bearer {token}"} if token else {},
        weights=weights,
    )
    return _publish_with_retries(boot_seconds() + deadline_seconds, addresses, request, sleep)


def _publish_with_retries(
    deadline: float, addresses: Sequence[str], request: _Request, sleep: Callable[[float], None]
) -> Result[Published, ClientError]:
    """Send the command to the replicas in turn, preferring a leader that one of them named.

    Args:
        deadline: In seconds of `boot_seconds`; no wait begins that could pass it.
        addresses: HTTP addresses of the replicas, at least one.
        request: The command to send.
        sleep: Waits a number of seconds.
    """
    backoff_seconds = INITIAL_BACKOFF_SECONDS
    attempts = 0
    leader = ""
    while True:
        address = leader or addresses[attempts % len(addresses)]
        attempts += 1
        outcome = _send_command(address, request)
        if not isinstance(outcome, _AttemptFailed):
            return outcome
        if boot_seconds() + backoff_seconds >= deadline:
            return Err(outcome.error)
        leader = outcome.leader
        # Wait also before trying the named leader: during an election replicas may name each other.
        sleep(backoff_seconds * random.uniform(0.5, 1.0))
        if not leader:
            backoff_seconds = min(backoff_seconds * 2.0, MAXIMUM_BACKOFF_SECONDS)


def _send_command(
    address: str, request: _Request
) -> "Result[Published, ClientError] | _AttemptFailed":
    """Send the command to one replica."""
    result = post_json(
        address,
        "/v1/commands",
        request.body,
        timeout_seconds=REQUEST_TIMEOUT_SECONDS,
        headers=request.headers,
    )
    if isinstance(result, Err):
        return _AttemptFailed(result.err_value)
    response = result.ok_value
    if response.status not in RETRYABLE_STATUSES:
        return _decode_result(response, request.weights)
    error = decode_error(response)
    return _AttemptFailed(NoAnswerError(detail=f"{address}: {error.detail}"), error.leader)


def _decode_result(
    response: HttpResponse, weights: PublishWeights
) -> Result[Published, ClientError]:
    try:
        decoded = msgspec.json.decode(response.body, type=_CommandResponse)
    except DECODE_ERRORS:
        error = decode_error(response)
        return Err(
            RejectedError(detail=error.detail, server_code=error.code, status=response.status)
        )
    if decoded.outcome.outcome == "done":
        return Ok(Published(weights.model, weights.version, decoded.revision))
    return Err(
        RejectedError(
            detail=decoded.outcome.detail,
            server_code=decoded.outcome.code,
            status=response.status,
        )
    )
