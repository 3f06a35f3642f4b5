"""Commands that were proposed and are not yet committed, and the clients waiting for them."""

import msgspec

from merlinstand.common.ids import NodeId, RequestId


class SessionWaiter(msgspec.Struct, frozen=True):
    """A daemon's session, which gets its reply as a message."""

    node_id: NodeId


class OperatorWaiter(msgspec.Struct, frozen=True):
    """An operator's HTTP request, which gets its reply as a response."""

    request_id: RequestId


Waiter = SessionWaiter | OperatorWaiter


class PendingCommand(msgspec.Struct):
    """One proposed command; `index` and `term` are those of its log entry."""

    command_id: str
    digest: int
    index: int
    term: int
    proposed_at: float
    """Local time in seconds."""
    waiters: list[Waiter]


class PendingCommands:
    """Proposed commands by id and by log position."""

    def __init__(self) -> None:
        self._by_id: dict[str, PendingCommand] = {}
        self._by_index: dict[int, PendingCommand] = {}

    def __len__(self) -> int:
        """Return the number of pending commands."""
        return len(self._by_id)

    def find(self, command_id: str) -> PendingCommand | None:
        """Return the pending command with an id."""
        return self._by_id.get(command_id)

    def add(self, pending: PendingCommand) -> None:
        """Add a command that was just proposed."""
        self._by_id[pending.command_id] = pending
        self._by_index[pending.index] = pending

    def pop(self, index: int) -> PendingCommand | None:
        """Remove and return the command proposed at a log position."""
        pending = self._by_index.pop(index, None)
        if pending is not None:
            self._by_id.pop(pending.command_id, None)
        return pending

    def pop_up_to(self, index: int) -> list[PendingCommand]:
        """Remove and return every command proposed at or below a log position."""
        positions = [position for position in self._by_index if position <= index]
        return [pending for position in positions if (pending := self.pop(position))]

    def pop_older(self, proposed_before: float) -> list[PendingCommand]:
        """Remove and return the commands proposed before a local time in seconds."""
        positions = [
            position
            for position, pending in self._by_index.items()
            if pending.proposed_at < proposed_before
        ]
        return [pending for position in positions if (pending := self.pop(position))]

    def remove_operator(self, request_id: RequestId) -> None:
        """Remove an aborted request from the waiters; its command stays pending."""
        waiter = OperatorWaiter(request_id)
        for pending in self._by_id.values():
            if waiter in pending.waiters:
                pending.waiters.remove(waiter)
