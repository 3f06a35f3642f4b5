"""Counts what one connection makes a process hold, and when its client last made progress.

The sums, and the decisions who is refused or closed, are those of `request_budget`.
"""

from collections.abc import Callable
from typing import Protocol

from merlinstand.common.errors import MerlinstandError

CONNECTION_BYTES = 20_000
"""Memory of an open connection: its greenlet, handler, buffers and timer."""
PROGRESS_FRACTION = 1 / 32
"""Progress is at least this fraction of the bytes held. Slower bodies would exceed the default read
timeout."""
MINIMUM_PROGRESS_BYTES = 64 * 1024
"""Progress of a large body is at least this; any byte is progress of a small one."""
CONNECTION_RESERVE_FRACTION = 1 / 16
"""Fraction of the maximum connections that is kept free by closing resting ones."""
CLOSING_BATCH_FRACTION = 1 / 32
"""When connections are closed for others, this fraction of the limit is freed besides, so that not
every new connection causes a search."""


class ConnectionGroup:
    """The connections of one listening address."""

    __slots__ = ("count", "limit", "target")

    def __init__(self, maximum_connections: int) -> None:
        """Start without connections.

        Args:
            maximum_connections: How many the address accepts at most.
        """
        self.count = 0
        self.limit = maximum_connections * (1 - CONNECTION_RESERVE_FRACTION)
        """Above it, resting connections are closed."""
        self.target = self.limit - maximum_connections * CLOSING_BATCH_FRACTION
        """How many may be left then."""


class Budget(Protocol):
    """What a connection's usage needs of its process's `RequestBudget`."""

    def now(self) -> float:
        """Return local time in seconds."""
        ...

    def add_small(self, usage: "ConnectionUsage", size_bytes: int) -> MerlinstandError | None:
        """Count bytes of a small request, or return an error."""
        ...

    def release_small(self, size_bytes: int) -> None:
        """Stop counting bytes of a small request."""
        ...

    def add_large(self, usage: "ConnectionUsage", size_bytes: int) -> MerlinstandError | None:
        """Count bytes of a large body, or return an error."""
        ...

    def shrink_large(self, size_bytes: int) -> None:
        """Give back what a large body reserved and did not need."""
        ...

    def release_large(self, usage: "ConnectionUsage", seconds: float | None) -> None:
        """Stop counting a large body."""
        ...

    def admit_processing(self, usage: "ConnectionUsage") -> MerlinstandError | None:
        """Return an error if there is no room to process a large body that has arrived."""
        ...

    def remove(self, usage: "ConnectionUsage") -> None:
        """Stop counting an open connection."""
        ...


