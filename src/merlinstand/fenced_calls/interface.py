"""Interface to the platform, independent of its wire format."""

from typing import Protocol

import msgspec


class PlatformCall(msgspec.Struct, frozen=True):
    """An HTTP request to the platform."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class FencedHolder(msgspec.Struct, frozen=True):
    """The lease holder on whose behalf a call is made."""

    name: str
    fence: int
    """Fencing token, which increases with each leadership."""


class PlatformInterface(Protocol):
    """Encodes calls to the platform as HTTP requests (pure functions)."""

    def usage_call(self, holder: FencedHolder, window: int, counts: dict[str, int]) -> PlatformCall:
        """Return the HTTP request that reports the usage of a time window.

        Args:
            holder: The lease holder that makes the call.
            window: Number of the window.
            counts: Request counts by tenant.
        """
        ...
