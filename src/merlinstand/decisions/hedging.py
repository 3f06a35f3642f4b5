"""Hedge: when a request is sent to a second server while the first one has not answered.

For: whole requests that may run more than once (lookups, scoring calls); streams and items are
never hedged: their servers show by the pieces that they are at work. Owns no state.
"""

from merlinstand.cluster.routes import Route, RouteKind

HEDGE_SHARE = 0.6
"""Share of a request's aim after which it is sent a second time: what is left suffices for a usual
answer. With 0.5 twice as many servers were asked twice, and no lookup came sooner
(docs/design/choice-by-place.md)."""
SHORTEST_HEDGE_SECONDS = 0.06
"""Of a request with a very short aim: twice the usual answer of 30 ms. Chosen, not measured."""


def hedge_delay_seconds(route: Route) -> float:
    """Return how long after a try the next one beside it begins."""
    return max(SHORTEST_HEDGE_SECONDS, HEDGE_SHARE * route.target_latency_seconds)


def is_hedge_allowed(route: Route, running: int, has_tries_left: bool) -> bool:
    """Return whether a request may get a second try beside a running one.

    Args:
        route: Of the request.
        running: Its tries without an answer; never more than two run at once.
        has_tries_left: Whether it may be sent once more at all.
    """
    return route.kind is RouteKind.REPEATABLE and running == 1 and has_tries_left


def late_hedge_delay_seconds(route: Route) -> float:
    """Return how long after the first one a second try that was withheld is considered again.

    Its aim is missed by then: the server may as well have failed.
    """
    delay_seconds = hedge_delay_seconds(route)
    return max(SHORTEST_HEDGE_SECONDS, route.target_latency_seconds - delay_seconds)


def should_send_hedge(is_suspect: bool, avoid_until: float, now: float) -> bool:
    """Return whether the second try is sent when its time has come.

    Args:
        is_suspect: Whether servers have crashed under the request: it is at one at a time.
        avoid_until: Until when the server that was chosen for it is avoided, for its failures or
            since it is full.
        now: Local time.
    """
    return not is_suspect and avoid_until <= now
