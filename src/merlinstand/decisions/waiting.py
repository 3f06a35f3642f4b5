"""Wait: how long a request is held before it is sent, sent again, or refused.

For: gateways and keepers. Owns no state; the waits themselves are `forwarding.cold_wait`,
`forwarding.quarantine_gate` and `forwarding.routes_wait`. A request that is held for a good part of
its aim is worth less than one that is refused and comes back: each wait is bounded by what the
answer that it waits for usually takes.
"""

from merlinstand.cluster.routes import Route

CRASH_CHECK_SECONDS = 0.05
"""Longest wait of a request whose try broke off for whether its server has crashed: the next try
goes where that does least harm. A server that crashed refuses a connection after one way there and
back, 1 to 40 ms."""
FULL_SERVICE_PAUSE_SECONDS = 0.02
"""Before a request that all servers turned away as not run is offered to them again: most of a
server's answer of 30 ms. Chosen, not measured."""
GRANT_WAIT_SHARE = 0.2
"""Share of a request's aim that it waits for a grant to a cold server; the control leader answers
within some ms. One held for over a quarter of its aim is better refused."""
TRIAL_PERMIT_WAIT_SECONDS = 0.5
"""Wait of an unproven request for the permit to be tried. The control leader answers after a round
of its group and a sync, 5 to 50 ms; this is ten times that, and a fraction of what callers wait."""
ROUTES_WAIT_SECONDS = 0.2
"""Wait for the first routes of a gateway that has just started: a directory that has a leader
answers well within this time; without one it takes longer."""
ROUTES_SHARE = 0.4
"""A caller who has more time is held longer, for this share of it: a directory whose daemons all
lost their power has a leader again after 0.2 s to 0.9 s, the more the farther apart they are. More
than a second try would have left is never taken from it."""
MAXIMUM_ROUTES_WAIT_SECONDS = 1.0
"""No caller is held for the first routes for longer: just above those 0.9 s."""


def grant_wait_seconds(route: Route) -> float:
    """Return how long a request of a route waits for a grant to a cold server."""
    return GRANT_WAIT_SHARE * route.target_latency_seconds


def should_wait_for_grant(cold_servers: int, refused_seconds: float) -> bool:
    """Return whether waiting for a grant makes sense.

    Args:
        cold_servers: Servers that would do once a grant is there.
        refused_seconds: How long no more grants are to be had, as the control leader said.
    """
    return cold_servers > 0 and refused_seconds <= 0.0


def routes_wait_seconds(caller_timeout_seconds: float | None) -> float:
    """Return how long a request is held for the first routes.

    Args:
        patience_seconds: How long its caller said that it will wait; None if it didn't.
    """
    if caller_timeout_seconds is None:
        return ROUTES_WAIT_SECONDS
    return min(
        MAXIMUM_ROUTES_WAIT_SECONDS, max(ROUTES_WAIT_SECONDS, ROUTES_SHARE * caller_timeout_seconds)
    )
