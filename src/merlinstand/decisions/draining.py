"""Draining: which requests a stopping gateway still accepts, and when it may exit.

The platform kills a stopping process after its grace period, and the responses that were not sent
by then are lost. A stopping gateway therefore accepts a late request only if the request is certain
to have ended by then. It rejects all others at once, and their callers retry at another gateway.
"""

import msgspec


class Drain(msgspec.Struct, frozen=True):
    """The phases of one planned stop, as local times in seconds."""

    new_connections_until: float
    """Until then load balancers may not have noticed the stop. Every request is accepted, since its
    caller's retry might reach this gateway again."""
    ends_at: float
    """Every request must have ended by then."""

    def accepts(self, latest_end: float, now: float) -> bool:
        """Return whether a request is accepted.

        Args:
            latest_end: Local time at which the request will have ended at the latest.
            now: Local time in seconds.
        """
        return now < self.new_connections_until or latest_end <= self.ends_at

    def may_exit(self, is_idle: bool, now: float) -> bool:
        """Return whether the process may exit.

        Args:
            is_idle: Whether no request is pending.
            now: Local time in seconds.
        """
        return is_idle and now >= self.new_connections_until

    def is_over(self, now: float) -> bool:
        """Return whether the requests that are still pending must be ended."""
        return now >= self.ends_at


def begin_drain(drain_seconds: float, limit_seconds: float, now: float) -> Drain:
    """Return the phases of a planned stop that was requested now.

    Args:
        drain_seconds: Time that load balancers take to notice a failed health check.
        limit_seconds: Time from the request until every request must have ended.
        now: Local time in seconds.
    """
    return Drain(now + min(drain_seconds, limit_seconds), now + limit_seconds)
