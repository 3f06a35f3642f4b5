"""Why a gateway did not give the back end's answer."""

from typing import ClassVar

from merlinstand.common.errors import (
    ConflictError,
    InvalidInputError,
    NotFoundError,
    UnavailableError,
)


class MissingKeyError(InvalidInputError, frozen=True, kw_only=True):
    """A request that is not repeatable came without `Idempotency-Key`."""

    code: ClassVar[str] = "missing_idempotency_key"


class UnknownPoolError(NotFoundError, frozen=True, kw_only=True):
    """No such service pool, or no pool serves the model."""

    code: ClassVar[str] = "unknown_pool"


class KeyReusedError(InvalidInputError, frozen=True, kw_only=True):
    """Another request already used this idempotency key; this one was not run."""

    code: ClassVar[str] = "idempotency_key_reused"
    http_status: ClassVar[int] = 422


class RateLimitedError(UnavailableError, frozen=True, kw_only=True):
    """The caller used up what its limits allow for the moment."""

    code: ClassVar[str] = "rate_limited"
    http_status: ClassVar[int] = 429


class OverloadedError(UnavailableError, frozen=True, kw_only=True):
    """Too much work waits; this request would not be done in time."""

    code: ClassVar[str] = "overloaded"


class ConfigurationStaleError(UnavailableError, frozen=True, kw_only=True):
    """The gateway cannot prove that its configuration is the one in force."""

    code: ClassVar[str] = "configuration_stale"


class ClaimUnavailableError(UnavailableError, frozen=True, kw_only=True):
    """The control group did not grant the idempotency key in time; nothing was sent."""

    code: ClassVar[str] = "claim_unavailable"


class BackendRefusedError(UnavailableError, frozen=True, kw_only=True):
    """Every back end tried refused before any work, or could not be reached."""

    code: ClassVar[str] = "backend_refused"


class DeadlinePassedError(UnavailableError, frozen=True, kw_only=True):
    """The deadline passed before the request was sent anywhere."""

    code: ClassVar[str] = "deadline_passed"


class ClaimPendingError(ConflictError, frozen=True, kw_only=True):
    """A request under this key is under way; whether it runs is not known yet."""

    code: ClassVar[str] = "claim_pending"
