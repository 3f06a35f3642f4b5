"""How the platform is called, apart from any wire format."""

from typing import Protocol

import msgspec


class PlatformCall(msgspec.Struct, frozen=True):
    """An HTTP request to the platform."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class FencedHolder(msgspec.Struct, frozen=True):
    """Who calls."""

    name: str
    fence: int
    """Rises whenever the holder changes."""


class PlatformInterface(Protocol):
    """An HTTP interface of the platform: pure translation."""

    def usage_call(self, holder: FencedHolder, window: int, counts: dict[str, int]) -> PlatformCall:
        """Give the HTTP request that reports a window's use."""
        ...
