"""Why no back end could be chosen."""

from typing import ClassVar

from merlinstand.common.errors import UnavailableError


class NoBackendError(UnavailableError, frozen=True, kw_only=True):
    """No replica of the pool can take work now."""

    code: ClassVar[str] = "no_backend"


class PoolBusyError(UnavailableError, frozen=True, kw_only=True):
    """Every usable replica has as many requests of this daemon as it may have."""

    code: ClassVar[str] = "pool_busy"
