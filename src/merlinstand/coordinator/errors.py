"""Failures that trainers and operators see."""

from typing import ClassVar

from merlinstand.common.errors import (
    ConflictError,
    MerlinstandError,
    NotFoundError,
    UnavailableError,
)


class UnknownJobError(NotFoundError, frozen=True, kw_only=True):
    """No such job, or it was cancelled."""

    code: ClassVar[str] = "unknown_job"


class UnknownConsumerError(NotFoundError, frozen=True, kw_only=True):
    """The job has no such consumer."""

    code: ClassVar[str] = "unknown_consumer"


class NotReadyError(MerlinstandError, frozen=True, kw_only=True):
    """The batch is not ready; nothing is lost, ask again."""

    code: ClassVar[str] = "not_ready"
    http_status: ClassVar[int] = 202


class NotOwnerError(UnavailableError, frozen=True, kw_only=True):
    """Another coordinator leads the job."""

    code: ClassVar[str] = "not_owner"
    http_status: ClassVar[int] = 421


class NoLeaseError(UnavailableError, frozen=True, kw_only=True):
    """No coordinator is known to lead the job; ask again."""

    code: ClassVar[str] = "no_lease"


class RewoundError(ConflictError, frozen=True, kw_only=True):
    """The trainer stands before the ledger: it fell back to an older checkpoint.

    An operator must rewind the job if that is meant.
    """

    code: ClassVar[str] = "rewound"


class AheadError(ConflictError, frozen=True, kw_only=True):
    """The trainer says it received a batch that was never committed."""

    code: ClassVar[str] = "ahead"


class NonceUsedError(ConflictError, frozen=True, kw_only=True):
    """The batch must be composed anew, which needs a new nonce."""

    code: ClassVar[str] = "nonce_used"


class SupersededError(ConflictError, frozen=True, kw_only=True):
    """The same consumer asked again meanwhile; only its newest request is answered."""

    code: ClassVar[str] = "superseded"


class JobNotActiveError(ConflictError, frozen=True, kw_only=True):
    """The job is in mirror mode: the team's own scripts lead it."""

    code: ClassVar[str] = "not_active"
