"""From a received command to its answer: acceptance, proposal, decision.

A command is answered, in this order (`CommandIntake.receive`), by:

1. A replica that may not act as leader: where the leader is.
2. The same command under way: with that one's answer, when it is decided.
3. The same command applied before: the answer remembered (`command_ids`).
4. The leader's checks (`acceptance`): a refusal.
5. A lease that somebody else holds: its holder, without an entry in the log.
6. Too many commands waiting (`ControlTimings.maximum_pending_commands`): busy.
7. Otherwise the decision on its entry in the log; an operator whose command is not decided in time
   learns that its outcome is unknown.

Owns the commands proposed and not decided; relies on the consensus replica for the log and on the
state machine for outcomes.
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
"""Seconds until an operator sends a command again whose outcome is not known. Chosen, not
measured."""


class IntakeResult(msgspec.Struct, frozen=True):
    """What came of a received command."""

    effects: tuple[Effect, ...]
    proposal: Proposal | None = None
    """Its step is to be performed as well."""


class CommandIntake:
    """Commands on their way through this replica."""

    def __init__(
        self,
        replica: Replica,
        state: StateMachine,
        pending: PendingCommands,
        timings: ControlTimings,
        leader_hint: Callable[[], LeaderHint],
    ) -> None:
        """Make an intake.

        Args:
            replica: The consensus replica.
            state: The state machine that committed commands are applied to.
            pending: Commands proposed and not decided; only the intake changes it.
            timings: Limits.
            leader_hint: Returns where clients should go instead.
        """
        self._replica = replica
        self._state = state
        self._timings = timings
        self._leader_hint = leader_hint
        self.pending = pending

    def receive(self, command_id: str, command: bytes, waiter: Waiter, now: float) -> IntakeResult:
        """Take a command from a session or an operator.

        Args:
            command_id: The client's name for it.
            command: Its encoding.
            waiter: Who is to be answered.
            now: Local time in seconds.

        Returns:
            Effects, and the proposal if it was proposed.
        """
        if not self._replica.may_act(now):
            return IntakeResult((self._not_leader(command_id, waiter),))
        pending = self.pending.find(command_id)
        if pending is not None:
            return IntakeResult(self._join_pending(pending, command, waiter))
        answered = self._state.find_completed(command_id, command)
        if answered is not None:
            return IntakeResult((_answer(waiter, answered),))
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
        """Apply a committed entry and answer whoever waits for it."""
        applied: AppliedCommand | None = None
        if entry.kind is EntryKind.COMMAND:
            applied = self._state.apply(entry.index, entry.payload, entry.group_time)
        pending = self.pending.pop(entry.index)
        if pending is None:
            return []
        if pending.term != entry.term:
            # Another leader's entry stands where ours was: ours is lost for good.
            return self._redirect_waiters(pending)
        if applied is None:
            outcome: AnyOutcome = Done(revision=entry.index)
            applied = AppliedCommand(pending.command_id, entry.index, outcome)
        return [_answer(waiter, applied) for waiter in pending.waiters]

    def resolve_after_restore(self, up_to_index: int) -> list[Effect]:
        """Settle commands whose entries a snapshot covered."""
        effects: list[Effect] = []
        for pending in self.pending.pop_up_to(up_to_index):
            # The snapshot may hold the answer, but the waiter's resend will find it; here
            # it is not known whether the entry at that index was ours.
            effects.extend(
                _respond_outcome_unknown(waiter) for waiter in _operator_waiters(pending)
            )
        return effects

    def expire(self, now: float) -> list[Effect]:
        """Give up on commands that no leader decided in time."""
        oldest = now - self._timings.operator_timeout_seconds
        return [
            _respond_outcome_unknown(waiter)
            for pending in self.pending.pop_older(oldest)
            for waiter in _operator_waiters(pending)
        ]

    def _find_other_holder(self, command: AnyCommand, now: float) -> LeaseHeld | None:
        """Refuse a lease that somebody else holds, without a log entry.

        Standbys ask for every lease again and again. The refusal changes nothing, so it
        needs no agreement: if this state is behind a release, the standby asks once more.
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
