"""Hedging: when a request that has no response yet is also sent to a second backend.

Only complete requests that may run twice are hedged (lookups, scoring calls). Streams and items are
not hedged, because their events show that the backend is working.
"""

from merlinstand.cluster.routes import Route, RouteKind

HEDGE_DELAY_FRACTION = 0.6
"""Fraction of the target latency after which a hedge is sent; the remaining time suffices for a
usual response. With 0.5, twice as many requests were hedged, and none completed sooner
(docs/design/choice-by-place.md)."""
MINIMUM_HEDGE_DELAY_SECONDS = 0.06
"""Minimum hedge delay, for routes with a very short target latency."""


def hedge_delay_seconds(route: Route) -> float:
    """Return the seconds after the start of an attempt at which a hedge is sent."""
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
    """Return the seconds after which a hedge that was not sent when due is considered again.

    The target latency has passed by then, and the backend may have failed.
    """
    delay_seconds = hedge_delay_seconds(route)
    return max(MINIMUM_HEDGE_DELAY_SECONDS, route.target_latency_seconds - delay_seconds)


def should_send_hedge(is_suspect: bool, avoid_until: float, now: float) -> bool:
    """Return whether a hedge is sent when it is due.

    Args:
        is_suspect: Whether the request is suspected of crashing backends and may therefore run at
            only one backend at a time.
        avoid_until: Until when the backend chosen for the hedge is avoided, because of failures or
            because it is full.
        now: Local time.
    """
    return not is_suspect and avoid_until <= now
