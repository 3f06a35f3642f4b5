"""Limits the total bytes that a process buffers for peers which have not read them yet.

`ConnectionBuffer` counts the bytes of one connection: responses and stream chunks for a client, or
request bodies for a server, which only the request's time limit ends. `BufferBudget` keeps the sum
and, above its limit, aborts clients by bytes times unread time, highest first. Users must report
sent or dropped bytes, or close the buffer together with its connection.
"""

from collections.abc import Callable

import msgspec

from merlinstand.common.boot_clock import boot_seconds

BUFFER_SHARE = 0.25
"""Share of the memory above `BASE_PROCESS_BYTES`; the rest is for requests and responses in
progress, copies of them, and the kernel's buffers."""
BASE_PROCESS_BYTES = 64_000_000
"""Memory of a process with all its tables and no clients (docs/CAPACITY.md)."""
MINIMUM_LIMIT_BYTES = 4_000_000
"""Limit on the smallest machines: the unsent bytes allowed for one stream."""
CLIENT_SHARE = 0.5
"""Share of the limit that clients may always use, even if servers are slow to read requests."""
GRACE_SECONDS = 0.5
"""A client that made progress within this time is not slow, however much is buffered for it."""
FAST_GROWTH_FACTOR = 2.0
"""Above this multiple of the limit, memory grows too fast for the regular grace period."""
FAST_GRACE_SECONDS = 0.1
"""Grace period in that case: several round trips to a client."""
MINIMUM_PROGRESS_BYTES = 64 * 1024
"""Bytes that a client must read to count as making progress."""
CHECK_INTERVAL_SECONDS = 0.1
"""Minimum interval between two comparisons of all connections."""


def buffer_limit_bytes(memory_bytes: int) -> int:
    """Return how many bytes a process may buffer for its peers.

    Args:
        memory_bytes: Memory that the process may use; 0 if unknown.

    Returns:
        The limit in bytes; 0 for no limit.
    """
    if memory_bytes <= 0:
        return 0
    return max(MINIMUM_LIMIT_BYTES, int(BUFFER_SHARE * (memory_bytes - BASE_PROCESS_BYTES)))


class SlowReader(msgspec.Struct, frozen=True):
    """A client whose connection was aborted, for the log."""

    request: str
    """The client's id of its latest request, or the host's id if it sent none."""
    buffered_bytes: int
    unread_seconds: float
    """Time since the client last made progress."""


