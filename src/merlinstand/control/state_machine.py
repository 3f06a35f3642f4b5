"""The replicated state machine: the same commands in the same order give the same state.

It is deterministic and has no side effects. Its clock is the group time at which a command was
proposed, which is stored in the log. A command that cannot be decoded is refused and changes
nothing; the leader proposes only commands that it decoded itself.
"""

import msgspec

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.control.claims import Claim, ClaimTable
from merlinstand.control.command_ids import (
    DAEMON_WINDOW_COMMANDS,
    DAEMON_WINDOW_SECONDS,
    OPERATOR_WINDOW_COMMANDS,
    OPERATOR_WINDOW_SECONDS,
    CompletedCommand,
    DeduplicationWindow,
    answer_duplicate,
    command_digest,
)
from merlinstand.control.commands import (
    AcknowledgeBatch,
    AcquireLease,
    AnyCommand,
    AnyOutcome,
    ChangeMembership,
    ClaimRequest,
    CommitBatch,
    DeleteObject,
    PublishWeights,
    PutObject,
    RecordOutcome,
    Refused,
    ReleaseLease,
    RenewLeases,
    RewindJob,
    decode_command,
)
from merlinstand.control.leases import Lease, LeaseTable
from merlinstand.control.ledger import (
    JobLedger,
    JobLedgerState,
    ledger_from_state,
    ledger_state,
)
from merlinstand.control.objects import ObjectStore, TableState
from merlinstand.control.queries import CommandAnswer, LeaseAnswer, LedgerAnswer
from merlinstand.control.weights import staleness_bound

SNAPSHOT_FORMAT_VERSION = 1
"""Version of the snapshot's layout (`StateSnapshot`), written into each snapshot."""


