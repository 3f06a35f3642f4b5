"""Rejection: why a request ends without a backend's response, its HTTP status and its Retry-After.

Used by gateways (requests, streams, batch calls), keepers (whose scoring calls respect Retry-After
like any caller) and control daemons. A request that cannot be served is rejected at once.
Retry-After gives the earliest time at which a retry may succeed, so that the caller neither waits
too long nor is certain to be rejected again.
"""

import enum

import msgspec

from merlinstand.cluster.requests import NotRun, OutcomeUnknown
from merlinstand.common.errors import STOPPING_RETRY_AFTER_SECONDS

BAD_GATEWAY = 502
"""HTTP status (RFC 9110): a backend may have run the request, and no complete response came."""
UNAVAILABLE = 503
"""HTTP status (RFC 9110): no backend ran the request, and none will."""
GATEWAY_TIMEOUT = 504
"""HTTP status (RFC 9110): time ran out while a backend may have been running the request."""


class Reason(enum.StrEnum):
    """Why a request is not sent to any (further) backend; the text goes to callers and the log."""

    NO_BACKEND = "no back end"
    """No backend of the service is left to try."""
    NO_BACKEND_IN_REGIONS = "no back end in the allowed regions"
    """No backend is left, and the route or the tenant restricts the request to some regions."""
    COLD = "cold back ends"
    """All remaining backends are cold (for example just started), and no grant is available to send
    a request to any of them."""
    LAST_BACKEND = "last server spared"
    """Backends have crashed while running the request, so it is not sent to the last healthy
    backend of its service."""
    QUARANTINED = "quarantined"
    """The request is held to crash backends and must not be sent to any."""
    TIME_RAN_OUT = "time ran out"
    """The request's deadline has passed."""
    OVERLOADED = "service full"
    """All backends that the request may be sent to have refused requests, or demand exceeds the
    service's capacity."""
    NO_ROUTES = "no routes yet"
    """This gateway has just started and has no routes yet."""
    EVACUATED = "zone evacuated"
    """Only evacuated zones have backends that could run the request."""
    KEYS_UNKNOWN = "keys may have been taken away"
    """The last contact with a control leader was so long ago that keys may have been revoked."""
    STOPPING = "stopping"
    """This gateway is stopping and might exit before the request has ended."""


DEFAULT_RETRY_AFTER_SECONDS = 0.1
"""Retry-After while backends are busy or have just stopped: three times the usual latency of 30 ms
(`distance.DEFAULT_LATENCY_SECONDS`), after which a slot has probably become free."""
MINIMUM_RETRY_TARGET_FRACTION = 0.1
MAXIMUM_RETRY_TARGET_FRACTION = 0.3
"""Callers rejected by a full service are told to retry between these fractions of their target
latency, early enough to get a response within that latency. Later retries would use capacity that
can still serve other callers in time."""
MAXIMUM_OVERLOAD_RETRY_AFTER_SECONDS = 1.0
"""Upper bound of Retry-After from a full service, whatever the target latency: a surge may be over
by then."""
MAXIMUM_REMAINING_TIME_FRACTION = 1.0 / 3.0
"""Largest Retry-After as a fraction of the caller's remaining time; callers are expected to ignore
a longer Retry-After."""
_RETRY_AFTER_SECONDS = {
    Reason.NO_ROUTES: 0.3,
    Reason.KEYS_UNKNOWN: 0.3,
    Reason.EVACUATED: 1.0,
    Reason.LAST_BACKEND: 1.0,
    Reason.STOPPING: STOPPING_RETRY_AFTER_SECONDS,
}
"""Retry-After by reason. Routes and keys: a control group that lost its leader has a new one after
0.2 to 0.9 s, and the gateway asks every 0.05 to 0.1 s. Evacuated: operators take minutes to end an
evacuation. Last backend: crashed backends have restarted after some seconds."""
QUARANTINE_RETRY_AFTER_SECONDS = 60.0
"""Retry-After of a quarantined request. A quarantine lasts ten minutes, so an early retry is
certain to be rejected again."""
NO_LEADER_RETRY_AFTER_SECONDS = 0.3
"""Retry-After of a call to a control daemon whose group has no leader, or a leader that is not
ready yet: an election takes 0.2 to 0.9 s."""
UNKNOWN_KEEPER_RETRY_AFTER_SECONDS = 0.5
"""Retry-After of an operator's command about a keeper that a new control leader has not heard from
yet: keepers report three times a second."""
WRONG_KEEPERS_RETRY_AFTER_SECONDS = 1.0
"""Retry-After of a batch job that must not be stored by the present keepers. That changes only when
machines are added or removed, which takes seconds."""
BATCH_CALL_RETRY_AFTER_SECONDS = 0.3
"""Retry-After of a batch call that got no response from any keeper; about the time of an election
among the keepers."""


