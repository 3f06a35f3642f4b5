"""Requests that wait for the fate of a log entry; owned by the daemon that proposed it."""

from typing import Generic, TypeVar

import msgspec

from merlinstand.common.ids import RequestId

Reply = TypeVar("Reply")


class PendingProposal(msgspec.Struct, Generic[Reply], frozen=True):
    """A request and what it is answered once its entry is committed."""

    request_id: RequestId
    reply: Reply
    term: int
    """Term of the proposal: an entry of another term at its position means that it was lost."""
    deadline: float
    """Local time at which it is answered without a decision."""


class PendingProposals(Generic[Reply]):
    """Waiting requests by the position of their log entries."""

    def __init__(self) -> None:
        """Begin with none."""
        self._by_index: dict[int, PendingProposal[Reply]] = {}

    def __len__(self) -> int:
        """Requests that wait."""
        return len(self._by_index)

    def add(self, index: int, waiter: PendingProposal[Reply]) -> None:
        """Let a request wait for the entry at a position."""
        self._by_index[index] = waiter

    def take(self, index: int) -> PendingProposal[Reply] | None:
        """Give the request whose entry's position is decided now."""
        return self._by_index.pop(index, None)

    def take_expired(self, now: float) -> list[PendingProposal[Reply]]:
        """Give the requests that have waited long enough."""
        late = [index for index, waiter in self._by_index.items() if waiter.deadline <= now]
        return [self._by_index.pop(index) for index in late]
