"""Handles a received command from its checks and proposal to the reply.

`CommandIntake.receive` goes through these cases in order:

1. This replica may not act as leader: the reply is the leader's address.
2. The same command is pending: the reply is sent when that pending command is committed.
3. The same command was applied before: it gets the recorded outcome (`command_ids`).
4. The leader's checks (`acceptance`) fail: it is refused.
5. The command requests a lease that another holder has: the reply names that holder, without a log
   entry.
6. Too many commands are pending (`ControlTimings.maximum_pending_commands`): it is refused as busy.
7. Otherwise the command is proposed, and its outcome is the reply once its log entry is committed.
   An operator whose command is not committed in time gets `outcome_unknown`.
"""

from collections.abc import Callable, Sequence

import msgspec
from result import Err, Result

from merlinstand.common.errors import OutcomeUnknownError, UnavailableError
from merlinstand.common.ids import NodeId
from merlinstand.consensus.replica import Replica
from merlinstand.consensus.step import CommittedEntry, EntryKind, Proposal, UnknownNodeError
from merlinstand.control.acceptance import accept_command
from merlinstand.control.command_ids import command_digest
from merlinstand.control.commands import (
    AcquireLease,
    AnyCommand,
    AnyOutcome,
    ChangeMembership,
    Done,
    LeaseHeld,
    Refused,
)
from merlinstand.control.operator_requests import respond_error, respond_not_leader, respond_outcome
from merlinstand.control.replies import (
    BUSY_RETRY_SECONDS,
    not_proposed_reply,
    outcome_reply,
)
from merlinstand.control.self_report import LeaderHint
from merlinstand.control.settings import ControlTimings
from merlinstand.control.state_machine import AppliedCommand, StateMachine, encode_logged_command
from merlinstand.control.waiters import (
    OperatorWaiter,
    PendingCommand,
    PendingCommands,
    SessionWaiter,
    Waiter,
)
from merlinstand.kernel.effects import Effect
from merlinstand.protocol.generated.control.ttypes import CommandStatus

OUTCOME_UNKNOWN_RETRY_SECONDS = 1.0
"""`Retry-After` for an operator's command whose outcome is unknown."""


class IntakeResult(msgspec.Struct, frozen=True):
    """Result of receiving a command."""

    effects: tuple[Effect, ...]
    proposal: Proposal | None = None
    """Set if the command was proposed; the caller must then perform the proposal's step as well."""