def retry_after_seconds(reason: str) -> float:
    """Return the Retry-After of a request that has not run, in seconds.

    Args:
        reason: A `Reason`, or the text that says why the last attempt failed. Use
            `cold_retry_after_seconds`, `quarantine_retry_after_seconds` and
            `overload_retry_after_seconds` for the reasons that they cover.
    """
    return _RETRY_AFTER_SECONDS.get(reason, DEFAULT_RETRY_AFTER_SECONDS)  # type: ignore[call-overload,no-any-return]


def overload_retry_after_seconds(
    target_latency_seconds: float, remaining_seconds: float | None, random_value: float
) -> float:
    """Return the Retry-After of a request that a full service rejected, in seconds.

    Retries are spread evenly over time, early enough for a response within the target latency and
    never beyond `MAXIMUM_REMAINING_TIME_FRACTION` of the caller's remaining time.

    Args:
        target_latency_seconds: Time within which a response is fully useful.
        remaining_seconds: How long the caller will still wait; None if unknown.
        random_value: Evenly distributed from 0 to 1.
    """
    maximum_seconds = min(
        MAXIMUM_OVERLOAD_RETRY_AFTER_SECONDS, MAXIMUM_RETRY_TARGET_FRACTION * target_latency_seconds
    )
    if remaining_seconds is not None:
        maximum_seconds = max(
            0.0, min(maximum_seconds, MAXIMUM_REMAINING_TIME_FRACTION * remaining_seconds)
        )
    minimum_seconds = (
        maximum_seconds * MINIMUM_RETRY_TARGET_FRACTION / MAXIMUM_RETRY_TARGET_FRACTION
    )
    return minimum_seconds + random_value * (maximum_seconds - minimum_seconds)


def cold_retry_after_seconds(
    grant_refusal_seconds: float, request_interval_seconds: float
) -> float:
    """Return the Retry-After of a request that only cold backends could run, in seconds.

    Args:
        grant_refusal_seconds: Time for which the control leader has announced that it will refuse
            grants; 0 if it has not.
        request_interval_seconds: Interval at which grants are requested.
    """
    return grant_refusal_seconds or request_interval_seconds


def quarantine_retry_after_seconds(
    is_unproven: bool, trial_wait_seconds: float, permit_wait_seconds: float
) -> float:
    """Return the Retry-After of a request in quarantine, in seconds.

    Args:
        is_unproven: Whether another request may be to blame, so that this request is retried alone
            in a trial.
        trial_wait_seconds: Time until a permit for that trial may be requested.
        permit_wait_seconds: How long a request waits for the permit.
    """
    if is_unproven:
        return max(permit_wait_seconds, trial_wait_seconds)
    return QUARANTINE_RETRY_AFTER_SECONDS


class Rejection(msgspec.Struct, frozen=True):
    """Decision not to send the request to any (further) backend."""

    reason: Reason


def status_of(outcome: NotRun | OutcomeUnknown) -> int:
    """Return the HTTP status of a request that ended without a backend's response."""
    if isinstance(outcome, NotRun):
        return UNAVAILABLE
    return GATEWAY_TIMEOUT if outcome.is_timeout else BAD_GATEWAY
