"""Requests that wait for their log entry to be committed, kept by the daemon that proposed it."""

from typing import Generic, TypeVar

import msgspec

from merlinstand.common.ids import RequestId

Reply = TypeVar("Reply")


class PendingProposal(msgspec.Struct, Generic[Reply], frozen=True):
    """A request and the reply to send once its entry is committed."""

    request_id: RequestId
    reply: Reply
    term: int
    """Term of the proposal, which is lost if an entry of another term commits at its index."""
    deadline: float
    """Local time after which the reply states that the outcome is undecided."""


class PendingProposals(Generic[Reply]):
    """Waiting requests by the log index of their entries."""

    def __init__(self) -> None:
        self._by_index: dict[int, PendingProposal[Reply]] = {}

    def __len__(self) -> int:
        """Number of waiting requests."""
        return len(self._by_index)

    def add(self, index: int, waiter: PendingProposal[Reply]) -> None:
        """Add a request that waits for the entry at `index`."""
        self._by_index[index] = waiter

    def take(self, index: int) -> PendingProposal[Reply] | None:
        """Remove and return the request waiting for `index`, or None."""
        return self._by_index.pop(index, None)

    def take_expired(self, now: float) -> list[PendingProposal[Reply]]:
        """Remove and return the requests whose deadline has passed."""
        late = [index for index, waiter in self._by_index.items() if waiter.deadline <= now]
        return [self._by_index.pop(index) for index in late]
