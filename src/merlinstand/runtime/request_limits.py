"""How much memory connections, requests and messages may occupy, as shares of a process's memory.

docs/design/client-limits.md explains the shares; `request_budget` enforces them.
"""

import msgspec

from merlinstand.runtime.host_settings import HttpLimits
from merlinstand.runtime.kept_bytes import BASE_PROCESS_BYTES

SMALL_SHARE = 0.25
"""Share of the memory above `BASE_PROCESS_BYTES` for connections, heads and small bodies."""
LARGE_SHARE = 0.30
"""Share for large bodies."""
SMALL_PEER_SHARE = 0.10
"""Share for connections of peers and their small messages that are arriving."""
LARGE_PEER_SHARE = 0.10
"""Share for large messages of peers that are arriving."""
MESSAGE_COPIES = 1.0
"""A large message is copied once when it is complete."""
UNKNOWN_MEMORY_BYTES = 512_000_000
"""Memory that is assumed if the settings don't give it."""
MINIMUM_AVAILABLE_BYTES = 16_000_000
"""Memory above the base that is assumed on the smallest machines."""


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits of one process; 0 selects no limit."""

    small_bytes: int = 0
    """Connections, heads and small bodies."""
    large_bytes: int = 0
    """Large bodies, with the copies of the largest while it is processed."""
    body_copies: float = 0.0
    """Memory that processing a large body needs besides the body, in multiples of its size."""
    available_bytes: int = 0
    """Everything that clients may make the process hold, and what processing needs."""


def request_limits(settings: HttpLimits, body_copies: float = 0.0) -> RequestLimits:
    """Return the limits of a process.

    Args:
        settings: Settings of its HTTP server.
        body_copies: See `RequestLimits`.
    """
    available = available_bytes(settings.memory_bytes)
    return RequestLimits(
        settings.small_request_bytes or int(SMALL_SHARE * available),
        settings.large_request_bytes or int(LARGE_SHARE * available),
        body_copies,
        available,
    )


def peer_limits(memory_bytes: int) -> RequestLimits:
    """Return the limits for connections and messages of peers."""
    available = available_bytes(memory_bytes)
    return RequestLimits(
        int(SMALL_PEER_SHARE * available), int(LARGE_PEER_SHARE * available), MESSAGE_COPIES
    )


def available_bytes(memory_bytes: int) -> int:
    """Return the memory of a process above its base; an assumed one if the memory is unknown."""
    known = memory_bytes if memory_bytes > 0 else UNKNOWN_MEMORY_BYTES
    return max(MINIMUM_AVAILABLE_BYTES, known - BASE_PROCESS_BYTES)
