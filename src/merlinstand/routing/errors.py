"""Errors of the choice of a backend."""

from typing import ClassVar

from merlinstand.common.errors import UnavailableError


class NoBackendError(UnavailableError, frozen=True, kw_only=True):
    """No replica of the pool is eligible for new requests."""

    code: ClassVar[str] = "no_backend"


class PoolBusyError(UnavailableError, frozen=True, kw_only=True):
    """Every eligible replica is unhealthy, backing off or at its concurrency limit."""

    code: ClassVar[str] = "pool_busy"
