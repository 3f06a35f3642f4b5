"""Reject: why a request ends without an answer of a server, its status, and its Retry-After.

For: gateways (requests, streams, batch calls), keepers (a scoring call waits as long as a caller
would) and control. Owns no state. A request that can't be served is refused at once; Retry-After
says from when on another try may fare better, so that a caller neither waits too long nor is
refused again for sure.
"""

import enum

import msgspec

from merlinstand.cluster.requests import NotRun, OutcomeUnknown

BAD_GATEWAY = 502
"""HTTP status (RFC 9110): a server may have run the request, and no whole answer came."""
UNAVAILABLE = 503
"""HTTP status (RFC 9110): no server ran the request, and none will."""
GATEWAY_TIMEOUT = 504
"""HTTP status (RFC 9110): time ran out while a server may have been at work."""


class Reason(enum.StrEnum):
    """Why no server is asked, or none any more; also the text that callers and the log get."""

    NO_SERVER = "no back end"
    """No server of the service is left to try."""
    NO_SERVER_IN_REGIONS = "no back end in the allowed regions"
    """The same, and route or tenant bind the request to some regions."""
    COLD = "cold back ends"
    """All that are left are cold, and nothing may be sent there now."""
    LAST_SERVER = "last server spared"
    """Servers have crashed under it: the last sound one of its service is left alone."""
    QUARANTINED = "quarantined"
    """It crashes servers: it is sent to none."""
    TIME_RAN_OUT = "time ran out"
    """Its deadline has come."""
    OVERLOADED = "service full"
    """All servers that it may go to turned requests away, or callers ask for more than the service
    can do."""
    NO_ROUTES = "no routes yet"
    """This gateway has just started and knows no routes."""
    EVACUATED = "zone evacuated"
    """Only evacuated zones have servers that could run it."""
    KEYS_UNKNOWN = "keys may have been taken away"
    """No control leader was heard for so long that keys may have been revoked."""


SOON_SECONDS = 0.1
"""Servers are only busy or just gone: three times the 30 ms that a server's answer usually takes
(`distance.DEFAULT_LATENCY_SECONDS`), so that a place
has probably come free. Chosen, not measured."""
FIRST_RETURN_SHARE = 0.1
LAST_RETURN_SHARE = 0.3
"""Shares of their aim between which callers that a full service refused come back: early enough to
be answered within it. Later, they would take places of callers that can still be served in time."""
LONGEST_RETURN_SECONDS = 1.0
"""Longest such time, whatever the aim: a crowd may be over by then."""
HEEDED_SHARE = 1.0 / 3.0
"""Share of the time that a caller has left; a longer Retry-After is taken to be ignored."""
_RETRY_AFTER_SECONDS = {
    Reason.NO_ROUTES: 0.3,
    Reason.KEYS_UNKNOWN: 0.3,
    Reason.EVACUATED: 1.0,
    Reason.LAST_SERVER: 1.0,
}
"""Seconds. Routes and keys: a control group that lost its leader has one again after 0.2 to 0.9 s,
and the gateway asks each 0.05 to 0.1 s. Evacuated: operators take minutes, and a caller that comes
back sooner is refused again. Last server: crashed servers are back after some seconds."""
QUARANTINE_RETRY_AFTER_SECONDS = 60.0
"""Of a request in quarantine, which lasts ten minutes: sooner it is refused again for sure."""
NO_LEADER_RETRY_AFTER_SECONDS = 0.3
"""Of a call to a control daemon whose group has no leader, or another one now: an election takes
0.2 to 0.9 s."""
UNKNOWN_KEEPER_RETRY_AFTER_SECONDS = 0.5
"""Of an operator's order about a keeper that a new control leader has not heard of yet: keepers
report three times a second. Chosen, not measured."""
WRONG_KEEPERS_RETRY_AFTER_SECONDS = 1.0
"""Of a batch job that the present keepers must not keep: the answer stays the same until machines
are taken in or out, which takes seconds. Chosen, not measured."""
BATCH_CALL_RETRY_AFTER_SECONDS = 0.3
"""Of a batch call that no keeper answered: an election of the keepers takes about as long."""


def retry_after_seconds(reason: str) -> float:
    """Return when a request that has not run may come again.

    Args:
        reason: A `Reason`, or the text of why its last try failed. Cold servers and quarantine have
            their own functions below: their times are known better.
    """
    return _RETRY_AFTER_SECONDS.get(reason, SOON_SECONDS)  # type: ignore[call-overload,no-any-return]


def overload_retry_after_seconds(
    target_latency_seconds: float, remaining_seconds: float | None, chance: float
) -> float:
    """Return when a request that a full service refused may come again.

    Callers are spread evenly, so that they don't return as one crowd, and early enough to be served
    within their aim; never later than after `HEEDED_SHARE` of the time that they have left.

    Args:
        aim_seconds: Time within which an answer is fully useful.
        left_seconds: How long the caller still waits; None if it didn't say.
        chance: 0 to 1, evenly distributed.
    """
    longest = min(LONGEST_RETURN_SECONDS, LAST_RETURN_SHARE * target_latency_seconds)
    if remaining_seconds is not None:
        longest = max(0.0, min(longest, HEEDED_SHARE * remaining_seconds))
    first = longest * FIRST_RETURN_SHARE / LAST_RETURN_SHARE
    return first + chance * (longest - first)


def cold_retry_after_seconds(refused_seconds: float, ask_seconds: float) -> float:
    """Return when a request that only cold servers could run may come again.

    Args:
        refused_seconds: How long no more grants are to be had, as the control leader said; 0 if it
            has not said so.
        ask_seconds: How often grants are asked for.
    """
    return refused_seconds or ask_seconds


def quarantine_retry_after_seconds(
    is_unproven: bool, trial_wait_seconds: float, trial_seconds: float
) -> float:
    """Return when a request that is in quarantine may come again.

    Args:
        is_unproven: Whether something else may be to blame, so that it is tried alone.
        trial_wait_seconds: How long until a permit for that may be asked for.
        trial_seconds: How long a request waits for its permit.
    """
    if is_unproven:
        return max(trial_seconds, trial_wait_seconds)
    return QUARANTINE_RETRY_AFTER_SECONDS


class Rejection(msgspec.Struct, frozen=True):
    """That a request is sent to no server, or to none any more."""

    reason: Reason


def status_of(outcome: NotRun | OutcomeUnknown) -> int:
    """Give the HTTP status of a request that ended without an answer of a server."""
    if isinstance(outcome, NotRun):
        return UNAVAILABLE
    return GATEWAY_TIMEOUT if outcome.is_timeout else BAD_GATEWAY
