"""Linearizable reads: wait for the read barrier, then reply from the applied state."""

from collections.abc import Callable

import msgspec

from merlinstand.common.errors import NotFoundError, UnavailableError
from merlinstand.common.ids import NodeId, RequestId
from merlinstand.control.operator_requests import (
    configuration_body,
    respond_error,
    respond_json,
    respond_not_leader,
)
from merlinstand.control.queries import (
    AnyAnswer,
    AnyQuery,
    CommandQuery,
    LeaseQuery,
    LedgerAnswer,
    LedgerQuery,
    MembersAnswer,
    MembersQuery,
)
from merlinstand.control.replies import BUSY_RETRY_SECONDS, query_reply
from merlinstand.control.self_report import LeaderHint
from merlinstand.control.state_machine import StateMachine
from merlinstand.kernel.effects import Effect
from merlinstand.protocol.generated.control.ttypes import CommandStatus

MAXIMUM_PENDING_READS = 1_024
"""Maximum number of reads that wait for their read barrier; further reads are refused as busy."""


class SessionRead(msgspec.Struct, frozen=True):
    """A daemon's query."""

    node_id: NodeId
    query_id: str
    query: AnyQuery


class OperatorRead(msgspec.Struct, frozen=True):
    """An operator's query."""

    request_id: RequestId
    query: AnyQuery


class OperatorConfigurationRead(msgspec.Struct, frozen=True):
    """An operator's read of the configuration."""

    request_id: RequestId
    prefix: str


Read = SessionRead | OperatorRead | OperatorConfigurationRead


class PendingReads:
    """Reads that wait for their read barrier."""

    def __init__(
        self,
        state: StateMachine,
        members: Callable[[float], MembersAnswer],
        group_time: Callable[[float], float],
        leader_hint: Callable[[], LeaderHint],
    ) -> None:
        """No read is pending at first.

        Args:
            state: State machine that is read.
            members: Returns the group's members at a local time.
            group_time: Returns the group time at a local time.
            leader_hint: Returns the leader that clients are redirected to.
        """
        self._state = state
        self._members = members
        self._group_time = group_time
        self._leader_hint = leader_hint
        self._waiting: dict[str, Read] = {}
        self._counter = 0

    def add(self, read: Read) -> str | None:
        """Add a read.

        Returns:
            The id for its read barrier, or None if too many reads are pending.
        """
        if len(self._waiting) >= MAXIMUM_PENDING_READS:
            return None
        self._counter += 1
        read_id = f"read-{self._counter}"
        self._waiting[read_id] = read
        return read_id

    def complete(self, read_id: str, now: float) -> list[Effect]:
        """Reply to a read whose barrier was passed."""
        read = self._waiting.pop(read_id, None)
        match read:
            case None:
                return []
            case OperatorConfigurationRead():
                body = configuration_body(self._state.objects.table, read.prefix)
                return [respond_json(read.request_id, body)]
            case OperatorRead():
                answer = self._find_answer(read.query, now)
                if answer is None:
                    return [
                        respond_error(
                            read.request_id, NotFoundError(detail="no such job or command")
                        )
                    ]
                return [respond_json(read.request_id, answer)]
            case SessionRead():
                return [self._reply(read, self._find_answer(read.query, now))]

    def redirect(self, read_id: str) -> list[Effect]:
        """Redirect the client of a read whose barrier failed to the leader."""
        read = self._waiting.pop(read_id, None)
        return [] if read is None else [self._redirect_reply(read)]

    def refuse_busy(self, read: Read) -> Effect:
        """Build the reply to a read that was not added."""
        if isinstance(read, SessionRead):
            return query_reply(read.node_id, read.query_id, CommandStatus.BUSY, b"", "")
        error = UnavailableError(
            detail="too many reads wait", retry_after_seconds=BUSY_RETRY_SECONDS
        )
        return respond_error(read.request_id, error)

    def cancel_request(self, request_id: RequestId) -> None:
        """Remove the read of an operator's request that was aborted."""
        self._waiting = {
            read_id: read
            for read_id, read in self._waiting.items()
            if isinstance(read, SessionRead) or read.request_id != request_id
        }

    def _redirect_reply(self, read: Read) -> Effect:
        hint = self._leader_hint()
        if isinstance(read, SessionRead):
            status = CommandStatus.NOT_LEADER
            return query_reply(read.node_id, read.query_id, status, b"", hint.node_id)
        return respond_not_leader(read.request_id, hint.http_address)

    def _reply(self, read: SessionRead, answer: AnyAnswer | None) -> Effect:
        if answer is None:
            return query_reply(read.node_id, read.query_id, CommandStatus.REJECTED, b"", "")
        encoded = msgspec.msgpack.encode(answer)
        return query_reply(read.node_id, read.query_id, CommandStatus.APPLIED, encoded, "")

    def _find_answer(self, query: AnyQuery, now: float) -> AnyAnswer | None:
        match query:
            case LedgerQuery():
                return self._ledger(query.job)
            case LeaseQuery():
                return self._state.lease_states(self._group_time(now))
            case MembersQuery():
                return self._members(now)
            case CommandQuery():
                return self._state.command_answer(query.command_id)

    def _ledger(self, job: str) -> LedgerAnswer | None:
        return self._state.ledger(job)