class CommandIntake:
    """Receives, proposes and answers the commands sent to this replica."""

    def __init__(
        self,
        replica: Replica,
        state: StateMachine,
        pending: PendingCommands,
        timings: ControlTimings,
        leader_hint: Callable[[], LeaderHint],
    ) -> None:
        """Receive commands for one replica.

        Args:
            replica: The consensus replica.
            state: The state machine that committed commands are applied to.
            pending: Commands proposed and not yet committed; only the intake changes it.
            timings: Timeout of operators' commands and limit of pending commands.
            leader_hint: Returns the leader that clients are redirected to.
        """
        self._replica = replica
        self._state = state
        self._timings = timings
        self._leader_hint = leader_hint
        self.pending = pending

    def receive(self, command_id: str, command: bytes, waiter: Waiter, now: float) -> IntakeResult:
        """Handle a command from a session or an operator.

        Args:
            command_id: Id given by the client; the same for every resend.
            command: The encoded command.
            waiter: Session or operator that gets the reply.
            now: Local time in seconds.

        Returns:
            Effects, and the proposal if the command was proposed.
        """
        if not self._replica.may_act(now):
            return IntakeResult((self._not_leader(command_id, waiter),))
        pending = self.pending.find(command_id)
        if pending is not None:
            return IntakeResult(self._join_pending(pending, command, waiter))
        completed = self._state.find_completed(command_id, command)
        if completed is not None:
            return IntakeResult((_answer(waiter, completed),))
        accepted = accept_command(command)
        if isinstance(accepted, Err):
            return IntakeResult(
                (_answer(waiter, AppliedCommand(command_id, 0, accepted.err_value)),)
            )
        held = self._find_other_holder(accepted.ok_value, now)
        if held is not None:
            return IntakeResult(
                (_answer(waiter, AppliedCommand(command_id, self._state.applied_index, held)),)
            )
        if len(self.pending) >= self._timings.maximum_pending_commands:
            return IntakeResult((_busy(command_id, waiter),))
        return self._propose(command_id, command, accepted.ok_value, waiter, now)

    def apply_committed(self, entry: CommittedEntry) -> list[Effect]:
        """Apply a committed entry and reply to its waiters."""
        applied: AppliedCommand | None = None
        if entry.kind is EntryKind.COMMAND:
            applied = self._state.apply(entry.index, entry.payload, entry.group_time)
        pending = self.pending.pop(entry.index)
        if pending is None:
            return []
        if pending.term != entry.term:
            # Another leader's entry was committed at this index, so this proposal is lost.
            return self._redirect_waiters(pending)
        if applied is None:
            outcome: AnyOutcome = Done(revision=entry.index)
            applied = AppliedCommand(pending.command_id, entry.index, outcome)
        return [_answer(waiter, applied) for waiter in pending.waiters]

    def resolve_after_restore(self, up_to_index: int) -> list[Effect]:
        """Remove the pending commands whose log entries an installed snapshot covers.

        Operators get `outcome_unknown`.
        """
        effects: list[Effect] = []
        for pending in self.pending.pop_up_to(up_to_index):
            # It is not known whether the entry at that index was this proposal. If the snapshot
            # holds the outcome, the waiter gets it when it resends the command.
            effects.extend(
                _respond_outcome_unknown(waiter) for waiter in _operator_waiters(pending)
            )
        return effects

    def expire(self, now: float) -> list[Effect]:
        """Remove the commands that were not committed within `operator_timeout_seconds`.

        Operators get `outcome_unknown`; sessions resend by themselves.
        """
        oldest = now - self._timings.operator_timeout_seconds
        return [
            _respond_outcome_unknown(waiter)
            for pending in self.pending.pop_older(oldest)
            for waiter in _operator_waiters(pending)
        ]

    def _find_other_holder(self, command: AnyCommand, now: float) -> LeaseHeld | None:
        """Return the other holder of the requested lease, without a log entry.

        Standbys request every lease repeatedly. The refusal changes no state, so it needs no
        consensus: if this replica has not applied a release yet, the standby retries.
        """
        if not isinstance(command, AcquireLease):
            return None
        group_time = self._replica.group_time(now)
        return self._state.leases.find_other_holder(command, group_time)

    def _propose(
        self, command_id: str, data: bytes, command: AnyCommand, waiter: Waiter, now: float
    ) -> IntakeResult:
        result: Result[Proposal, UnavailableError | UnknownNodeError]
        if isinstance(command, ChangeMembership):
            add_node = NodeId(command.add_node) if command.add_node else None
            remove_node = NodeId(command.remove_node) if command.remove_node else None
            result = self._replica.request_replacement(add_node, remove_node, now)
        else:
            result = self._replica.propose(encode_logged_command(command_id, data), now)
        if isinstance(result, Err):
            return IntakeResult((_not_proposed(command_id, waiter, result.err_value),))
        proposal = result.ok_value
        self.pending.add(
            PendingCommand(
                command_id,
                command_digest(data),
                proposal.index,
                proposal.term,
                now,
                [waiter],
            )
        )
        return IntakeResult((), proposal)

    def _join_pending(
        self, pending: PendingCommand, command: bytes, waiter: Waiter
    ) -> tuple[Effect, ...]:
        if pending.digest != command_digest(command):
            refusal = Refused(
                code="invalid_input", detail="another command was sent under this command id"
            )
            return (_answer(waiter, AppliedCommand(pending.command_id, 0, refusal)),)
        if waiter not in pending.waiters:
            pending.waiters.append(waiter)
        return ()

    def _not_leader(self, command_id: str, waiter: Waiter) -> Effect:
        hint = self._leader_hint()
        if isinstance(waiter, OperatorWaiter):
            return respond_not_leader(waiter.request_id, hint.http_address)
        return not_proposed_reply(
            waiter.node_id, command_id, CommandStatus.NOT_LEADER, hint.node_id
        )

    def _redirect_waiters(self, pending: PendingCommand) -> list[Effect]:
        return [self._not_leader(pending.command_id, waiter) for waiter in pending.waiters]


def _operator_waiters(pending: PendingCommand) -> Sequence[OperatorWaiter]:
    return [waiter for waiter in pending.waiters if isinstance(waiter, OperatorWaiter)]


def _answer(waiter: Waiter, applied: AppliedCommand) -> Effect:
    if isinstance(waiter, SessionWaiter):
        return outcome_reply(waiter.node_id, applied.command_id, applied.revision, applied.outcome)
    return respond_outcome(waiter.request_id, applied.revision, applied.outcome)


def _busy(command_id: str, waiter: Waiter) -> Effect:
    error = UnavailableError(
        detail="too many commands wait", retry_after_seconds=BUSY_RETRY_SECONDS
    )
    return _refuse_unavailable(command_id, waiter, error)


def _not_proposed(
    command_id: str, waiter: Waiter, error: UnavailableError | UnknownNodeError
) -> Effect:
    if isinstance(error, UnknownNodeError):
        refusal = Refused(code=UnknownNodeError.code, detail=error.detail)
        return _answer(waiter, AppliedCommand(command_id, 0, refusal))
    return _refuse_unavailable(command_id, waiter, error)


def _refuse_unavailable(command_id: str, waiter: Waiter, error: UnavailableError) -> Effect:
    if isinstance(waiter, SessionWaiter):
        return not_proposed_reply(waiter.node_id, command_id, CommandStatus.BUSY, "")
    return respond_error(waiter.request_id, error)


def _respond_outcome_unknown(waiter: OperatorWaiter) -> Effect:
    error = OutcomeUnknownError(
        detail="not decided in time; send it again under the same command id",
        retry_after_seconds=OUTCOME_UNKNOWN_RETRY_SECONDS,
    )
    return respond_error(waiter.request_id, error)
