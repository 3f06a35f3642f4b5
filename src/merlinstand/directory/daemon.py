"""Reducer of the control daemon: consensus replica, replicated directory and HTTP.

Holds the replica, the directory's state, and the requests that wait for a commit. `heartbeats`
handles heartbeats, `publisher` sends daemons changes, `leader_requests` handles callers' requests,
`leader_tasks` does the leader's periodic work. Runs on every control machine, leader or not.
"""

import contextlib
from collections.abc import Sequence

from result import Err

from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.cold_servers.leader import GrantIssuer
from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.errors import (
    NotFoundError,
    OutcomeUnknownError,
    UnavailableError,
)
from merlinstand.common.ids import BackendId, RequestId
from merlinstand.consensus.first_start import is_first_start_synced, persist_first_start
from merlinstand.consensus.pending_proposals import PendingProposal, PendingProposals
from merlinstand.consensus.replica import Replica
from merlinstand.consensus.step import CommittedEntry, EntryKind, LeadershipChange, Step
from merlinstand.decisions.rejection import NO_LEADER_RETRY_AFTER_SECONDS
from merlinstand.directory.commands import DirectoryCommand, decode_command, encode_command
from merlinstand.directory.heartbeats import (
    CHANGES_TIMER,
    BackendLifecycle,
    HeartbeatAnswered,
    HeartbeatForLeader,
    Heartbeats,
    HeartbeatToCommit,
)
from merlinstand.directory.leader_requests import LeaderRequests
from merlinstand.directory.leader_tasks import LeaderTasks
from merlinstand.directory.part_settings import metering_settings, node_id_of, replica_settings
from merlinstand.directory.publisher import PUSH_TIMER, DirectoryPublisher
from merlinstand.directory.replies import Replies
from merlinstand.directory.requests import (
    ControlInterface,
    ControlReply,
    DocumentFound,
    DocumentGet,
    Heartbeat,
)
from merlinstand.directory.settings import DirectorySettings
from merlinstand.directory.state_machine import DirectoryState
from merlinstand.evacuation.orders import order_events
from merlinstand.fenced_calls.caller import CALL_PREFIX as PLATFORM_PREFIX
from merlinstand.fenced_calls.commands import RecordCallIntent
from merlinstand.fenced_calls.interface import PlatformInterface
from merlinstand.kernel.effects import (
    Effect,
    LearnAddress,
    LogEvent,
    SetTimer,
    StopProcess,
)
from merlinstand.kernel.events import (
    CallFailed,
    CallResponded,
    Event,
    MessageReceived,
    ReadinessRequested,
    RequestAborted,
    RequestReceived,
    Started,
    StopRequested,
    TimerFired,
    WallClockRead,
)
from merlinstand.metering.leader import MeteringLeader
from merlinstand.protocol.generated.directory.ttypes import (
    BackendBeats,
    DirectoryPull,
)
from merlinstand.quarantine.leader import (
    BATCH_TIMER,
    SETTLE_TIMER,
    BackendLiveness,
    QuarantineLeader,
)
from merlinstand.quarantine.lost_senders import LostSenders
from merlinstand.server_load.leader import LoadLeader

HOUSEKEEPING_TIMER = "directory.housekeeping"
"""Timer of the periodic work: failing requests whose wait has expired and, on the leader, the tasks
of `leader_tasks`."""
HOUSEKEEPING_INTERVAL_SECONDS = 0.25
"""Interval of the periodic work. A replica that isn't the leader also reports live backends to the
leader at this interval."""
STOP_TIMER = "directory.stop"
"""Timer that ends the process after a stop was requested."""
STOP_GRACE_SECONDS = 2.0
"""Time that a stopping daemon waits, after its hand-over of leadership, if callers are waiting for
commits."""
STOP_FLUSH_SECONDS = 0.1
"""Like `STOP_GRACE_SECONDS`, if no callers are waiting: time to send the last messages."""


