"""Hedging: when a request without a response yet is also sent to a second backend.

Only complete requests that may run twice are hedged (lookups, scoring calls). Streams and items are
not: the events they send show that their backend is working.
"""

from merlinstand.cluster.routes import Route, RouteKind

HEDGE_DELAY_FRACTION = 0.6
"""Fraction of the target latency after which a hedge is sent; the rest suffices for a usual
response."""
MINIMUM_HEDGE_DELAY_SECONDS = 0.06
"""Lower bound for routes with a very short target latency: twice the usual latency of 30 ms."""


def hedge_delay_seconds(route: Route) -> float:
    """Return how long after an attempt its hedge is sent."""
    return max(MINIMUM_HEDGE_DELAY_SECONDS, HEDGE_DELAY_FRACTION * route.target_latency_seconds)


def is_hedge_allowed(route: Route, attempts_in_flight: int, has_attempts_left: bool) -> bool:
    """Return whether a request may get a second attempt beside a running one.

    Args:
        route: The request's route.
        attempts_in_flight: Attempts without a response; at most two run at once.
        has_attempts_left: Whether the request may be sent once more at all.
    """
    return route.kind is RouteKind.REPEATABLE and attempts_in_flight == 1 and has_attempts_left


def late_hedge_delay_seconds(route: Route) -> float:
    """Return how long after the first check a withheld hedge is considered again.

    By then the target latency has passed, and the backend may have failed.
    """
    delay_seconds = hedge_delay_seconds(route)
    return max(MINIMUM_HEDGE_DELAY_SECONDS, route.target_latency_seconds - delay_seconds)


def should_send_hedge(is_suspect: bool, avoid_until: float, now: float) -> bool:
    """Return whether a hedge is sent when it is due.

    Args:
        is_suspect: Whether backends have crashed while running the request: it may then be at only
            one backend at a time.
        avoid_until: Until when the backend chosen for the hedge is avoided, because of failures or
            because it is full.
        now: Local time.
    """
    return not is_suspect and avoid_until <= now
