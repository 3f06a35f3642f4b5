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

    def apply(self, order: BoundRequests) -> None:
        """Put an order in force; it counts from the next request of each connection."""
        own = self._settings
        self.maximum_head_bytes = _lower(MAXIMUM_HEAD_BYTES, order.maximum_head_bytes)
        self.maximum_body_bytes = _lower(own.maximum_body_bytes, order.maximum_body_bytes)
        self.head_timeout_seconds = order.head_timeout_seconds or None
        self.idle_connection_seconds = order.idle_connection_seconds or own.idle_connection_seconds


def _lower(own: int, ordered: int) -> int:
    return min(own, ordered) if ordered > 0 else own
