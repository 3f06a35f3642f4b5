"""Commands that a hollow daemon submits to the control group, to load it."""

import enum

import msgspec

from merlinstand.configuration.objects import Limits, encode_object
from merlinstand.control.commands import (
    BatchSample,
    ClaimRequest,
    Command,
    CommitBatch,
    PutObject,
)


class LoadKind(enum.Enum):
    """Which command is submitted."""

    CLAIM = "claim"
    """A claim of a new idempotency key: the smallest command of the request path."""
    PUT = "put"
    """A change of one small configuration object."""
    BATCH = "batch"
    """A batch of the ledger with `samples` samples."""


class CommandLoadSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How many commands a hollow daemon submits."""

    kind: LoadKind
    window: int = 1
    """Commands under way at a time; a finished one is followed at once by the next."""
    samples: int = 0
    """Samples of a batch."""
    job: str = ""
    consumer: str = ""
    lease_epoch: int = 0
    interval_seconds: float = 0.0
    """Time between the end of a command and the next; 0 goes on at once."""


def make_command(settings: CommandLoadSettings, node_id: str, number: int) -> Command:
    """Return the command of a running number."""
    if settings.kind is LoadKind.CLAIM:
        return ClaimRequest(
            idempotency_key=f"book-app/{node_id}-{number}",
            request_digest=f"{number:016x}",
            owner=node_id,
            owner_incarnation=1,
        )
    if settings.kind is LoadKind.PUT:
        key = f"limits/{node_id}"
        return PutObject(key=key, value=encode_object(Limits(caller=node_id, weight=1.0 + number)))
    return make_batch(settings, number)


def make_batch(settings: CommandLoadSettings, number: int) -> CommitBatch:
    """Return batch `number` of the settings' consumer, counted from 1."""
    first_slot = (number - 1) * settings.samples
    return CommitBatch(
        job=settings.job,
        consumer=settings.consumer,
        batch=number,
        nonce=f"{number:016x}",
        trainer_version=1,
        samples=tuple(
            BatchSample(slot, f"{settings.job}/{slot}/0", 1)
            for slot in range(first_slot, first_slot + settings.samples)
        ),
        lease_epoch=settings.lease_epoch,
    )
