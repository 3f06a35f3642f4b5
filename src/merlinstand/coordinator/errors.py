"""Errors that trainers and operators receive."""

from typing import ClassVar

from merlinstand.common.errors import (
    ConflictError,
    MerlinstandError,
    NotFoundError,
    UnavailableError,
)


class UnknownJobError(NotFoundError, frozen=True, kw_only=True):
    """The job does not exist, or was cancelled."""

    code: ClassVar[str] = "unknown_job"


class UnknownConsumerError(NotFoundError, frozen=True, kw_only=True):
    """The job has no such consumer."""

    code: ClassVar[str] = "unknown_consumer"


class NotReadyError(MerlinstandError, frozen=True, kw_only=True):
    """The batch is not ready; the same request may be sent again."""

    code: ClassVar[str] = "not_ready"
    http_status: ClassVar[int] = 202


class NotOwnerError(UnavailableError, frozen=True, kw_only=True):
    """Another coordinator leads the job."""

    code: ClassVar[str] = "not_owner"
    http_status: ClassVar[int] = 421


class NoLeaseError(UnavailableError, frozen=True, kw_only=True):
    """No coordinator is known to lead the job; the request may be sent again."""

    code: ClassVar[str] = "no_lease"


class RewoundError(ConflictError, frozen=True, kw_only=True):
    """The trainer's position is behind the ledger's: it was restored from an older checkpoint.

    If that is intended, an operator must rewind the job.
    """

    code: ClassVar[str] = "rewound"


class AheadError(ConflictError, frozen=True, kw_only=True):
    """The trainer claims to have received a batch that was never committed."""

    code: ClassVar[str] = "ahead"


class NonceUsedError(ConflictError, frozen=True, kw_only=True):
    """The batch must be composed again, which requires a new nonce."""

    code: ClassVar[str] = "nonce_used"


class SupersededError(ConflictError, frozen=True, kw_only=True):
    """The consumer has sent a newer request; only the newest one gets a batch."""

    code: ClassVar[str] = "superseded"


class JobNotActiveError(ConflictError, frozen=True, kw_only=True):
    """The job is in mirror mode: the team's own scripts feed its trainers."""

    code: ClassVar[str] = "not_active"
