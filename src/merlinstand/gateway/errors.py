"""Errors with which a gateway rejects requests."""

from typing import ClassVar

from merlinstand.common.errors import (
    ConflictError,
    InvalidInputError,
    NotFoundError,
    UnavailableError,
)


class MissingKeyError(InvalidInputError, frozen=True, kw_only=True):
    """A request that is not repeatable has no `Idempotency-Key`."""

    code: ClassVar[str] = "missing_idempotency_key"


class UnknownPoolError(NotFoundError, frozen=True, kw_only=True):
    """There is no such service pool, or no pool that serves the model."""

    code: ClassVar[str] = "unknown_pool"


class KeyReusedError(InvalidInputError, frozen=True, kw_only=True):
    """A different request already used this idempotency key; the present request was not run."""

    code: ClassVar[str] = "idempotency_key_reused"
    http_status: ClassVar[int] = 422


class RateLimitedError(UnavailableError, frozen=True, kw_only=True):
    """The caller exceeded its rate limit."""

    code: ClassVar[str] = "rate_limited"
    http_status: ClassVar[int] = 429


class OverloadedError(UnavailableError, frozen=True, kw_only=True):
    """The gateway or the pool's queue is too full for this request."""

    code: ClassVar[str] = "overloaded"


class ConfigurationStaleError(UnavailableError, frozen=True, kw_only=True):
    """The gateway has no configuration lease, so its configuration may be outdated."""

    code: ClassVar[str] = "configuration_stale"


class ClaimUnavailableError(UnavailableError, frozen=True, kw_only=True):
    """The control group did not grant the claim on the idempotency key; nothing was sent."""

    code: ClassVar[str] = "claim_unavailable"


class BackendRefusedError(UnavailableError, frozen=True, kw_only=True):
    """Every attempted backend was unreachable or refused the request before running it."""

    code: ClassVar[str] = "backend_refused"


class DeadlinePassedError(UnavailableError, frozen=True, kw_only=True):
    """The deadline passed before the request was sent to any backend."""

    code: ClassVar[str] = "deadline_passed"


class ClaimPendingError(ConflictError, frozen=True, kw_only=True):
    """A request under this idempotency key is in flight; its outcome is not known yet."""

    code: ClassVar[str] = "claim_pending"
