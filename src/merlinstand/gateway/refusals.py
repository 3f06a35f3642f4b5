"""What a refused caller is answered, and after how many seconds it should come back.

Every refusal of the gateway's own is made here; `NoBackendError` and `PoolBusyError` come from
`routing.router` with times of their own. The time goes out twice: exactly in the body
(`retry_after_seconds`), and as `Retry-After` in whole seconds, rounded up, at least 1
(`outcome.retry_after_value`). The functions are pure; `Outcome` is chosen by whoever refuses.
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
"""Seconds until a caller comes back to a gateway that is full or behind, so that those refused do
not keep it busy with refusals. Chosen, not measured."""

STOPPING_RETRY_SECONDS = 1.0
"""Seconds until a caller comes back to a stopping gateway; by then it should reach another one,
since a stopping gateway answers only for `StopSettings.grace_seconds`. Chosen, not measured."""

DEADLINE_RETRY_SECONDS = 1.0
"""Seconds until a caller comes back whose time was over before its request was sent anywhere, and
the least for one that would wait too long in a queue. Chosen, not measured."""

CLAIM_RETRY_SECONDS = 1.0
"""Seconds until a caller comes back whose idempotency key control did not grant in time, or could
not be asked for. Chosen, not measured."""

MINIMUM_STALE_RETRY_SECONDS = 0.1
"""Least seconds until a caller comes back to a gateway that cannot prove its configuration,
whatever the session estimates. Chosen, not measured."""

REFUSED_RETRY_SECONDS = 0.5
"""Seconds until a caller comes back whose back ends all refused without naming a time of their own,
or could not be reached. Chosen, not measured."""


def gateway_overloaded(detail: str) -> OverloadedError:
    """Refuse what does not fit into the gateway as a whole.

    Args:
        detail: Which of the gateway's bounds is reached, for people.
    """
    return OverloadedError(detail=detail, retry_after_seconds=OVERLOADED_RETRY_SECONDS)


def would_wait_too_long(expected_seconds: float) -> OverloadedError:
    """Refuse what would wait longer in its pool's queue than it may.

    Args:
        expected_seconds: Expected wait by the pool's recent speed; 0 if that is not known.
    """
    return OverloadedError(
        detail="too much work waits",
        retry_after_seconds=max(DEADLINE_RETRY_SECONDS, expected_seconds),
    )


def rate_limited(wait_seconds: float) -> RateLimitedError:
    """Refuse a caller whose rate limit is used up.

    Args:
        wait_seconds: Time until its buckets let something through again.
    """
    return RateLimitedError(
        detail="the caller's rate limit is used up", retry_after_seconds=wait_seconds
    )


def stopping() -> StoppingError:
    """Refuse what comes during a planned stop."""
    return StoppingError(
        detail="the gateway is stopping", retry_after_seconds=STOPPING_RETRY_SECONDS
    )


def stale_configuration(seconds_until_retry: float) -> ConfigurationStaleError:
    """Refuse for want of the configuration lease.

    Args:
        seconds_until_retry: The session's own estimate, `ControlSession.seconds_until_retry`.
    """
    return ConfigurationStaleError(
        detail="cannot prove the configuration current",
        retry_after_seconds=max(MINIMUM_STALE_RETRY_SECONDS, seconds_until_retry),
    )


def deadline_passed() -> DeadlinePassedError:
    """Refuse a request whose time ran out before it was sent."""
    return DeadlinePassedError(
        detail="nothing was sent before the deadline",
        retry_after_seconds=DEADLINE_RETRY_SECONDS,
    )


def claim_unavailable(detail: str) -> ClaimUnavailableError:
    """Refuse a request for whose idempotency key there is no grant.

    Args:
        detail: What is missing, for people.
    """
    return ClaimUnavailableError(detail=detail, retry_after_seconds=CLAIM_RETRY_SECONDS)


def claim_pending(retry_after_seconds: float) -> ClaimPendingError:
    """Answer a twin of a request under way.

    Args:
        retry_after_seconds: The operator's `ClaimSettings.pending_retry_seconds`.
    """
    return ClaimPendingError(
        detail="a request under this key is under way",
        retry_after_seconds=retry_after_seconds,
    )


def key_reused() -> KeyReusedError:
    """Refuse another request under a key that is used; coming back does not help."""
    return KeyReusedError(detail="another request already used this idempotency key")


def backend_refused(reason: str, retry_after_seconds: float | None) -> BackendRefusedError:
    """Refuse a request that no back end began.

    Args:
        reason: Short code of the last failure.
        retry_after_seconds: What the last back end asked for; None if it named nothing.
    """
    if retry_after_seconds is None:
        retry_after_seconds = REFUSED_RETRY_SECONDS
    return BackendRefusedError(detail=f"not run: {reason}", retry_after_seconds=retry_after_seconds)