class ConnectionUsage:
    """Counts what one connection holds."""

    __slots__ = (
        "_budget",
        "_moved_before",
        "_small_request_bytes",
        "_started_at",
        "body_bytes",
        "end_connection",
        "evicted_with",
        "group",
        "has_served",
        "has_unread",
        "is_arriving",
        "is_closed",
        "is_growing",
        "is_running",
        "moved_bytes",
        "peer",
        "progress_at",
    )

    def __init__(
        self,
        budget: Budget,
        group: ConnectionGroup,
        peer: str,
        end_connection: Callable[[], None],
        has_unread: Callable[[], bool],
    ) -> None:
        """Create the usage of a new connection; see `RequestBudget.open_connection`."""
        self.group = group
        self.peer = peer
        self.end_connection = end_connection
        self.has_unread = has_unread
        self.has_served = False
        """Whether a request of this connection has reached the reducer and ended."""
        self.is_arriving = False
        """Whether a request has begun to arrive and is neither complete nor rejected."""
        self.is_running = False
        """Whether the request has reached the reducer, so that it must not be closed here."""
        self.is_growing = False
        """Whether the length of the large body is unknown."""
        self.is_closed = False
        self.evicted_with: MerlinstandError | None = None
        """The error for the client, if the connection was closed here before its request ran."""
        self.body_bytes = 0
        """Bytes reserved for a large body; 0 for a small one."""
        self.moved_bytes = 0
        """Bytes of the current request that have arrived."""
        self.progress_at = budget.now()
        self._budget = budget
        self._moved_before = 0
        """`moved_bytes` at the last progress."""
        self._small_request_bytes = 0
        self._started_at = self.progress_at

    @property
    def held_bytes(self) -> int:
        """Everything that is counted for this connection."""
        return CONNECTION_BYTES + self._small_request_bytes + self.body_bytes

    def closing_priority(self, now: float) -> tuple[bool, float]:
        """Return the sort key: no request served yet, then bytes held times time without progress.

        A connection whose earlier requests were served rests longer than one that never sent any.
        """
        return not self.has_served, self.held_bytes * (now - self.progress_at)

    def begin_request(self) -> None:
        """Start a request: its first byte has arrived."""
        self.is_arriving = True
        self._started_at = self.progress_at = self._budget.now()
        self.moved_bytes = self._moved_before = 0

    def add_head(self, size_bytes: int) -> MerlinstandError | None:
        """Count bytes of a head that have arrived; returns an error if there is no room."""
        self.record_arrived(size_bytes)
        return self.add_small(size_bytes)

    def add_small(self, size_bytes: int) -> MerlinstandError | None:
        """Count bytes of a head or a small body; returns an error if there is no room."""
        if self.is_closed:
            return self.evicted_with
        error = self._budget.add_small(self, size_bytes)
        if error is None:
            self._small_request_bytes += size_bytes
        return error

    def reserve_body(self, size_bytes: int, is_final: bool) -> MerlinstandError | None:
        """Reserve room for a large body; returns an error if there is no room.

        Args:
            size_bytes: Its length, or the length up to which it may grow for now.
            is_final: Whether this is its announced length.
        """
        if self.is_closed:
            return self.evicted_with
        self.is_growing = not is_final
        error = self._budget.add_large(self, size_bytes - self.body_bytes)
        if error is None:
            self.body_bytes = size_bytes
        return error

    def record_arrived(self, size_bytes: int) -> None:
        """Record bytes of the request that have arrived."""
        self.moved_bytes += size_bytes
        needed = 1
        if self.body_bytes:
            needed = max(MINIMUM_PROGRESS_BYTES, int(PROGRESS_FRACTION * self.body_bytes))
        if self.moved_bytes - self._moved_before >= needed:
            self._moved_before = self.moved_bytes
            self.progress_at = self._budget.now()

    def end_arrival(self) -> None:
        """Record that the request has arrived completely, or was rejected before."""
        self.is_arriving = False

    def record_complete(self, size_bytes: int) -> MerlinstandError | None:
        """Record that the body, of this size, has arrived and is passed to the reducer.

        Returns:
            An error if there is no room to process it, or if the connection was closed meanwhile.
        """
        if self.is_closed:
            return self.evicted_with
        if self.body_bytes:
            self._budget.shrink_large(self.body_bytes - size_bytes)
            self.body_bytes = size_bytes
            error = self._budget.admit_processing(self)
            if error is not None:
                return error
        self.is_running = True
        return None

    def end_request(self) -> None:
        """Stop counting the request, whose response has been sent, or which was refused."""
        self.progress_at = self._budget.now()
        self._budget.release_small(self._small_request_bytes)
        self._small_request_bytes = 0
        if self.body_bytes:
            seconds = self.progress_at - self._started_at
            self._budget.release_large(self, seconds if self.is_running else None)
            self.body_bytes = 0
        self.has_served |= self.is_running
        self.is_arriving = self.is_running = self.is_growing = False

    def close(self) -> None:
        """Stop counting the connection, which has ended or is being closed."""
        if not self.is_closed:
            self.end_request()
            self.is_closed = True
            self._budget.remove(self)
