"""Leases wanted and held by this daemon, renewed at a third of their duration."""

import msgspec


class HeldLease(msgspec.Struct, frozen=True):
    """A lease as its holder may count on it."""

    resource: str
    epoch: int
    expires_at: float
    """Local time until which the holder may act: send time + duration, less drift."""
