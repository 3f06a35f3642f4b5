"""Errors that the gateway rejects requests with, and their retry delays.

`NoBackendError` and `PoolBusyError` are created by `routing.router` with their own delays. A delay
is sent exactly in the body (`retry_after_seconds`), and in whole seconds, rounded up and at least
1, as `Retry-After` (`outcome.retry_after_value`). The functions are pure; the code that calls them
chooses the `Outcome`.
"""

from merlinstand.common.errors import StoppingError
from merlinstand.gateway.errors import (
    BackendRefusedError,
    ClaimPendingError,
    ClaimUnavailableError,
    ConfigurationStaleError,
    DeadlinePassedError,
    KeyReusedError,
    OverloadedError,
    RateLimitedError,
)

OVERLOADED_RETRY_SECONDS = 1.0
"""Retry delay of a gateway that is full or lagging, so that rejections do not keep it busy."""

STOPPING_RETRY_SECONDS = 1.0
"""Retry delay of a stopping gateway. The retry should reach another gateway, as this one only
responds for `StopSettings.grace_seconds`."""

DEADLINE_RETRY_SECONDS = 1.0
"""Retry delay after a deadline that passed before the request was sent, and minimum retry delay
after a rejection because of the expected wait in a queue."""

CLAIM_RETRY_SECONDS = 1.0
"""Retry delay if the control group did not grant a claim in time, or if a claim could not be
requested."""

MINIMUM_STALE_RETRY_SECONDS = 0.1
"""Minimum retry delay of a gateway without a configuration lease."""

REFUSED_RETRY_SECONDS = 0.5
"""Retry delay if all attempted backends were unreachable or refused without `Retry-After`."""


def gateway_overloaded(detail: str) -> OverloadedError:
    """Return the error for a request above a limit of the whole gateway.

    Args:
        detail: Description of the limit, for the response.
    """
    return OverloadedError(detail=detail, retry_after_seconds=OVERLOADED_RETRY_SECONDS)


def would_wait_too_long(expected_seconds: float) -> OverloadedError:
    """Return the error for a request that would exceed its maximum wait in a pool's queue.

    Args:
        expected_seconds: Expected wait according to the pool's completion rate; 0 if the rate is
            not known.
    """
    return OverloadedError(
        detail="too much work waits",
        retry_after_seconds=max(DEADLINE_RETRY_SECONDS, expected_seconds),
    )


def rate_limited(wait_seconds: float) -> RateLimitedError:
    """Return the error for a caller above its rate limit.

    Args:
        wait_seconds: Time until the caller's token buckets allow a request.
    """
    return RateLimitedError(
        detail="the caller's rate limit is used up", retry_after_seconds=wait_seconds
    )


def stopping() -> StoppingError:
    """Return the error for a request that arrives during a planned stop."""
    return StoppingError(
        detail="the gateway is stopping", retry_after_seconds=STOPPING_RETRY_SECONDS
    )


def stale_configuration(seconds_until_retry: float) -> ConfigurationStaleError:
    """Return the error of a gateway without a configuration lease.

    Args:
        seconds_until_retry: `ControlSession.seconds_until_retry`.
    """
    return ConfigurationStaleError(
        detail="cannot prove the configuration current",
        retry_after_seconds=max(MINIMUM_STALE_RETRY_SECONDS, seconds_until_retry),
    )


def deadline_passed() -> DeadlinePassedError:
    """Return the error for a request whose deadline passed before it was sent."""
    return DeadlinePassedError(
        detail="nothing was sent before the deadline",
        retry_after_seconds=DEADLINE_RETRY_SECONDS,
    )


def claim_unavailable(detail: str) -> ClaimUnavailableError:
    """Return the error for a request whose claim on its idempotency key was not granted.

    Args:
        detail: Reason, for the response.
    """
    return ClaimUnavailableError(detail=detail, retry_after_seconds=CLAIM_RETRY_SECONDS)


def claim_pending(retry_after_seconds: float) -> ClaimPendingError:
    """Return the error for a duplicate of a request in flight.

    Args:
        retry_after_seconds: `ClaimSettings.pending_retry_seconds`.
    """
    return ClaimPendingError(
        detail="a request under this key is under way",
        retry_after_seconds=retry_after_seconds,
    )


def key_reused() -> KeyReusedError:
    """Return the error for a different request under a used key, which has no retry delay."""
    return KeyReusedError(detail="another request already used this idempotency key")


def backend_refused(reason: str, retry_after_seconds: float | None) -> BackendRefusedError:
    """Return the error for a request that no backend ran.

    Args:
        reason: Short code of the last failure.
        retry_after_seconds: `Retry-After` of the last refusal; None if there was none.
    """
    if retry_after_seconds is None:
        retry_after_seconds = REFUSED_RETRY_SECONDS
    return BackendRefusedError(detail=f"not run: {reason}", retry_after_seconds=retry_after_seconds)