class LoggedCommand(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Payload of a log entry."""

    command_id: str
    command: bytes
    """Encoded by `control.commands.encode_command`."""


class AppliedCommand(msgspec.Struct, frozen=True, gc=False):
    """A command's log position and outcome."""

    command_id: str
    revision: int
    outcome: AnyOutcome


class StateSnapshot(msgspec.Struct, frozen=True):
    """The complete state, as written to disk and sent to other replicas."""

    format_version: int
    applied_index: int
    group_time: float
    objects: TableState
    operator_commands: dict[str, CompletedCommand]
    daemon_commands: dict[str, CompletedCommand]
    leases: dict[str, Lease]
    claims: dict[str, Claim]
    claim_bodies: list[str]
    ledgers: dict[str, JobLedgerState]


class UnknownSnapshotFormatError(ValueError):
    """The snapshot has a format version that this release does not support."""


_LOGGED_DECODER = msgspec.msgpack.Decoder(LoggedCommand)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(StateSnapshot)


def encode_logged_command(command_id: str, command: bytes) -> bytes:
    """Encode a log payload."""
    return msgspec.msgpack.encode(LoggedCommand(command_id, command))


class StateMachine:
    """Configuration, completed commands, leases, claims and ledgers of one replica."""

    def __init__(self) -> None:
        """The state before the first log entry."""
        self.applied_index = 0
        self.group_time = 0.0
        self.objects = ObjectStore()
        self.leases = LeaseTable()
        self.claims = ClaimTable()
        self.ledgers: dict[str, JobLedger] = {}
        """By job name. Kept when a job is deleted, because a job created again under the same name
        must not deliver its samples twice. Grows by about 100 bytes per job name."""
        self._operator_commands = DeduplicationWindow(
            OPERATOR_WINDOW_COMMANDS, OPERATOR_WINDOW_SECONDS
        )
        self._daemon_commands = DeduplicationWindow(DAEMON_WINDOW_COMMANDS, DAEMON_WINDOW_SECONDS)

    def apply(self, index: int, payload: bytes, group_time: float) -> AppliedCommand:
        """Apply the next log entry.

        Args:
            index: Log position; above every earlier one.
            payload: `encode_logged_command` of the proposed command.
            group_time: Group time of the proposal in seconds.

        Returns:
            The outcome, which is a refusal for a payload that cannot be decoded.
        """
        self.applied_index = index
        # Group time must never decrease, whatever time a leader wrote, because leases and claims
        # expire by it.
        self.group_time = max(self.group_time, group_time)
        try:
            logged = _LOGGED_DECODER.decode(payload)
        except DECODE_ERRORS:
            return AppliedCommand("", index, _undecodable())
        try:
            command = decode_command(logged.command)
        except DECODE_ERRORS:
            return AppliedCommand(logged.command_id, index, _undecodable())
        return self._apply_once(index, logged, command)

    def find_completed(self, command_id: str, command: bytes) -> AppliedCommand | None:
        """Return the outcome of a command applied before, or None if it is not retained."""
        for window in (self._operator_commands, self._daemon_commands):
            completed = window.find(command_id)
            if completed is not None:
                revision, outcome = answer_duplicate(completed, command_digest(command))
                return AppliedCommand(command_id, revision, outcome)
        return None

    def command_answer(self, command_id: str) -> CommandAnswer | None:
        """Return the outcome of an operator's command, or None if it is not retained."""
        completed = self._operator_commands.find(command_id)
        if completed is None:
            return None
        return CommandAnswer(completed.revision, completed.outcome)

    def ledger(self, job_name: str) -> LedgerAnswer | None:
        """Return the consumers' positions and used slots of a job, or None if it does not exist."""
        job = self.objects.find_job(job_name)
        if job is None:
            return None
        return self.ledgers.get(job_name, JobLedger()).answer(job)

    def lease_states(self, group_time: float) -> LeaseAnswer:
        """Return the leases that are unexpired at a group time."""
        return LeaseAnswer(self.leases.states(max(group_time, self.group_time)))

    def snapshot(self) -> bytes:
        """Encode the complete state."""
        state = StateSnapshot(
            format_version=SNAPSHOT_FORMAT_VERSION,
            applied_index=self.applied_index,
            group_time=self.group_time,
            objects=self.objects.table.state(),
            operator_commands=self._operator_commands.commands,
            daemon_commands=self._daemon_commands.commands,
            leases=self.leases.leases,
            claims=self.claims.claims,
            claim_bodies=self.claims.keys_with_body(),
            ledgers={name: ledger_state(ledger) for name, ledger in self.ledgers.items()},
        )
        return msgspec.msgpack.encode(state)

    def restore(self, data: bytes) -> None:
        """Replace the complete state by a snapshot.

        Raises:
            msgspec.DecodeError: The bytes are not a valid snapshot.
            UnknownSnapshotFormatError: Its format version is not supported.
        """
        state = _SNAPSHOT_DECODER.decode(data)
        if state.format_version != SNAPSHOT_FORMAT_VERSION:
            raise UnknownSnapshotFormatError(str(state.format_version))
        self.applied_index = state.applied_index
        self.group_time = state.group_time
        self.objects.restore(state.objects)
        self._operator_commands.restore(state.operator_commands)
        self._daemon_commands.restore(state.daemon_commands)
        self.leases.leases = dict(state.leases)
        self.claims.restore(state.claims, state.claim_bodies)
        self.ledgers = {name: ledger_from_state(ledger) for name, ledger in state.ledgers.items()}

    def _apply_once(self, index: int, logged: LoggedCommand, command: AnyCommand) -> AppliedCommand:
        window = self._window_for(command)
        if window is None:
            return AppliedCommand(logged.command_id, index, self._execute(index, command))
        completed = self.find_completed(logged.command_id, logged.command)
        if completed is not None:
            return completed
        outcome = self._execute(index, command)
        digest = command_digest(logged.command)
        window.record(logged.command_id, CompletedCommand(digest, index, self.group_time, outcome))
        return AppliedCommand(logged.command_id, index, outcome)

    def _window_for(self, command: AnyCommand) -> DeduplicationWindow | None:
        match command:
            case AcquireLease() | RenewLeases() | ReleaseLease():
                return None
            case ClaimRequest() | RecordOutcome() | CommitBatch() | AcknowledgeBatch():
                return self._daemon_commands
            case _:
                return self._operator_commands

    def _execute(self, index: int, command: AnyCommand) -> AnyOutcome:
        match command:
            case AcquireLease():
                return self.leases.acquire(command, index, self.group_time)
            case RenewLeases():
                return self.leases.renew(command, self.group_time)
            case ReleaseLease():
                return self.leases.release(command, index)
            case ClaimRequest():
                return self.claims.claim(command, index, self.group_time)
            case RecordOutcome():
                return self.claims.record(command, index)
            case CommitBatch():
                return self._commit_batch(command)
            case AcknowledgeBatch():
                return self._acknowledge_batch(index, command)
            case RewindJob():
                return self._rewind(index, command)
            case PutObject():
                return self.objects.put(command, index)
            case DeleteObject():
                return self.objects.delete(command, index)
            case PublishWeights():
                return self.objects.publish(command, index, self.group_time)
            case ChangeMembership():
                return Refused(code="invalid_input", detail="membership is not in this log")

    def _commit_batch(self, command: CommitBatch) -> AnyOutcome:
        job = self.objects.find_job(command.job)
        if job is None or command.consumer not in job.consumers:
            return Refused(code="not_found", detail="no such job or consumer")
        if not self.leases.is_current(f"job/{command.job}", command.lease_epoch):
            return Refused(code="fenced", detail="the job's lease was taken")
        weights = self.objects.find_weights(job.model)
        bound = staleness_bound(weights, job.policy, self.group_time)
        ledger = self.ledgers.get(command.job) or JobLedger()
        outcome = ledger.commit(command, bound)
        if not isinstance(outcome, Refused):
            self.ledgers[command.job] = ledger
        return outcome

    def _acknowledge_batch(self, index: int, command: AcknowledgeBatch) -> AnyOutcome:
        if not self.leases.is_current(f"job/{command.job}", command.lease_epoch):
            return Refused(code="fenced", detail="the job's lease was taken")
        ledger = self.ledgers.get(command.job)
        if ledger is None:
            return Refused(code="not_found", detail="the job delivered nothing")
        return ledger.acknowledge(command, index)

    def _rewind(self, index: int, command: RewindJob) -> AnyOutcome:
        job = self.objects.find_job(command.job)
        if job is None or command.consumer not in job.consumers:
            return Refused(code="not_found", detail="no such job or consumer")
        return self.ledgers.setdefault(command.job, JobLedger()).rewind(command, index)


def _undecodable() -> Refused:
    return Refused(code="invalid_input", detail="not a command this version knows")
