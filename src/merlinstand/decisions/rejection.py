"""Rejection: why a request ends without a backend's response, its HTTP status and its Retry-After.

Used by gateways (requests, streams, batch calls), keepers (a scoring call waits as long as a caller
would) and control daemons. A request that cannot be served is rejected at once. Retry-After gives
the earliest time at which a retry may succeed: the caller neither waits too long nor is certain to
be rejected again.
"""

import enum

import msgspec

from merlinstand.cluster.requests import NotRun, OutcomeUnknown

BAD_GATEWAY = 502
"""HTTP status (RFC 9110): a backend may have run the request, and no complete response came."""
UNAVAILABLE = 503
"""HTTP status (RFC 9110): no backend ran the request, and none will."""
GATEWAY_TIMEOUT = 504
"""HTTP status (RFC 9110): time ran out while a backend may have been running the request."""


class Reason(enum.StrEnum):
    """Why a request is sent to no backend, or no further one; callers and the log get the text."""

    NO_BACKEND = "no back end"
    """No backend of the service is left to try."""
    NO_BACKEND_IN_REGIONS = "no back end in the allowed regions"
    """No backend is left, and the route or the tenant restricts the request to some regions."""
    COLD = "cold back ends"
    """All remaining backends are cold, and nothing may be sent to them now."""
    LAST_BACKEND = "last server spared"
    """Backends have crashed while running it, and it is kept off the last healthy one of its
    service."""
    QUARANTINED = "quarantined"
    """It crashes backends, so it is sent to none."""
    TIME_RAN_OUT = "time ran out"
    """Its deadline has passed."""
    OVERLOADED = "service full"
    """All backends that it may go to refused requests, or demand exceeds the service's capacity."""
    NO_ROUTES = "no routes yet"
    """This gateway has just started and has no routes yet."""
    EVACUATED = "zone evacuated"
    """Only evacuated zones have backends that could run it."""
    KEYS_UNKNOWN = "keys may have been taken away"
    """No control leader was heard for so long that keys may have been revoked."""


DEFAULT_RETRY_AFTER_SECONDS = 0.1
"""Where backends are only busy or have just stopped: three times the usual latency of 30 ms
(`distance.DEFAULT_LATENCY_SECONDS`), after which a slot has probably become free."""
MINIMUM_RETRY_TARGET_FRACTION = 0.1
MAXIMUM_RETRY_TARGET_FRACTION = 0.3
"""Callers that a full service rejected retry between these fractions of their target latency: early
enough to get a response within it. Later retries would use capacity that can still serve others in
time."""
MAXIMUM_OVERLOAD_RETRY_AFTER_SECONDS = 1.0
"""Upper bound of that time, whatever the target latency: a surge may be over by then."""
MAXIMUM_REMAINING_TIME_FRACTION = 1.0 / 3.0
"""Largest Retry-After as a fraction of the caller's remaining time; a longer one is expected to be
ignored."""
_RETRY_AFTER_SECONDS = {
    Reason.NO_ROUTES: 0.3,
    Reason.KEYS_UNKNOWN: 0.3,
    Reason.EVACUATED: 1.0,
    Reason.LAST_BACKEND: 1.0,
}
"""Routes and keys: a control group that lost its leader has a new one after 0.2 to 0.9 s, and the
gateway asks every 0.05 to 0.1 s. Evacuated: operators take minutes, and an earlier retry is
rejected again. Last server: crashed backends are back after some seconds."""
QUARANTINE_RETRY_AFTER_SECONDS = 60.0
"""Quarantine lasts ten minutes; an earlier retry is certain to be rejected again."""
NO_LEADER_RETRY_AFTER_SECONDS = 0.3
"""For a call to a control daemon whose group has no leader or a new one: an election takes 0.2 to
0.9 s."""
UNKNOWN_KEEPER_RETRY_AFTER_SECONDS = 0.5
"""For an operator's command about a keeper unknown to a new control leader: keepers report three
times a second."""
WRONG_KEEPERS_RETRY_AFTER_SECONDS = 1.0
"""For a batch job that the present keepers must not keep: this holds until machines are added or
removed, which takes seconds."""
BATCH_CALL_RETRY_AFTER_SECONDS = 0.3
"""For a batch call without a response from any keeper: an election of the keepers takes about as
long."""


def retry_after_seconds(reason: str) -> float:
    """Return the Retry-After of a request that has not run, in seconds.

    Args:
        reason: A `Reason`, or the text of why its last attempt failed. Cold backends and quarantine
            have functions of their own below, since more is known about their times.
    """
    return _RETRY_AFTER_SECONDS.get(reason, DEFAULT_RETRY_AFTER_SECONDS)  # type: ignore[call-overload,no-any-return]


def overload_retry_after_seconds(
    target_latency_seconds: float, remaining_seconds: float | None, random_value: float
) -> float:
    """Return the Retry-After of a request that a full service rejected, in seconds.

    Callers are spread evenly, so that they do not retry at once, and early enough to be served
    within their target latency; never beyond `MAXIMUM_REMAINING_TIME_FRACTION` of their remaining
    time.

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
        grant_refusal_seconds: How long the control leader said that it will refuse grants; 0 if it
            has not said so.
        request_interval_seconds: Interval at which grants are requested.
    """
    return grant_refusal_seconds or request_interval_seconds


def quarantine_retry_after_seconds(
    is_unproven: bool, trial_wait_seconds: float, permit_wait_seconds: float
) -> float:
    """Return the Retry-After of a request in quarantine, in seconds.

    Args:
        is_unproven: Whether another request may be to blame, so that this one is tried alone.
        trial_wait_seconds: Time until a permit for that trial may be requested.
        permit_wait_seconds: How long a request waits for its permit.
    """
    if is_unproven:
        return max(permit_wait_seconds, trial_wait_seconds)
    return QUARANTINE_RETRY_AFTER_SECONDS


class Rejection(msgspec.Struct, frozen=True):
    """The request is sent to no backend, or to no further one."""

    reason: Reason


def status_of(outcome: NotRun | OutcomeUnknown) -> int:
    """Return the HTTP status of a request that ended without a backend's response."""
    if isinstance(outcome, NotRun):
        return UNAVAILABLE
    return GATEWAY_TIMEOUT if outcome.is_timeout else BAD_GATEWAY
