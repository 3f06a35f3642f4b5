"""Limits what unfinished requests of clients make a process hold (docs/design/client-limits.md).

`RequestBudget` keeps the sums of a process; `connection_usage` counts one connection. Small
requests and large bodies have separate limits. If room is short, clients without progress are
closed, most bytes times time first; requests that have reached the reducer are never closed here.
Bytes of responses are counted by `kept_bytes`.
"""

import enum
from collections.abc import Callable, Collection

import msgspec

from merlinstand.common.boot_clock import boot_seconds
from merlinstand.common.errors import MerlinstandError
from merlinstand.decisions.return_order import ReturnOrder
from merlinstand.runtime.connection_usage import (
    CLOSING_BATCH_FRACTION,
    CONNECTION_BYTES,
    ConnectionGroup,
    ConnectionUsage,
)
from merlinstand.runtime.errors import NoRoomError
from merlinstand.runtime.request_limits import RequestLimits

CALM_BYTES = 8_000_000
"""If the rest of a process holds no more than this, its only large body may be processed, however
small the machine."""
SMALL_BODY_BYTES = 64 * 1024
"""Larger bodies count as large."""
GRACE_SECONDS = 0.5
"""A client that made progress within this time is not closed."""
CHECK_INTERVAL_SECONDS = 0.1
"""Minimum interval between two searches for clients to close, if the last one found none."""
SMALL_RETRY_SECONDS = 0.1
"""Smallest Retry-After of a small request."""
USUAL_SECONDS = 1.0
"""How long requests that fill their room are assumed to occupy it."""


class Reason(enum.StrEnum):
    """Why a client was refused or closed; the text goes to the log and the metrics."""

    LARGE_BODIES = "large_bodies"
    """Large bodies take all room for them."""
    SMALL_REQUESTS = "small_requests"
    """Connections, heads and small bodies take all room for them."""
    CONNECTIONS = "connections"
    """Nearly all connections are taken."""


class Action(enum.StrEnum):
    """What happened to a client."""

    REFUSED = "refused"
    """Its request found no room; it got 503."""
    CLOSED = "closed"
    """It held room without progress, and others needed it."""


class Decision(msgspec.Struct, frozen=True):
    """One client that was refused or closed, for the log."""

    action: Action
    reason: Reason
    peer: str
    """IP address of the client."""
    held_bytes: int
    idle_seconds: float
    """Time since its last progress."""