class DirectoryDaemon:
    """Reducer of the `control` role."""

    def __init__(
        self,
        settings: DirectorySettings,
        interface: ControlInterface,
        platform: PlatformInterface,
    ) -> None:
        """Create a daemon; `start` recovers its state.

        Args:
            settings: Validated settings.
            interface: Translates HTTP requests and replies.
            platform: Translates calls to the platform.
        """
        self._settings = settings
        self._interface = interface
        self.replica = Replica(replica_settings(settings))
        self.state = DirectoryState()
        self._replies = Replies(settings, interface, self.replica)
        self._waiters: PendingProposals[ControlReply] = PendingProposals()
        self._reads: dict[str, RequestId] = {}
        self._read_count = 0
        self._applied_index = 0
        self._stopping = False
        self._create_components(platform)

    def _create_components(self, platform: PlatformInterface) -> None:
        settings, replica, state = self._settings, self.replica, self.state
        propose = self._try_to_propose
        self._heartbeats = Heartbeats(
            settings, replica, state, propose, self._lifecycle_callbacks()
        )
        self._metering = MeteringLeader(
            metering_settings(settings), state.usage, state.call_intents, platform, propose
        )
        heartbeat_age_seconds = self._heartbeats.heartbeat_age_seconds
        load = LoadLeader(state, lambda now: self._publisher.subscribers.gateway_zones(now))
        self._quarantine = QuarantineLeader(
            state.suspects,
            propose,
            BackendLiveness(
                heartbeat_age_seconds,
                lambda backend_id: state.table.service_of(backend_id),
                load.forget_backend,
            ),
            LostSenders(lambda now: self._publisher.subscribers.report_ages_seconds(now)),
        )
        grants = GrantIssuer(
            state, settings.cold_overshoot, settings.cold_slack_requests, heartbeat_age_seconds
        )
        self._publisher = DirectoryPublisher(
            settings, replica, state, self._metering, grants, self._quarantine, load
        )
        self._leader_tasks = LeaderTasks(
            settings,
            replica,
            state,
            self._heartbeats,
            self._metering,
            self._quarantine,
            self._publisher,
            propose,
        )
        self._leader_requests = LeaderRequests(
            state,
            ZoneMap(settings.zones),
            self._publisher.subscribers,
            self._leader_tasks.keepers_view,
            self._replies,
            self._propose,
        )

    def _lifecycle_callbacks(self) -> BackendLifecycle:
        """Return callbacks that pass starts and ends of backends to the quarantine."""

        def on_replaced(backend_id: BackendId, now: float) -> list[Effect]:
            return self._quarantine.record_replacement(
                backend_id, self.replica.group_time(now), now
            )

        def on_started(backend_id: BackendId, started_ms: int, now: float) -> list[Effect]:
            group_time = self.replica.group_time(now)
            return self._quarantine.record_start(backend_id, started_ms, group_time, now)

        return BackendLifecycle(
            on_replaced, on_started, lambda *start: self._quarantine.learn_start(*start)
        )

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Recover from the journal and join the group."""
        effects: list[Effect] = [
            LearnAddress(node_id_of(address), address)
            for address in self._settings.seeds
            if address != self._settings.internal_address
        ]
        effects.append(SetTimer(HOUSEKEEPING_TIMER, HOUSEKEEPING_INTERVAL_SECONDS))
        self._metering.seed(event.seed)
        effects.extend(persist_first_start(event, self._settings.may_found))
        effects.extend(self._perform(self.replica.start(event, now), now))
        return effects

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Handle one event at local time `now`, and return the effects for the host to perform."""
        if is_first_start_synced(event):
            return []
        if self.replica.handles(event):
            return self._perform(self.replica.handle(event, now), now)
        match event:
            case MessageReceived(message=DirectoryPull()):
                return self._publisher.handle_pull(event.sender, event.message, now)
            case MessageReceived(message=BackendBeats()):
                return self._heartbeats.handle_batch(event.sender, event.message, now)
            case ReadinessRequested():
                return [self._replies.answer_readiness(event.request_id, self._stopping, now)]
            case RequestReceived():
                return self._handle_request(event, now)
            case RequestAborted():
                return []
            case CallResponded() | CallFailed() if event.call_id.startswith(PLATFORM_PREFIX):
                return self._metering.on_call(event, now)
            case WallClockRead():
                self._metering.record_own_clock(event.wall_seconds, now)
                return []
            case TimerFired(name=name) if name == HOUSEKEEPING_TIMER:
                return self._housekeeping(now)
            case TimerFired(name=name) if name == CHANGES_TIMER:
                return self._heartbeats.flush(now)
            case TimerFired(name=name) if name == BATCH_TIMER:
                return self._quarantine.propose_pending(now) if self.replica.may_act(now) else []
            case TimerFired(name=name) if name == SETTLE_TIMER:
                group_time = self.replica.group_time(now)
                may_act = self.replica.may_act(now)
                return self._quarantine.propose_lost_attempts(group_time, now) if may_act else []
            case TimerFired(name=name) if name == PUSH_TIMER:
                return self._publisher.push(now)
            case TimerFired(name=name) if name == STOP_TIMER:
                return [StopProcess()]
            case StopRequested():
                return self._stop(now)
            case _:
                return []

    # Consensus

    def _perform(self, step: Step, now: float) -> list[Effect]:
        effects = list(step.effects)
        if step.restored is not None:
            self.state.restore(step.restored)
            self._applied_index = self.replica.commit_index
        urgent_before = self._urgent_revision()
        for entry in step.committed:
            effects.extend(self._on_committed(entry, now))
        for read_id in step.reads_ready:
            effects.extend(self._on_read_ready(read_id))
        for read_id in step.reads_failed:
            effects.extend(self._on_read_failed(read_id))
        if step.leadership is not None:
            effects.extend(self._on_leadership_change(step.leadership, now))
        if step.committed:
            is_urgent = self._urgent_revision() > urgent_before
            push = self._publisher.push if is_urgent else self._publisher.schedule_push
            effects.extend(push(now))
        if step.snapshot_wanted:
            compacted = self.replica.compact(self._applied_index, self.state.snapshot(), now)
            effects.extend(self._perform(compacted, now))
        if step.hand_over_ended and self._stopping:
            grace_seconds = STOP_GRACE_SECONDS if self._waiters else STOP_FLUSH_SECONDS
            effects.append(SetTimer(STOP_TIMER, grace_seconds))
        return effects

    def _urgent_revision(self) -> int:
        """Return the log position of the newest urgent change; urgent changes are pushed at once.

        A training step starts once its weights are published, so a delay here adds to every step.
        An evacuation takes effect once every daemon has received it. Suspects, which are requests
        suspected of crashing backends, are urgent so that they don't crash another backend.
        """
        state = self.state
        return max(
            state.document_revision,
            state.weights_revision,
            state.evacuations.revision,
            state.suspects.revision,
        )

    def _on_committed(self, entry: CommittedEntry, now: float) -> list[Effect]:
        self._applied_index = entry.index
        effects: list[Effect] = []
        if entry.kind is EntryKind.COMMAND:
            # A replica ignores a log entry that can't be decoded; the leader proposes only commands
            # that the leader encoded itself.
            with contextlib.suppress(*DECODE_ERRORS):
                command = decode_command(entry.payload)
                if self.replica.may_act(now):
                    effects.extend(order_events(command, self.state.evacuations, entry.group_time))
                self.state.apply(entry.index, command, entry.group_time)
                if isinstance(command, RecordCallIntent):
                    may_act = self.replica.may_act(now)
                    effects.extend(self._metering.on_intent_committed(command, may_act, now))
        waiter = self._waiters.take(entry.index)
        if waiter is None:
            return effects
        if waiter.term == entry.term:
            return [*effects, self._replies.respond(waiter.request_id, waiter.reply)]
        error = UnavailableError(
            detail="another leader took over", retry_after_seconds=NO_LEADER_RETRY_AFTER_SECONDS
        )
        return [*effects, self._replies.fail(waiter.request_id, error)]

    def _on_leadership_change(self, change: LeadershipChange, now: float) -> list[Effect]:
        if change is LeadershipChange.GAINED:
            self._leader_tasks.begin_leading(now)
        ended = self._leader_tasks.end_leading() if change is LeadershipChange.LOST else []
        fields = {"change": change.value, "term": self.replica.term}
        return [LogEvent("control.leadership", fields), *ended]

    def _propose(
        self, command: DirectoryCommand, request_id: RequestId, reply: ControlReply, now: float
    ) -> list[Effect]:
        result = self.replica.propose(encode_command(command), now)
        if isinstance(result, Err):
            return [self._replies.redirect(request_id, "")]
        proposal = result.ok_value
        until = now + self._settings.request_timeout_seconds
        self._waiters.add(proposal.index, PendingProposal(request_id, reply, proposal.term, until))
        return self._perform(proposal.step, now)

    def _try_to_propose(self, command: DirectoryCommand, now: float) -> list[Effect] | None:
        """Propose a command that no caller waits for; returns None if it can't be proposed now."""
        result = self.replica.propose(encode_command(command), now)
        return None if isinstance(result, Err) else self._perform(result.ok_value.step, now)

    # Requests

    def _handle_request(self, event: RequestReceived, now: float) -> list[Effect]:
        result = self._interface.read(event)
        if isinstance(result, Err):
            return [self._replies.fail(event.request_id, result.err_value)]
        request = result.ok_value
        if isinstance(request, Heartbeat) and not self._stopping:
            return self._handle_heartbeat(event, request, now)
        if not self.replica.may_act(now) or self._stopping:
            return [self._replies.redirect(event.request_id, event.path)]
        if isinstance(request, DocumentGet):
            return self._read(event.request_id, now)
        return self._leader_requests.handle(event.request_id, request, now)

    def _handle_heartbeat(
        self, event: RequestReceived, request: Heartbeat, now: float
    ) -> list[Effect]:
        outcome = self._heartbeats.handle(request, now)
        match outcome:
            case HeartbeatAnswered():
                return [self._replies.respond(event.request_id, outcome.reply), *outcome.effects]
            case HeartbeatToCommit():
                propose = self._propose(outcome.command, event.request_id, outcome.reply, now)
                return [outcome.log, *propose]
            case HeartbeatForLeader():
                return [self._replies.redirect(event.request_id, event.path)]

    # Reads

    def _read(self, request_id: RequestId, now: float) -> list[Effect]:
        self._read_count += 1
        read_id = f"read-{self._read_count}"
        self._reads[read_id] = request_id
        return self._perform(self.replica.read_barrier(read_id, now), now)

    def _on_read_ready(self, read_id: str) -> list[Effect]:
        request_id = self._reads.pop(read_id)
        if self.state.document is None:
            error = NotFoundError(detail="no document yet")
            return [self._replies.fail(request_id, error)]
        return [self._replies.respond(request_id, DocumentFound(self.state.raw_document))]

    def _on_read_failed(self, read_id: str) -> list[Effect]:
        request_id = self._reads.pop(read_id)
        return [self._replies.redirect(request_id, "")]

    # Time

    def _housekeeping(self, now: float) -> list[Effect]:
        effects: list[Effect] = [SetTimer(HOUSEKEEPING_TIMER, HOUSEKEEPING_INTERVAL_SECONDS)]
        effects.extend(self._fail_expired_waiters(now))
        if not self.replica.may_act(now):
            return effects + self._heartbeats.flush(now)
        return effects + self._leader_tasks.tick(now)

    def _fail_expired_waiters(self, now: float) -> list[Effect]:
        error = OutcomeUnknownError(detail="not decided in time")
        expired = self._waiters.take_expired(now)
        return [self._replies.fail(waiter.request_id, error) for waiter in expired]

    def _stop(self, now: float) -> list[Effect]:
        if self._stopping:
            return []
        self._stopping = True
        effects: list[Effect] = [LogEvent("control.stopping")]
        effects.extend(self._perform(self.replica.hand_over(now), now))
        return effects
