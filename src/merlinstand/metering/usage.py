"""Usage counts of a gateway: started requests of each tenant, by window of true time (`true_time`).

A gateway sends its counts since its start with each pull until the control group has committed
them.
"""

import msgspec

MAXIMUM_REPORTED_WINDOWS = 8
"""Number of newest windows that a gateway keeps and reports until they are committed. The leader
closes a window within two further windows; the remaining ones cover a loss of contact with the
leader."""

MINIMUM_TRANSIT_SECONDS = 0.0005
"""Shortest time in which a request reaches a backend: half of the time of a request
and its response within a zone."""


class WindowUsage(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one window."""

    window: int
    """Number of the window, which begins this many window lengths after the start of 1970."""
    counts: dict[str, int]
    """Started requests, by tenant."""


class UsageReport(msgspec.Struct, frozen=True):
    """Totals of one gateway incarnation; a newer report replaces older ones of the same source."""

    source: str
    """Identifies one incarnation of a gateway."""
    sequence: int = msgspec.field(name="mark")
    """Increases with every change of the counts."""
    windows: tuple[WindowUsage, ...]


_DECODER = msgspec.msgpack.Decoder(UsageReport)


def encode_usage(report: UsageReport) -> bytes:
    """Encode as MessagePack for `DirectoryPull.usage`."""
    return msgspec.msgpack.encode(report)


def decode_usage(data: bytes) -> UsageReport:
    """Decode `DirectoryPull.usage`.

    Raises:
        msgspec.DecodeError: The bytes are malformed.
    """
    return _DECODER.decode(data)


class _RunningRequest(msgspec.Struct, frozen=True):
    window: int
    tenant: str
    started_at: float
    """Local time."""


class UsageCounter:
    """Counts of one gateway, in memory only: a crash loses the counts that were not sent."""

    def __init__(self, window_seconds: float) -> None:
        """Create a counter; `set_source` must be called before the first report.

        Args:
            window_seconds: Length of a window; 0 if no usage is reported.
        """
        self._window_seconds = window_seconds
        self._source = ""
        self._sequence = 0
        self._windows: dict[int, dict[str, int]] = {}
        self._running: dict[str, _RunningRequest] = {}
        """Requests in flight, by key."""

    def __len__(self) -> int:
        """Return the number of counted requests in flight."""
        return len(self._running)

    def set_source(self, source: str) -> None:
        """Set the source, which identifies this incarnation of the gateway."""
        self._source = source

    def record_start(self, key: str, tenant: str, true_seconds: float | None, now: float) -> None:
        """Count a request that was sent to a backend, which starts or refuses the request at once.

        Args:
            key: Identifies the request until `record_end` or `record_abort`.
            tenant: Tenant to count for; if empty, the request is not counted.
            true_seconds: True time; if None, the request is not counted.
            now: Local time.
        """
        if not tenant or self._window_seconds <= 0.0 or true_seconds is None:
            return
        window = int(true_seconds // self._window_seconds)
        self._running[key] = _RunningRequest(window, tenant, now)
        self._add(window, tenant, 1)

    def record_end(self, key: str, has_run: bool) -> None:
        """Record the end of a request; a request that did not run is subtracted from the counts."""
        running = self._running.pop(key, None)
        if running is not None and not has_run:
            self._add(running.window, running.tenant, -1)

    def record_abort(self, key: str, now: float) -> None:
        """Record that a caller disconnected; the request counts if it may have reached a backend.

        When the gateway's process resumes after a suspension, it may start a request and abort it
        immediately, because the caller disconnected in the meantime.
        """
        running = self._running.get(key)
        if running is not None:
            self.record_end(key, has_run=now - running.started_at > MINIMUM_TRANSIT_SECONDS)

    def _add(self, window: int, tenant: str, change: int) -> None:
        self._sequence += 1
        counts = self._windows.setdefault(window, {})
        counts[tenant] = counts.get(tenant, 0) + change
        while len(self._windows) > MAXIMUM_REPORTED_WINDOWS:
            del self._windows[min(self._windows)]

    def next_report(self, acknowledged: int) -> bytes | None:
        """Return the encoded counts of all kept windows; None if all are committed.

        Args:
            acknowledged: Sequence number of the newest committed report.
        """
        if self._sequence <= acknowledged:
            return None
        windows = tuple(
            WindowUsage(window, {tenant: n for tenant, n in counts.items() if n})
            for window, counts in sorted(self._windows.items())
        )
        return encode_usage(UsageReport(self._source, self._sequence, windows))
