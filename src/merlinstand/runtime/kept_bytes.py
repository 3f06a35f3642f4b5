"""Bytes that a process keeps for peers which have not read them yet, bounded for all together.

A `ConnectionBuffer` counts for one connection: answers and pieces of streams that wait for its caller, or
are being sent. Bodies of requests being sent to servers are counted, too; the requests' own time
limits end those. `BufferBudget` owns the sum. Beyond its bound it gives callers' connections up, first
the one whose bytes have taken the most room for the longest time since it last read.

Relies on its users to release what they have added, or to end the buffer with its connection.
"""

from collections.abc import Callable

import msgspec

from merlinstand.common.boot_clock import boot_seconds

BUFFER_SHARE = 0.25
"""Of the memory above `BASE_PROCESS_BYTES`; the rest is for requests and answers on their way,
copies of them, and the kernel's buffers."""
BASE_PROCESS_BYTES = 64_000_000
"""What a process holds with all its tables, without callers (docs/CAPACITY.md)."""
MINIMUM_LIMIT_BYTES = 4_000_000
"""Bound on the smallest machines: what one stream's caller may lag behind."""
CLIENT_SHARE = 0.5
"""Of the bound: callers may always have as much, also while servers are slow to take bodies."""
GRACE_SECONDS = 0.5
"""A caller that read something in this time isn't slow, whatever is kept for it."""
FAST_GROWTH_FACTOR = 2.0
"""Beyond this many times the bound, memory fills faster than grace runs out."""
FAST_GRACE_SECONDS = 0.1
"""Grace then: several round trips to a caller."""
MINIMUM_PROGRESS_BYTES = 64 * 1024
"""A caller that takes less in one go has not shown that it reads on."""
CHECK_INTERVAL_SECONDS = 0.1
"""Connections are compared no more often than this."""


def buffer_limit_bytes(memory_bytes: int) -> int:
    """Give how many bytes a process may keep for its peers.

    Args:
        memory_bytes: What the process may hold in all; 0 if unknown.

    Returns:
        The bound; 0 for none.
    """
    if memory_bytes <= 0:
        return 0
    return max(MINIMUM_LIMIT_BYTES, int(BUFFER_SHARE * (memory_bytes - BASE_PROCESS_BYTES)))


class SlowReader(msgspec.Struct, frozen=True):
    """A caller that was given up, for the log."""

    request: str
    """The caller's name for its newest request, or the host's."""
    buffered_bytes: int
    unread_seconds: float
    """How long it had not read on."""


class BufferBudget:
    """All bytes that one process keeps for its peers."""

    def __init__(
        self,
        limit_bytes: int = 0,
        on_slow_reader: Callable[[SlowReader], None] = lambda _caller: None,
        clock: Callable[[], float] = boot_seconds,
    ) -> None:
        """Begin with nothing.

        Args:
            limit_bytes: Beyond it callers are given up; 0 for no bound.
            on_slow_reader: Told of each; must not block.
            clock: Local time in seconds.
        """
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._client_bytes = 0
        """Of the total, what is kept for callers."""
        self._on_slow_reader = on_slow_reader
        self._clock = clock
        self._clients: set[ConnectionBuffer] = set()
        """Those for which bytes are kept: at most one a connection."""
        self._next_check_at = 0.0

    @property
    def utilization(self) -> float:
        """How much of the bound is used; 0 without a bound."""
        return self.total_bytes / self.limit_bytes if self.limit_bytes else 0.0

    def open_connection(
        self, abort_connection: Callable[[], None] | None = None
    ) -> "ConnectionBuffer":
        """Begin to count for one connection.

        Args:
            abort_connection: Ends a caller's connection, from any greenlet, without waiting; None for calls
                to servers, which are never given up here.
        """
        return ConnectionBuffer(self, abort_connection)

    def check(self) -> None:
        """Give callers up until the rest keeps to the bound, as far as they had their grace."""
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
        """Give local time in seconds."""
        return self._clock()

    def on_queued(self, buffer: "ConnectionBuffer", size_bytes: int) -> None:
        """Bytes are kept from now on; only `ConnectionBuffer` calls this."""
        self.total_bytes += size_bytes
        if buffer.is_client:
            self._client_bytes += size_bytes
            self._clients.add(buffer)
        if self._is_over_limit() and self._clock() >= self._next_check_at:
            self.check()

    def on_sent(self, buffer: "ConnectionBuffer", size_bytes: int) -> None:
        """Bytes are kept no longer; only `ConnectionBuffer` calls this."""
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
        caller = SlowReader(buffer.request, buffer.buffered_bytes, now - buffer.last_read_at)
        # Counted no longer, although the connection's greenlet drops them a turn later: otherwise
        # others would be given up for the same bytes.
        buffer.close()
        if buffer.abort_connection is not None:
            buffer.abort_connection()
        self._on_slow_reader(caller)


class ConnectionBuffer:
    """What is kept for one connection."""

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
        """Begin with nothing; see `BufferBudget.open`."""
        self.request = ""
        self.abort_connection = abort_connection
        self.buffered_bytes = 0
        self.last_read_at = 0.0
        """When the peer last took a piece, or had nothing to take."""
        self._budget = budget
        self._sent_bytes = 0
        """Taken since then."""
        self.is_closed = False
        """The connection has ended, or must."""

    @property
    def is_client(self) -> bool:
        """Whether its connection may be given up."""
        return self.abort_connection is not None

    def record_queued(self, size_bytes: int) -> None:
        """Keep some bytes."""
        if self.is_closed or not size_bytes:
            return
        if not self.buffered_bytes:
            self._record_progress()
        self.buffered_bytes += size_bytes
        self._budget.on_queued(self, size_bytes)

    def record_sent(self, size_bytes: int) -> None:
        """Keep some bytes no longer: the peer took them, or nobody will."""
        if self.is_closed or not size_bytes:
            return
        self.buffered_bytes -= size_bytes
        self._sent_bytes += size_bytes
        if self._sent_bytes >= MINIMUM_PROGRESS_BYTES:
            self._record_progress()
        self._budget.on_sent(self, size_bytes)

    def close(self) -> None:
        """Nothing is kept for the connection any more: it ended, or will."""
        remaining_bytes, self.buffered_bytes = self.buffered_bytes, 0
        self._budget.on_sent(self, remaining_bytes)
        self.is_closed = True

    def eviction_priority(self, now: float) -> tuple[float, int]:
        """Give what orders connections: bytes times unread time, then bytes."""
        return self.buffered_bytes * (now - self.last_read_at), self.buffered_bytes

    def _record_progress(self) -> None:
        self.last_read_at = self._budget.now()
        self._sent_bytes = 0