class BufferBudget:
    """Tracks and limits the bytes that one process buffers for its peers."""

    def __init__(
        self,
        limit_bytes: int = 0,
        on_slow_reader: Callable[[SlowReader], None] = lambda _client: None,
        clock: Callable[[], float] = boot_seconds,
    ) -> None:
        """Create an empty budget.

        Args:
            limit_bytes: Above it slow clients are aborted; 0 for no limit.
            on_slow_reader: Called for each aborted client; must not block.
            clock: Returns local time in seconds.
        """
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._client_bytes = 0
        """The part of the total that is buffered for clients."""
        self._on_slow_reader = on_slow_reader
        self._clock = clock
        self._clients: set[ConnectionBuffer] = set()
        """Client connections with buffered bytes."""
        self._next_check_at = 0.0

    @property
    def utilization(self) -> float:
        """Used fraction of the limit; 0 without a limit."""
        return self.total_bytes / self.limit_bytes if self.limit_bytes else 0.0

    def open_connection(
        self, abort_connection: Callable[[], None] | None = None
    ) -> "ConnectionBuffer":
        """Create the buffer accounting of one connection.

        Args:
            abort_connection: Aborts a client's connection, from any greenlet, without blocking;
                None for calls to servers, which are never aborted here.
        """
        return ConnectionBuffer(self, abort_connection)

    def check(self) -> None:
        """Abort clients whose grace period is over until the rest is within the limit."""
        if not self._is_over_limit():
            return
        now = self._clock()
        self._next_check_at = now + CHECK_INTERVAL_SECONDS
        grace_seconds = self._grace_seconds()
        for buffer in sorted(
            self._clients, key=lambda one: one.eviction_priority(now), reverse=True
        ):
            if not self._is_over_limit():
                return
            if now - buffer.last_read_at >= grace_seconds:
                self._abort_slow_client(buffer, now)

    def now(self) -> float:
        """Return local time in seconds."""
        return self._clock()

    def on_queued(self, buffer: "ConnectionBuffer", size_bytes: int) -> None:
        """Count queued bytes; only `ConnectionBuffer` calls this."""
        self.total_bytes += size_bytes
        if buffer.is_client:
            self._client_bytes += size_bytes
            self._clients.add(buffer)
        if self._is_over_limit() and self._clock() >= self._next_check_at:
            self.check()

    def on_sent(self, buffer: "ConnectionBuffer", size_bytes: int) -> None:
        """Stop counting bytes that were sent or dropped; only `ConnectionBuffer` calls this."""
        self.total_bytes -= size_bytes
        if buffer.is_client:
            self._client_bytes -= size_bytes
            if not buffer.buffered_bytes:
                self._clients.discard(buffer)

    def _is_over_limit(self) -> bool:
        if not 0 < self.limit_bytes < self.total_bytes:
            return False
        return self._client_bytes > CLIENT_SHARE * self.limit_bytes

    def _grace_seconds(self) -> float:
        if self.total_bytes > FAST_GROWTH_FACTOR * self.limit_bytes:
            return FAST_GRACE_SECONDS
        return GRACE_SECONDS

    def _abort_slow_client(self, buffer: "ConnectionBuffer", now: float) -> None:
        client = SlowReader(buffer.request, buffer.buffered_bytes, now - buffer.last_read_at)
        # Stop counting the bytes now: the connection's greenlet drops them only in the next loop
        # iteration, and until then they would cause further clients to be aborted.
        buffer.close()
        if buffer.abort_connection is not None:
            buffer.abort_connection()
        self._on_slow_reader(client)


class ConnectionBuffer:
    """Counts the bytes that are buffered for one connection."""

    __slots__ = (
        "_budget",
        "_sent_bytes",
        "abort_connection",
        "buffered_bytes",
        "is_closed",
        "last_read_at",
        "request",
    )

    def __init__(self, budget: BufferBudget, abort_connection: Callable[[], None] | None) -> None:
        """Create an empty buffer; see `BufferBudget.open_connection`."""
        self.request = ""
        self.abort_connection = abort_connection
        self.buffered_bytes = 0
        self.last_read_at = 0.0
        """When the peer last made progress, or the buffer last became non-empty."""
        self._budget = budget
        self._sent_bytes = 0
        """Bytes sent since then."""
        self.is_closed = False
        """Whether the connection has ended or must end."""

    @property
    def is_client(self) -> bool:
        """Whether this is a client's connection, which may be aborted."""
        return self.abort_connection is not None

    def record_queued(self, size_bytes: int) -> None:
        """Count bytes that are queued for sending."""
        if self.is_closed or not size_bytes:
            return
        if not self.buffered_bytes:
            self._record_progress()
        self.buffered_bytes += size_bytes
        self._budget.on_queued(self, size_bytes)

    def record_sent(self, size_bytes: int) -> None:
        """Stop counting bytes that were sent or dropped."""
        if self.is_closed or not size_bytes:
            return
        self.buffered_bytes -= size_bytes
        self._sent_bytes += size_bytes
        if self._sent_bytes >= MINIMUM_PROGRESS_BYTES:
            self._record_progress()
        self._budget.on_sent(self, size_bytes)

    def close(self) -> None:
        """Stop counting for the connection, which has ended or is being aborted."""
        remaining_bytes, self.buffered_bytes = self.buffered_bytes, 0
        self._budget.on_sent(self, remaining_bytes)
        self.is_closed = True

    def eviction_priority(self, now: float) -> tuple[float, int]:
        """Return the sort key: bytes times unread time, then bytes."""
        return self.buffered_bytes * (now - self.last_read_at), self.buffered_bytes

    def _record_progress(self) -> None:
        self.last_read_at = self._budget.now()
        self._sent_bytes = 0
