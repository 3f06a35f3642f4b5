"""What HTTP clients may send to one host at the moment.

Owned by the host and read by its servers for each request. Begins with the host's settings;
the reducer changes it by `BoundRequests`. Sizes protect the process's memory, so an order never
exceeds the settings; times are promises to clients, so an order replaces them.
"""

from merlinstand.kernel.effects import BoundRequests
from merlinstand.runtime.host_settings import HttpLimits
from merlinstand.runtime.http_headers import MAXIMUM_HEAD_BYTES


class RequestBounds:
    """The bounds in force."""

    __slots__ = (
        "_settings",
        "head_timeout_seconds",
        "idle_connection_seconds",
        "maximum_body_bytes",
        "maximum_head_bytes",
    )

    def __init__(self, settings: HttpLimits) -> None:
        """Begin with the settings alone."""
        self._settings = settings
        self.maximum_head_bytes = MAXIMUM_HEAD_BYTES
        self.maximum_body_bytes = settings.maximum_body_bytes
        self.head_timeout_seconds: float | None = None
        """Of a head alone; None if it shares one time limit with its body."""
        self.idle_connection_seconds = settings.idle_connection_seconds

    def apply(self, effect: BoundRequests) -> None:
        """Put an order in force; it counts from the next request of each connection."""
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
