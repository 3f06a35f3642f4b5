"""Limits the bytes that a process holds of responses that are arriving.

If room is short, the response that is expected to need most more is given up first: one without a
declared length, the largest of them; then the one with most undeclared bytes left. Responses up to
`SMALL_RESPONSE_BYTES` are counted but never given up, so that a flood of large responses doesn't
fail lookups. A large response that is the only one is never given up either.
"""

import math
from collections.abc import Callable

from merlinstand.runtime.allocator import prepare_for_block
from merlinstand.runtime.host_settings import HttpLimits
from merlinstand.runtime.kept_bytes import BUFFER_SHARE, MINIMUM_LIMIT_BYTES
from merlinstand.runtime.request_limits import available_bytes

SMALL_RESPONSE_BYTES = 64 * 1024
"""Larger responses count as large."""


def response_limit_bytes(settings: HttpLimits) -> int:
    """Return how many bytes a process may hold of responses that are arriving or not yet sent.

    The same limit as that of `kept_bytes`, since a response goes from one to the other.
    """
    share = int(BUFFER_SHARE * available_bytes(settings.memory_bytes))
    return settings.response_bytes or max(MINIMUM_LIMIT_BYTES, share)


class NoResponseRoomError(ValueError):
    """The response was given up because others need its room."""


class ResponseBudget:
    """Tracks and limits the responses that one process is receiving."""

    def __init__(self, limit_bytes: int = 0, other_bytes: Callable[[], int] = lambda: 0) -> None:
        """Create an empty budget.

        Args:
            limit_bytes: Limit; 0 for none.
            other_bytes: Returns what else counts towards the limit.
        """
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._other_bytes = other_bytes
        self._large: dict[ResponseUsage, None] = {}
        """Responses that hold more than `SMALL_RESPONSE_BYTES` now."""

    def open_response(self, give_up: Callable[[], None]) -> "ResponseUsage":
        """Create the usage of one response.

        Args:
            give_up: Ends the call with `NoResponseRoomError`, from any greenlet, without blocking.
                It must not refer to the response, whose memory would then be freed late.
        """
        return ResponseUsage(self, give_up)

    def add(self, usage: "ResponseUsage", size_bytes: int) -> None:
        """Count bytes, and give up responses if there are too many; for `ResponseUsage`."""
        self.total_bytes += size_bytes
        prepare_for_block(self.total_bytes)
        if usage.held_bytes > SMALL_RESPONSE_BYTES:
            self._large[usage] = None
        else:
            # The event of a stream has ended, or its head.
            self._large.pop(usage, None)
        if self.limit_bytes and size_bytes > 0:
            self._make_room()

    def remove(self, usage: "ResponseUsage") -> None:
        """Stop counting a response; for `ResponseUsage`."""
        self.total_bytes -= usage.held_bytes
        self._large.pop(usage, None)

    def _make_room(self) -> None:
        while len(self._large) > 1 and self.total_bytes + self._other_bytes() > self.limit_bytes:
            victim = max(self._large, key=lambda usage: (usage.missing_bytes, usage.held_bytes))
            # Not counted from now on: its greenlet drops the bytes in the next loop iteration.
            victim.close()
            victim.is_given_up = True
            victim.give_up()


class ResponseUsage:
    """Counts what one response holds."""

    __slots__ = ("_budget", "_is_closed", "declared_bytes", "give_up", "held_bytes", "is_given_up")

    def __init__(self, budget: ResponseBudget, give_up: Callable[[], None]) -> None:
        """Create the usage; see `ResponseBudget.open_response`."""
        self._budget = budget
        self._is_closed = False
        self.give_up = give_up
        self.held_bytes = 0
        self.declared_bytes: int | None = None
        """Declared length of the body, once the head is complete."""
        self.is_given_up = False

    @property
    def missing_bytes(self) -> float:
        """Bytes that are expected to follow; infinite without a declared length."""
        if self.declared_bytes is None:
            return math.inf
        return max(0, self.declared_bytes - self.held_bytes)

    def set_held(self, size_bytes: int) -> None:
        """Record how many bytes the response holds now.

        Raises:
            NoResponseRoomError: The response was given up.
        """
        if not self._is_closed and size_bytes != self.held_bytes:
            growth = size_bytes - self.held_bytes
            self.held_bytes = size_bytes
            self._budget.add(self, growth)
        if self.is_given_up:
            raise NoResponseRoomError("others need the room")

    def close(self) -> None:
        """Stop counting the response."""
        if not self._is_closed:
            self._is_closed = True
            self._budget.remove(self)
