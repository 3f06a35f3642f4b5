"""How long a request is held before it is sent, sent again or rejected, in gateways and keepers.

The waits themselves are in `forwarding.cold_wait`, `forwarding.quarantine_gate` and
`forwarding.routes_wait`. A request held for a large part of its target latency is worth less than
one that is rejected and retried, so each wait is bounded by the usual duration of what it waits
for.
"""

from merlinstand.cluster.routes import Route

CRASH_CHECK_SECONDS = 0.05
"""Longest wait of a request whose attempt broke off for the check whether its backend has crashed;
the next attempt then goes where it does the least harm. A crashed backend refuses a connection
after one round trip, 1 to 40 ms."""
FULL_SERVICE_PAUSE_SECONDS = 0.02
"""Time before a request that all backends refused is offered to them again: most of a backend's
usual latency of 30 ms."""
GRANT_WAIT_FRACTION = 0.2
"""Fraction of the target latency that a request waits for a grant to a cold backend; the control
leader responds within some ms. A request held for over a quarter of its target is better
rejected."""
TRIAL_PERMIT_WAIT_SECONDS = 0.5
"""Wait of an unproven request for the permit of a trial. The control leader responds after a
consensus round and a sync to disk, 5 to 50 ms; this is ten times that and a fraction of what
callers wait."""
ROUTES_WAIT_SECONDS = 0.2
"""Wait for the first routes of a gateway that has just started: a directory with a leader responds
well within this time, one without takes longer."""
ROUTES_WAIT_FRACTION = 0.4
"""A caller with more time is held longer, for this fraction of it: a directory whose daemons all
lost power has a leader again after 0.2 to 0.9 s, longer the further apart they are. The rest always
suffices for a second attempt."""
MAXIMUM_ROUTES_WAIT_SECONDS = 1.0
"""Upper bound of the wait for the first routes, just above those 0.9 s."""


def grant_wait_seconds(route: Route) -> float:
    """Return how long a request of a route waits for a grant to a cold backend."""
    return GRANT_WAIT_FRACTION * route.target_latency_seconds


def should_wait_for_grant(cold_backends: int, grant_refusal_seconds: float) -> bool:
    """Return whether waiting for a grant can help.

    Args:
        cold_backends: Number of backends that could be used with a grant.
        grant_refusal_seconds: How long the control leader said that it will refuse grants.
    """
    return cold_backends > 0 and grant_refusal_seconds <= 0.0


def routes_wait_seconds(caller_timeout_seconds: float | None) -> float:
    """Return how long a request is held for the first routes.

    Args:
        caller_timeout_seconds: How long its caller said that it will wait; None if unknown.
    """
    if caller_timeout_seconds is None:
        return ROUTES_WAIT_SECONDS
    return min(
        MAXIMUM_ROUTES_WAIT_SECONDS,
        max(ROUTES_WAIT_SECONDS, ROUTES_WAIT_FRACTION * caller_timeout_seconds),
    )
