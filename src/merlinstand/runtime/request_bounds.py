"""Limits currently in force for HTTP requests to one host.

The host owns them, and its servers read them for each request. They start as the host's settings;
the reducer changes them with `BoundRequests`. Size limits protect the process's memory, so the
reducer can only lower them; timeouts are promises to clients, so the reducer can replace them.
"""

from merlinstand.kernel.effects import BoundRequests
from merlinstand.runtime.host_settings import HttpLimits
from merlinstand.runtime.http_headers import MAXIMUM_HEAD_BYTES


class RequestBounds:
    """The limits in force."""

    __slots__ = (
        "_settings",
        "head_timeout_seconds",
        "idle_connection_seconds",
        "maximum_body_bytes",
        "maximum_head_bytes",
    )

    def __init__(self, settings: HttpLimits) -> None:
        """Start with the limits of the settings."""
        self._settings = settings
        self.maximum_head_bytes = MAXIMUM_HEAD_BYTES
        self.maximum_body_bytes = settings.maximum_body_bytes
        self.head_timeout_seconds: float | None = None
        """Time limit for the head alone; None if it shares a time limit with the body."""
        self.idle_connection_seconds = settings.idle_connection_seconds

    def apply(self, effect: BoundRequests) -> None:
        """Apply new limits; they take effect with the next request of each connection."""
        configured = self._settings
        self.maximum_head_bytes = _stricter(MAXIMUM_HEAD_BYTES, effect.maximum_head_bytes)
        self.maximum_body_bytes = _stricter(
            configured.maximum_body_bytes, effect.maximum_body_bytes
        )
        self.head_timeout_seconds = effect.head_timeout_seconds or None
        self.idle_connection_seconds = (
            effect.idle_connection_seconds or configured.idle_connection_seconds
        )


def _stricter(configured: int, ordered: int) -> int:
    return min(configured, ordered) if ordered > 0 else configured
