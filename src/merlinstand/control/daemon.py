"""Reducer of the control daemon: consensus replica, state machine and operators' HTTP API."""

from collections.abc import Sequence

from result import Err

from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.ids import NodeId, RequestId
from merlinstand.consensus.replica import Replica
from merlinstand.consensus.step import Step
from merlinstand.control.command_intake import CommandIntake, IntakeResult
from merlinstand.control.operator_requests import (
    CommandPost,
    ConfigurationGet,
    QueryGet,
    StatusGet,
    read_request,
    respond_error,
    respond_health,
    respond_json,
)
from merlinstand.control.queries import decode_query
from merlinstand.control.reads import (
    OperatorConfigurationRead,
    OperatorRead,
    PendingReads,
    Read,
    SessionRead,
)
from merlinstand.control.replica_settings import replica_settings
from merlinstand.control.replies import configuration_update, query_reply
from merlinstand.control.self_report import SelfReport
from merlinstand.control.settings import ControlSettings
from merlinstand.control.state_machine import StateMachine
from merlinstand.control.waiters import OperatorWaiter, PendingCommands, SessionWaiter
from merlinstand.kernel.effects import (
    Effect,
    LearnAddress,
    LogEvent,
    SendMessage,
    SetTimer,
    StopProcess,
)
from merlinstand.kernel.events import (
    Event,
    MessageReceived,
    ReadinessRequested,
    RequestAborted,
    RequestReceived,
    Started,
    StopRequested,
    TimerFired,
)
from merlinstand.protocol.generated.control.ttypes import (
    CommandRequest,
    CommandStatus,
    ConfigurationPull,
    QueryRequest,
)

HOUSEKEEPING_TIMER = "control.housekeeping"
HOUSEKEEPING_INTERVAL_SECONDS = 1.0
"""Seconds between two checks for timed-out commands, and between two updates of the gauges."""

STOP_TIMER = "control.stop"
STOP_GRACE_SECONDS = 2.0
"""Maximum time that a stop waits for pending commands after leadership was transferred."""


