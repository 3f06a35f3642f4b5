"""Publishing weights.

Sends the `publish_weights` command of `control/commands` to whichever control replica leads.
"""

import random
import time
import uuid
from collections.abc import Callable, Sequence

import msgspec
from result import Err, Ok, Result

from merlinstand.client.errors import ClientError, NoAnswerError, RejectedError
from merlinstand.client.http_json import (
    ASK_AGAIN_STATUSES,
    FIRST_BACK_OFF_SECONDS,
    HttpAnswer,
    decode_error,
    post_json,
)
from merlinstand.common.boot_clock import boot_seconds
from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.control.commands import PublishWeights

REQUEST_TIMEOUT_SECONDS = 10.0
"""Longest wait for one replica to connect, and for each piece of its answer. Chosen, not
measured."""
LONGEST_BACK_OFF_SECONDS = 2.0
"""Longest pause between two tries. Chosen, not measured."""


class Published(msgspec.Struct, frozen=True):
    """A version is published: samples are judged against it from now on."""

    model: str
    version: int
    revision: int


class _Outcome(msgspec.Struct, frozen=True, kw_only=True):
    outcome: str
    code: str = ""
    detail: str = ""


class _CommandAnswer(msgspec.Struct, frozen=True, kw_only=True):
    revision: int
    outcome: _Outcome


class _CommandBody(msgspec.Struct, frozen=True, kw_only=True):
    command_id: str
    command: PublishWeights


class _Request(msgspec.Struct, frozen=True, kw_only=True):
    """What is sent to every replica that is asked."""

    body: bytes
    headers: dict[str, str]
    weights: PublishWeights


class _AskElsewhere(msgspec.Struct, frozen=True):
    """One replica gave no final answer."""

    problem: NoAnswerError
    leader: str = ""
    """HTTP address of the replica that leads, if it was named."""


def publish_weights(
    addresses: Sequence[str],
    weights: PublishWeights,
    *,
    token: str = "",
    deadline_seconds: float = 60.0,
    sleep: Callable[[float], None] = time.sleep,
) -> Result[Published, ClientError]:
    """Publish the next version of a model that was put into the weight store before.

    The command is sent under one command id until it is answered, so it is applied once
    however often it is sent.

    Args:
        addresses: HTTP addresses of the control replicas.
        weights: Model, version (the newest + 1), digest, source and size.
        token: Operator's token, needed where control is bound beyond loopback.
        deadline_seconds: Longest to try.
        sleep: Waits between tries; replaced in tests.

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
    return _ask_until(boot_seconds() + deadline_seconds, addresses, request, sleep)


def _ask_until(
    ends_at: float, addresses: Sequence[str], request: _Request, sleep: Callable[[float], None]
) -> Result[Published, ClientError]:
    """Ask the replicas in turn, and a leader that one of them names first.

    Args:
        ends_at: By `boot_seconds`; no pause begins that would reach beyond it.
        addresses: At least one.
        request: What to ask.
        sleep: Waits a number of seconds.
    """
    back_off_seconds = FIRST_BACK_OFF_SECONDS
    tries = 0
    leader = ""
    while True:
        address = leader or addresses[tries % len(addresses)]
        tries += 1
        outcome = _ask(address, request)
        if not isinstance(outcome, _AskElsewhere):
            return outcome
        if boot_seconds() + back_off_seconds >= ends_at:
            return Err(outcome.problem)
        leader = outcome.leader
        # Also before asking the named leader: during an election replicas may name each other.
        sleep(back_off_seconds * random.uniform(0.5, 1.0))
        if not leader:
            back_off_seconds = min(back_off_seconds * 2.0, LONGEST_BACK_OFF_SECONDS)


def _ask(address: str, request: _Request) -> "Result[Published, ClientError] | _AskElsewhere":
    """Ask one replica."""
    answered = post_json(
        address,
        "/v1/commands",
        request.body,
        timeout_seconds=REQUEST_TIMEOUT_SECONDS,
        headers=request.headers,
    )
    if isinstance(answered, Err):
        return _AskElsewhere(answered.err_value)
    answer = answered.ok_value
    if answer.status not in ASK_AGAIN_STATUSES:
        return _finished(answer, request.weights)
    error = decode_error(answer)
    return _AskElsewhere(NoAnswerError(detail=f"{address}: {error.detail}"), error.leader)


def _finished(answer: HttpAnswer, weights: PublishWeights) -> Result[Published, ClientError]:
    try:
        decoded = msgspec.json.decode(answer.body, type=_CommandAnswer)
    except DECODE_ERRORS:
        error = decode_error(answer)
        return Err(RejectedError(detail=error.detail, server_code=error.code, status=answer.status))
    if decoded.outcome.outcome == "done":
        return Ok(Published(weights.model, weights.version, decoded.revision))
    return Err(
        RejectedError(
            detail=decoded.outcome.detail,
            server_code=decoded.outcome.code,
            status=answer.status,
        )
    )
