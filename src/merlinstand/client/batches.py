"""Pulling batches.

`TrainerClient` owns a trainer's position. A batch counts as received when `next_batch` returns it,
and is acknowledged by the request for the next one, so the position belongs with the trainer's
checkpoint.
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
    ASK_AGAIN_STATUSES,
    FIRST_BACK_OFF_SECONDS,
    ErrorAnswer,
    HttpAnswer,
    decode_error,
    post_json,
)
from merlinstand.common.boot_clock import boot_seconds
from merlinstand.common.decoding import DECODE_ERRORS

LONGEST_BACK_OFF_SECONDS = 5.0
"""Longest pause between two tries. Chosen, not measured."""
POSITION_CODES = frozenset({"rewound", "ahead"})
AGAIN_CODES = frozenset({"nonce_used", "superseded", "conflict"})


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
    """Seconds from the request after which the batch may be older than its bound."""


class Position(msgspec.Struct, frozen=True):
    """What a trainer must keep with its checkpoint."""

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
    """Pulls the batches of one consumer of one job, one after another.

    Not thread-safe. Publish new weights before asking for the next batch: staleness is
    judged against the newest published version. An answer that took so long that another
    trainer may have published meanwhile is dropped, and its batch asked for again.
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
        """Make a client.

        Args:
            addresses: HTTP addresses (`ip:port`) of all coordinators.
            job: The job's name.
            consumer: This trainer's name among the job's consumers.
            position: Where to go on, from a checkpoint; None begins at batch 1.
            request_timeout_seconds: Longest wait for one answer. Coordinators hold a request
                for up to their `pull_hold_seconds`, so keep it well above that.
            sleep: Waits between tries; replaced in tests.

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
        self._current = 0
        self._owner = ""
        self._jitter = random.Random()

    def next_batch(
        self, trainer_version: int, *, deadline_seconds: float = 600.0
    ) -> Result[Batch, ClientError]:
        """Ask for the next batch until it comes, and acknowledge the one before it.

        Args:
            trainer_version: Newest weight version that this trainer published or trains from.
            deadline_seconds: After this long the last failure is returned; asking again later
                is harmless.

        Returns:
            The batch. It counts as received: keep `position` with the checkpoint that holds
            it.
        """
        ends_at = boot_seconds() + deadline_seconds
        back_off_seconds = FIRST_BACK_OFF_SECONDS
        while True:
            outcome = self._try_once(trainer_version)
            if not isinstance(outcome, Err) or isinstance(
                outcome.err_value, PositionError | RejectedError
            ):
                return outcome
            wait_seconds = outcome.err_value.retry_after_seconds
            if wait_seconds is None:
                wait_seconds = back_off_seconds * self._jitter.uniform(0.5, 1.0)
                back_off_seconds = min(back_off_seconds * 2.0, LONGEST_BACK_OFF_SECONDS)
            else:
                back_off_seconds = FIRST_BACK_OFF_SECONDS
            if boot_seconds() + wait_seconds >= ends_at:
                return outcome
            self._sleep(wait_seconds)

    def _try_once(self, trainer_version: int) -> Result[Batch, ClientError]:
        # Every try has its own nonce, so an answer to an earlier one can be told apart.
        nonce = uuid.uuid4().hex
        body = _PullBody(
            consumer=self._consumer,
            last_received_batch=self.position.last_received_batch,
            trainer_version=trainer_version,
            nonce=nonce,
            last_received_nonce=self.position.last_received_nonce,
        )
        address = self._owner or self._addresses[self._current % len(self._addresses)]
        sent_at = boot_seconds()
        answered = post_json(
            address,
            f"/v1/jobs/{quote(self._job, safe='')}/batches",
            msgspec.json.encode(body),
            timeout_seconds=self._request_timeout_seconds,
        )
        if isinstance(answered, Err):
            self._try_elsewhere()
            return answered
        answer = answered.ok_value
        if answer.status == HTTPStatus.OK:
            return self._accept(answer, nonce, sent_at)
        return Err(self._refused(answer))

    def _accept(self, answer: HttpAnswer, nonce: str, sent_at: float) -> Result[Batch, ClientError]:
        try:
            batch = _BATCH_DECODER.decode(answer.body)
        except DECODE_ERRORS as error:
            self._try_elsewhere()
            return Err(NoAnswerError(detail=f"unreadable batch: {error}"))
        expected = self.position.last_received_batch + 1
        if (batch.nonce, batch.batch, batch.job, batch.consumer) != (
            nonce,
            expected,
            self._job,
            self._consumer,
        ):
            return Err(NoAnswerError(detail="an answer to another request was dropped"))
        limit_seconds = batch.use_within_seconds
        if limit_seconds is not None and boot_seconds() - sent_at > limit_seconds:
            detail = "the answer took so long that the batch may be older than its bound"
            return Err(NoAnswerError(detail=detail, retry_after_seconds=0.0))
        self.position = Position(batch.batch, batch.nonce)
        return Ok(batch)

    def _refused(self, answer: HttpAnswer) -> ClientError:
        error = decode_error(answer)
        if answer.status == HTTPStatus.MISDIRECTED_REQUEST and error.owner:
            return self._moved(error)
        if answer.status == HTTPStatus.ACCEPTED:
            return BatchNotReadyError(
                detail=error.detail, retry_after_seconds=error.retry_after_seconds
            )
        if answer.status == HTTPStatus.CONFLICT and error.code in POSITION_CODES:
            return PositionError(detail=error.detail, server_code=error.code)
        if answer.status == HTTPStatus.CONFLICT and error.code in AGAIN_CODES:
            return NoAnswerError(detail=error.detail, retry_after_seconds=0.0)
        if answer.status in ASK_AGAIN_STATUSES:
            self._try_elsewhere()
            return NoAnswerError(detail=error.detail, retry_after_seconds=error.retry_after_seconds)
        return RejectedError(detail=error.detail, server_code=error.code, status=answer.status)

    def _moved(self, error: ErrorAnswer) -> NoAnswerError:
        known = error.owner == self._owner
        self._owner = error.owner
        # Two coordinators that name each other during a hand-over must not be asked in a
        # tight loop.
        retry_after_seconds = None if known else 0.0
        return NoAnswerError(detail=error.detail, retry_after_seconds=retry_after_seconds)

    def _try_elsewhere(self) -> None:
        self._owner = ""
        self._current += 1