class RequestBudget:
    """Tracks and limits what the unfinished requests of one process hold."""

    def __init__(
        self,
        limits: RequestLimits | None = None,
        on_decision: Callable[[Decision], None] = lambda _decision: None,
        clock: Callable[[], float] = boot_seconds,
        other_bytes: Callable[[], int] = lambda: 0,
    ) -> None:
        """Create an empty budget.

        Args:
            limits: The limits; none if None.
            on_decision: Called for each refused or closed client; must not block.
            clock: Returns local time in seconds.
            other_bytes: Returns what the process holds for clients besides requests.
        """
        self.limits = limits or RequestLimits()
        self._other_bytes = other_bytes
        self.small_bytes = 0
        self.large_bytes = 0
        self._on_decision = on_decision
        self._clock = clock
        self._usages: dict[ConnectionUsage, None] = {}
        self._groups: list[ConnectionGroup] = []
        self._large: dict[ConnectionUsage, None] = {}
        """Connections with a large body; at most as many as fit."""
        self._next_search_at = dict.fromkeys(Reason, 0.0)
        self._returns = {
            Reason.SMALL_REQUESTS: ReturnOrder(SMALL_RETRY_SECONDS, USUAL_SECONDS),
            Reason.LARGE_BODIES: ReturnOrder(GRACE_SECONDS, USUAL_SECONDS),
        }

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._usages)

    def now(self) -> float:
        """Return local time in seconds."""
        return self._clock()

    def add_group(self, maximum_connections: int) -> ConnectionGroup:
        """Add a listening address that accepts this many connections."""
        group = ConnectionGroup(maximum_connections)
        self._groups.append(group)
        return group

    def open_connection(
        self,
        group: ConnectionGroup,
        peer: str,
        close: Callable[[], None],
        has_unread: Callable[[], bool],
    ) -> ConnectionUsage:
        """Count a new connection, and close resting ones if there are too many.

        Args:
            group: The address that accepted it.
            peer: IP address of the client.
            close: Ends the connection, from any greenlet, without blocking.
            has_unread: Returns whether bytes of the client have arrived and wait to be read.
        """
        usage = ConnectionUsage(self, group, peer, close, has_unread)
        self._usages[usage] = None
        group.count += 1
        self.small_bytes += CONNECTION_BYTES
        if group.count > group.limit or not self._small_fits(0):
            self.check()
        return usage

    def check(self) -> None:
        """Close clients without progress as long as connections or small bytes are short."""
        for group in self._groups:
            if group.count > group.limit:
                self._close_resting(group)
        if not self._small_fits(0):
            batch_bytes = int(CLOSING_BATCH_FRACTION * self.limits.small_bytes)
            self._make_room(Reason.SMALL_REQUESTS, lambda: self._small_fits(batch_bytes))

    def end_arriving(self, error: MerlinstandError) -> int:
        """Reject the requests that are still arriving, because the process stops.

        Returns:
            Their number.
        """
        arriving = [usage for usage in self._usages if usage.is_arriving]
        for usage in arriving:
            usage.evicted_with = error
            usage.close()
            usage.end_connection()
        return len(arriving)

    def remove(self, usage: ConnectionUsage) -> None:
        """Stop counting an open connection; only `ConnectionUsage` calls this."""
        del self._usages[usage]
        usage.group.count -= 1
        self.small_bytes -= CONNECTION_BYTES

    def add_small(self, usage: ConnectionUsage, size_bytes: int) -> NoRoomError | None:
        """Count bytes of a small request, or return an error; only `ConnectionUsage` calls this."""
        if not self._small_fits(size_bytes):
            batch_bytes = size_bytes + int(CLOSING_BATCH_FRACTION * self.limits.small_bytes)
            self._make_room(Reason.SMALL_REQUESTS, lambda: self._small_fits(batch_bytes), usage)
            if not self._small_fits(size_bytes):
                return self._refuse(usage, Reason.SMALL_REQUESTS, size_bytes)
        self.small_bytes += size_bytes
        return None

    def add_large(self, usage: ConnectionUsage, size_bytes: int) -> NoRoomError | None:
        """Count bytes of a large body, or return an error; only `ConnectionUsage` calls this.

        If no client stands still, bodies without an announced length that have moved less than
        this one are rejected first.
        """

        def fits() -> bool:
            return self._large_fits(usage, size_bytes)

        has_room = self._make_room(Reason.LARGE_BODIES, fits, usage)
        has_room = has_room or self._reject_least_moved(usage, size_bytes)
        if not has_room:
            return self._refuse(usage, Reason.LARGE_BODIES, usage.body_bytes + size_bytes)
        self.large_bytes += size_bytes
        self._large[usage] = None
        return None

    def release_small(self, size_bytes: int) -> None:
        """Stop counting bytes of a small request; only `ConnectionUsage` calls this."""
        self.small_bytes -= size_bytes

    def shrink_large(self, size_bytes: int) -> None:
        """Give back what a large body reserved and did not need."""
        self.large_bytes -= size_bytes

    def admit_processing(self, usage: ConnectionUsage) -> NoRoomError | None:
        """Return an error if there is no room to process a large body that has arrived."""
        limits = self.limits
        held_bytes = self.small_bytes + self.large_bytes + self._other_bytes()
        needed_bytes = held_bytes + limits.body_copies * usage.body_bytes
        is_calm = held_bytes - usage.body_bytes <= CALM_BYTES
        if not limits.available_bytes or is_calm or needed_bytes <= limits.available_bytes:
            return None
        return self._refuse(usage, Reason.LARGE_BODIES, usage.body_bytes)

    def release_large(self, usage: ConnectionUsage, seconds: float | None) -> None:
        """Stop counting a large body; only `ConnectionUsage` calls this.

        Args:
            usage: The connection.
            seconds: How long the body occupied its room; None if it never arrived.
        """
        self.large_bytes -= usage.body_bytes
        del self._large[usage]
        if seconds is not None:
            share = self._large_share(usage.body_bytes)
            self._returns[Reason.LARGE_BODIES].record_use(seconds, share)

    def _small_fits(self, size_bytes: int) -> bool:
        limit = self.limits.small_bytes
        return not limit or self.small_bytes + size_bytes <= limit

    def _close_resting(self, group: ConnectionGroup) -> None:
        self._make_room(Reason.CONNECTIONS, lambda: group.count <= group.target, group=group)

    def _large_fits(
        self,
        usage: ConnectionUsage,
        size_bytes: int,
        without: Collection[ConnectionUsage] = (),
    ) -> bool:
        """Return whether a body may take more bytes, if some others are closed."""
        limit = self.limits.large_bytes
        others = [
            other.body_bytes for other in self._large if other is not usage and other not in without
        ]
        if not limit or not others:
            return True
        own_bytes = usage.body_bytes + size_bytes
        largest = max(own_bytes, *others)
        return own_bytes + sum(others) + self.limits.body_copies * largest <= limit

    def _large_share(self, size_bytes: int) -> float:
        limit = self.limits.large_bytes
        return min(1.0, (1 + self.limits.body_copies) * size_bytes / limit) if limit else 0.0

    def _make_room(
        self,
        reason: Reason,
        fits: Callable[[], bool],
        usage: ConnectionUsage | None = None,
        group: ConnectionGroup | None = None,
    ) -> bool:
        """Close clients without progress until there is room; return whether there is.

        Args:
            reason: What is short.
            fits: Returns whether there is room.
            usage: The connection that needs it, which is not closed.
            group: If set, only connections of this address are closed.
        """
        if fits():
            return True
        now = self.now()
        if now < self._next_search_at[reason]:
            return False
        for candidate in self._closable(reason, now):
            if group is not None and candidate.group is not group:
                continue
            if candidate is not usage and not candidate.has_unread():
                self._close(candidate, reason, now)
                if fits():
                    return True
        self._next_search_at[reason] = now + CHECK_INTERVAL_SECONDS
        return False

    def _closable(self, reason: Reason, now: float) -> list[ConnectionUsage]:
        among = self._large if reason is Reason.LARGE_BODIES else self._usages
        found = [
            usage
            for usage in among
            if not usage.is_running and now - usage.progress_at >= GRACE_SECONDS
        ]
        if reason is Reason.SMALL_REQUESTS:
            # Large bodies are counted apart.
            found = [usage for usage in found if usage not in self._large]
        return sorted(found, key=lambda usage: usage.closing_priority(now), reverse=True)

    def _reject_least_moved(self, usage: ConnectionUsage, size_bytes: int) -> bool:
        """Reject growing bodies that have moved less than this one, if that makes room for it."""
        behind = [
            other
            for other in self._large
            if other.is_growing and not other.is_running and other.moved_bytes < usage.moved_bytes
        ]
        if not self._large_fits(usage, size_bytes, behind):
            return False
        for other in sorted(behind, key=lambda other: other.moved_bytes):
            self._close(other, Reason.LARGE_BODIES, self.now())
            if self._large_fits(usage, size_bytes):
                break
        return True

    def _close(self, usage: ConnectionUsage, reason: Reason, now: float) -> None:
        decision = Decision(
            Action.CLOSED, reason, usage.peer, usage.held_bytes, now - usage.progress_at
        )
        # Not counted from now on: the connection's greenlet drops the bytes in the next loop
        # iteration, and until then they would cause further clients to be closed.
        usage.evicted_with = self._no_room(reason, usage.body_bytes)
        usage.close()
        usage.end_connection()
        self._on_decision(decision)

    def _refuse(self, usage: ConnectionUsage, reason: Reason, size_bytes: int) -> NoRoomError:
        idle_seconds = self.now() - usage.progress_at
        self._on_decision(Decision(Action.REFUSED, reason, usage.peer, size_bytes, idle_seconds))
        return self._no_room(reason, size_bytes)

    def _no_room(self, reason: Reason, size_bytes: int) -> NoRoomError:
        if reason is Reason.LARGE_BODIES:
            held, limit = self.large_bytes, self.limits.large_bytes
            share = self._large_share(size_bytes)
        else:
            held, limit = self.small_bytes, self.limits.small_bytes
            share = (CONNECTION_BYTES + size_bytes) / limit if limit else 0.0
            reason = Reason.SMALL_REQUESTS
        seconds = self._returns[reason].retry_after_seconds(self.now(), share)
        detail = f"no room for {size_bytes} bytes: {held} of {limit} bytes are in use"
        return NoRoomError(detail=detail, retry_after_seconds=round(seconds, 3))