class ControlDaemon:
    """Reducer of the `control` role."""

    def __init__(self, settings: ControlSettings) -> None:
        """The settings must be valid. The daemon does nothing before `start`."""
        self._settings = settings
        self.replica = Replica(replica_settings(settings))
        self.state = StateMachine()
        pending = PendingCommands()
        self._report = SelfReport(settings, self.replica, self.state, pending)
        leader_hint = self._report.leader_hint
        self._intake = CommandIntake(
            self.replica, self.state, pending, settings.timings, leader_hint
        )
        self._reads = PendingReads(
            self.state, self._report.members, self.replica.group_time, leader_hint
        )
        self._delivered_index = 0
        self._stopping = False

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Recover from the journal and join the group."""
        effects: list[Effect] = [
            LearnAddress(NodeId(member.node_id), member.address)
            for member in self._settings.members + self._settings.standbys
            if member.node_id != self._settings.node_id
        ]
        effects.append(SetTimer(HOUSEKEEPING_TIMER, HOUSEKEEPING_INTERVAL_SECONDS))
        effects.extend(self._perform(self.replica.start(event, now), now))
        return effects

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Handle one event."""
        if self.replica.handles(event):
            return self._perform(self.replica.handle(event, now), now)
        match event:
            case MessageReceived():
                return self._message(event, now)
            case RequestReceived():
                return self._request(event, now)
            case ReadinessRequested():
                return [self._answer_readiness(event.request_id, now)]
            case RequestAborted():
                self._intake.pending.remove_operator(event.request_id)
                self._reads.cancel_request(event.request_id)
                return []
            case TimerFired():
                return self._timer(event.name, now)
            case StopRequested():
                return self._stop(now)
            case _:
                return []

    def _perform(self, step: Step, now: float) -> list[Effect]:
        effects = list(step.effects)
        if step.restored is not None:
            self.state.restore(step.restored)
            effects.extend(self._intake.resolve_after_restore(self.state.applied_index))
            self._delivered_index = max(self._delivered_index, self.state.applied_index)
        for entry in step.committed:
            effects.extend(self._intake.apply_committed(entry))
            self._delivered_index = entry.index
        for read_id in step.reads_ready:
            effects.extend(self._reads.complete(read_id, now))
        for read_id in step.reads_failed:
            effects.extend(self._reads.redirect(read_id))
        if step.leadership is not None:
            fields = {"change": step.leadership.value, "term": self.replica.term}
            effects.append(LogEvent("control.leadership", fields))
        if step.snapshot_wanted:
            snapshot = self.state.snapshot()
            compacted = self.replica.compact(self._delivered_index, snapshot, now)
            effects.extend(self._perform(compacted, now))
        if step.hand_over_ended and self._stopping:
            effects.extend(self._stop_if_idle())
        return effects

    def _message(self, event: MessageReceived, now: float) -> list[Effect]:
        message = event.message
        match message:
            case ConfigurationPull():
                return [self._pull(event.sender, message, now)]
            case CommandRequest():
                waiter = SessionWaiter(event.sender)
                intake = self._intake.receive(message.command_id, message.command, waiter, now)
                return self._perform_intake(intake, now)
            case QueryRequest():
                return self._query(event.sender, message, now)
            case _:
                return []

    def _pull(self, sender: NodeId, pull: ConfigurationPull, now: float) -> Effect:
        # Any replica replies to a pull; a follower states the age of its own freshness proof.
        delta = self.state.objects.table.delta_since(pull.have_revision)
        proof_age = self.replica.proof_age_seconds(now)
        return SendMessage(sender, configuration_update(pull, delta, proof_age))

    def _query(self, sender: NodeId, message: QueryRequest, now: float) -> list[Effect]:
        try:
            query = decode_query(message.query)
        except DECODE_ERRORS:
            return [query_reply(sender, message.query_id, CommandStatus.REJECTED, b"", "")]
        return self._read(SessionRead(sender, message.query_id, query), now)

    def _read(self, read: Read, now: float) -> list[Effect]:
        read_id = self._reads.add(read)
        if read_id is None:
            return [self._reads.refuse_busy(read)]
        return self._perform(self.replica.read_barrier(read_id, now), now)

    def _perform_intake(self, intake: IntakeResult, now: float) -> list[Effect]:
        effects = list(intake.effects)
        if intake.proposal is not None:
            effects.extend(self._perform(intake.proposal.step, now))
        return effects

    def _request(self, event: RequestReceived, now: float) -> list[Effect]:
        result = read_request(event, self._settings)
        if isinstance(result, Err):
            return [respond_error(event.request_id, result.err_value)]
        request = result.ok_value
        match request:
            case StatusGet():
                return [respond_json(event.request_id, self._report.status(now))]
            case ConfigurationGet():
                return self._read(OperatorConfigurationRead(event.request_id, request.prefix), now)
            case QueryGet():
                return self._read(OperatorRead(event.request_id, request.query), now)
            case CommandPost():
                return self._perform_intake(
                    self._intake.receive(
                        request.command_id,
                        request.command,
                        OperatorWaiter(event.request_id),
                        now,
                    ),
                    now,
                )

    def _answer_readiness(self, request_id: RequestId, now: float) -> Effect:
        proof_age = self.replica.proof_age_seconds(now)
        limit = self._settings.timings.ready_proof_age_seconds
        if self._stopping:
            return respond_health(request_id, False, "stopping")
        if proof_age is None or proof_age > limit:
            return respond_health(request_id, False, "no recent proof of a leader")
        return respond_health(request_id, True, "a leader is known")

    def _timer(self, name: str, now: float) -> list[Effect]:
        if name == STOP_TIMER:
            return [StopProcess()]
        if name != HOUSEKEEPING_TIMER:
            return []
        effects = self._intake.expire(now)
        effects.extend(self._report.gauges(now))
        effects.append(SetTimer(HOUSEKEEPING_TIMER, HOUSEKEEPING_INTERVAL_SECONDS))
        if self._stopping:
            effects.extend(self._stop_if_idle())
        return effects

    def _stop(self, now: float) -> list[Effect]:
        if self._stopping:
            return []
        self._stopping = True
        effects: list[Effect] = [LogEvent("control.stopping")]
        effects.extend(self._perform(self.replica.hand_over(now), now))
        return effects

    def _stop_if_idle(self) -> list[Effect]:
        if len(self._intake.pending) == 0:
            return [StopProcess()]
        return [SetTimer(STOP_TIMER, STOP_GRACE_SECONDS)]
