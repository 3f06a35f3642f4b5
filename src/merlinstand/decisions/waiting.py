"""How long a request is held before it is sent, sent again or rejected, in gateways and keepers.

The waits themselves are in `forwarding.cold_wait`, `forwarding.quarantine_gate` and
`forwarding.routes_wait`. Holding a request for a large part of its target latency is worse for the
caller than a rejection and a retry, so each wait is bounded by the time that the awaited event
usually takes.
"""

from merlinstand.cluster.routes import Route

CRASH_CHECK_SECONDS = 0.05
"""When an attempt breaks off, its request waits at most this long for the check whether the backend
has crashed. If so, the next attempt is sent to a backend whose crash would do the least harm. A
crashed backend refuses a connection after one round trip, 1 to 40 ms."""
FULL_SERVICE_PAUSE_SECONDS = 0.02
"""Time before a request that all backends refused is offered to them again: most of a backend's
usual latency of 30 ms."""
GRANT_WAIT_FRACTION = 0.2
"""Fraction of the target latency for which a request waits for the control leader's permission
(grant) to send to a cold backend, such as one that has just started. The leader responds within
some ms; a request held for over a quarter of its target is better rejected."""
TRIAL_PERMIT_WAIT_SECONDS = 0.5
"""How long an unproven request (`SuspectStatus.UNPROVEN`) waits for permission to run as a trial.
The control leader responds after a consensus round and a sync to disk, 5 to 50 ms; this is ten
times that and a fraction of what callers wait."""
ROUTES_WAIT_SECONDS = 0.2
"""Minimum wait of requests in a gateway that has just started and has no routes yet, also used if
the caller's timeout is unknown. A directory with a leader responds well within this time; without a
leader it takes longer."""
ROUTES_WAIT_FRACTION = 0.4
"""A request with a longer timeout waits for this fraction of the timeout, which leaves enough time
for a second attempt. A directory whose daemons all lost power has a leader again after 0.2 to
0.9 s, depending on the distance between them."""
MAXIMUM_ROUTES_WAIT_SECONDS = 1.0
"""Upper bound of the wait for the first routes. It exceeds the 0.9 s that a directory takes at most
to elect a leader after all its daemons lost power."""


def grant_wait_seconds(route: Route) -> float:
    """Return the seconds that a request of a route waits for a grant to a cold backend."""
    return GRANT_WAIT_FRACTION * route.target_latency_seconds


def should_wait_for_grant(cold_backends: int, grant_refusal_seconds: float) -> bool:
    """Return whether waiting for a grant can help.

    Args:
        cold_backends: Number of backends that could be used with a grant.
        grant_refusal_seconds: Time for which the control leader has announced that it will refuse
            grants; 0 if none.
    """
    return cold_backends > 0 and grant_refusal_seconds <= 0.0


def routes_wait_seconds(caller_timeout_seconds: float | None) -> float:
    """Return the seconds for which a request waits for the first routes.

    Args:
        caller_timeout_seconds: Timeout stated by the caller; None if unknown.
    """
    if caller_timeout_seconds is None:
        return ROUTES_WAIT_SECONDS
    return min(
        MAXIMUM_ROUTES_WAIT_SECONDS,
        max(ROUTES_WAIT_SECONDS, ROUTES_WAIT_FRACTION * caller_timeout_seconds),
    )
