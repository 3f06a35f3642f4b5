"""Pulls batches for a trainer.

`TrainerClient` tracks a trainer's position. A batch counts as received when `next_batch` returns
it, and is acknowledged by the request for the next one, so the position must be saved with the
trainer's checkpoint.
"""

import random
import time
import uuid
from collections.abc import Callable, Sequence
from http import HTTPStatus
from urllib.parse import quote

import msgspec
from result import Err, Ok, Result

from merlinstand.client.errors import (
    BatchNotReadyError,
    ClientError,
    NoAnswerError,
    PositionError,
    RejectedError,
)
from merlinstand.client.http_json import (
    INITIAL_BACKOFF_SECONDS,
    RETRYABLE_STATUSES,
    ErrorResponse,
    HttpResponse,
    decode_error,
    post_json,
)
from merlinstand.common.boot_clock import boot_seconds
from merlinstand.common.decoding import DECODE_ERRORS

MAXIMUM_BACKOFF_SECONDS = 5.0
POSITION_ERROR_CODES = frozenset({"rewound", "ahead"})
RETRYABLE_CONFLICT_CODES = frozenset({"nonce_used", "superseded", "conflict"})


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """One sample to train on."""

    sample_id: str
    slot: int
    job: str
    prompt_id: str
    attempt: int
    prompt: str
    text: str
    token_count: int
    weight_versions: tuple[tuple[int, int, int], ...]
    """`(version, first_token, end_token)`, in order and without gaps."""
    weight: float
    score: float | None = None


class Batch(msgspec.Struct, frozen=True, kw_only=True):
    """A batch, received exactly once."""

    job: str
    consumer: str
    batch: int
    nonce: str
    newest_version: int
    """Newest published version when the batch was committed."""
    samples: tuple[Sample, ...]
    use_within_seconds: float | None = None
    """Seconds from the request after which the batch may exceed its staleness bound."""


class Position(msgspec.Struct, frozen=True):
    """Last received batch, which a trainer must save with its checkpoint."""

    last_received_batch: int = 0
    last_received_nonce: str = ""


class _PullBody(msgspec.Struct, frozen=True, kw_only=True):
    consumer: str
    last_received_batch: int
    trainer_version: int
    nonce: str
    last_received_nonce: str


_BATCH_DECODER = msgspec.json.Decoder(Batch)


class TrainerClient:
    """Pulls the batches of one consumer of one job in sequence.

    Not thread-safe. Publish new weights before requesting the next batch: staleness is measured
    against the newest published version. A response that took longer than `use_within_seconds` is
    dropped and its batch requested again, because another trainer may have published meanwhile.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        job: str,
        consumer: str,
        *,
        position: Position | None = None,
        request_timeout_seconds: float = 30.0,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        """Create a client.

        Args:
            addresses: HTTP addresses (`ip:port`) of all coordinators.
            job: The job's name.
            consumer: This trainer's name among the job's consumers.
            position: Position to resume from, from a checkpoint; None starts at batch 1.
            request_timeout_seconds: Timeout of each socket operation. Coordinators hold a request
                for up to their `pull_hold_seconds`, so keep it well above that.
            sleep: Called to wait between attempts; replaced in tests.

        Raises:
            ValueError: No address was given.
        """
        if not addresses:
            raise ValueError("no coordinator address")
        self._addresses = list(addresses)
        self._job = job
        self._consumer = consumer
        self.position = position or Position()
        self._request_timeout_seconds = request_timeout_seconds
        self._sleep = sleep
        self._address_index = 0
        self._owner = ""
        self._random = random.Random()

    def next_batch(
        self, trainer_version: int, *, deadline_seconds: float = 600.0
    ) -> Result[Batch, ClientError]:
        """Request the next batch until it arrives, and acknowledge the previous one.

        Args:
            trainer_version: Newest weight version that this trainer published or trains from.
            deadline_seconds: The last error is returned when the next attempt would begin
                after this time. Calling again later is safe.

        Returns:
            The batch, which now counts as received: save `position` with the checkpoint that
            includes it.
        """
        deadline = boot_seconds() + deadline_seconds
        backoff_seconds = INITIAL_BACKOFF_SECONDS
        while True:
            outcome = self._request_batch(trainer_version)
            if not isinstance(outcome, Err) or isinstance(
                outcome.err_value, PositionError | RejectedError
            ):
                return outcome
            wait_seconds = outcome.err_value.retry_after_seconds
            if wait_seconds is None:
                wait_seconds = backoff_seconds * self._random.uniform(0.5, 1.0)
                backoff_seconds = min(backoff_seconds * 2.0, MAXIMUM_BACKOFF_SECONDS)
            else:
                backoff_seconds = INITIAL_BACKOFF_SECONDS
            if boot_seconds() + wait_seconds >= deadline:
                return outcome
            self._sleep(wait_seconds)

    def _request_batch(self, trainer_version: int) -> Result[Batch, ClientError]:
        # Each attempt has its own nonce, so that a response to an earlier one is recognised.
        nonce = uuid.uuid4().hex
        body = _PullBody(
            consumer=self._consumer,
            last_received_batch=self.position.last_received_batch,
            trainer_version=trainer_version,
            nonce=nonce,
            last_received_nonce=self.position.last_received_nonce,
        )
        address = self._owner or self._addresses[self._address_index % len(self._addresses)]
        sent_at = boot_seconds()
        result = post_json(
            address,
            f"/v1/jobs/{quote(self._job, safe='')}/batches",
            msgspec.json.encode(body),
            timeout_seconds=self._request_timeout_seconds,
        )
        if isinstance(result, Err):
            self._select_next_address()
            return result
        response = result.ok_value
        if response.status == HTTPStatus.OK:
            return self._accept_response(response, nonce, sent_at)
        return Err(self._make_error(response))

    def _accept_response(
        self, response: HttpResponse, nonce: str, sent_at: float
    ) -> Result[Batch, ClientError]:
        try:
            batch = _BATCH_DECODER.decode(response.body)
        except DECODE_ERRORS as error:
            self._select_next_address()
            return Err(NoAnswerError(detail=f"malformed batch: {error}"))
        expected = self.position.last_received_batch + 1
        if (batch.nonce, batch.batch, batch.job, batch.consumer) != (
            nonce,
            expected,
            self._job,
            self._consumer,
        ):
            return Err(NoAnswerError(detail="dropped a response to another request"))
        limit_seconds = batch.use_within_seconds
        if limit_seconds is not None and boot_seconds() - sent_at > limit_seconds:
            detail = "dropped a late response: the batch may exceed its staleness bound"
            return Err(NoAnswerError(detail=detail, retry_after_seconds=0.0))
        self.position = Position(batch.batch, batch.nonce)
        return Ok(batch)

    def _make_error(self, response: HttpResponse) -> ClientError:
        error = decode_error(response)
        if response.status == HTTPStatus.MISDIRECTED_REQUEST and error.owner:
            return self._follow_owner(error)
        if response.status == HTTPStatus.ACCEPTED:
            return BatchNotReadyError(
                detail=error.detail, retry_after_seconds=error.retry_after_seconds
            )
        if response.status == HTTPStatus.CONFLICT and error.code in POSITION_ERROR_CODES:
            return PositionError(detail=error.detail, server_code=error.code)
        if response.status == HTTPStatus.CONFLICT and error.code in RETRYABLE_CONFLICT_CODES:
            return NoAnswerError(detail=error.detail, retry_after_seconds=0.0)
        if response.status in RETRYABLE_STATUSES:
            self._select_next_address()
            return NoAnswerError(detail=error.detail, retry_after_seconds=error.retry_after_seconds)
        return RejectedError(detail=error.detail, server_code=error.code, status=response.status)

    def _follow_owner(self, error: ErrorResponse) -> NoAnswerError:
        known = error.owner == self._owner
        self._owner = error.owner
        # Two coordinators may name each other as owner during a handover; back off instead of
        # retrying in a tight loop.
        retry_after_seconds = None if known else 0.0
        return NoAnswerError(detail=error.detail, retry_after_seconds=retry_after_seconds)

    def _select_next_address(self) -> None:
        self._owner = ""
        self._address_index += 1
