"""The control daemon of the directory: consensus replica, directory and HTTP as one reducer."""

import contextlib
from collections.abc import Sequence

from result import Err

from merlinstand.cluster.daemons import KeeperGroup
from merlinstand.cluster.places import Places
from merlinstand.cold_servers.leader import GrantIssuer
from merlinstand.common.decoding import MALFORMED_INPUT
from merlinstand.common.errors import (
    NotFoundError,
    OutcomeUnknownError,
    UnavailableError,
)
from merlinstand.common.ids import NodeId, RequestId, Zone
from merlinstand.consensus.decision_waiters import DecisionWaiter, DecisionWaiters
from merlinstand.consensus.first_start import is_first_start_kept, keep_first_start
from merlinstand.consensus.replica import Replica
from merlinstand.consensus.settings import (
    PeerSettings,
    ReplicaLimits,
    ReplicaSettings,
)
from merlinstand.consensus.step import CommittedEntry, EntryKind, LeadershipChange, Step
from merlinstand.consensus.timings import quick_timings
from merlinstand.directory.commands import (
    DirectoryCommand,
    FoundKeepers,
    NameWeights,
    PutDocument,
    RemoveBackend,
    RetireKeeper,
    decode_command,
    encode_command,
)
from merlinstand.directory.heartbeats import (
    CHANGES_TIMER,
    HeartbeatElsewhere,
    Heartbeats,
    HeartbeatTaken,
    HeartbeatToDecide,
)
from merlinstand.directory.publisher import PUSH_TIMER, DirectoryPublisher
from merlinstand.directory.region_warnings import region_warnings
from merlinstand.directory.requests import (
    Accepted,
    BackendLeft,
    ControlInterface,
    ControlReply,
    ControlRequest,
    DocumentFound,
    DocumentGet,
    DocumentPut,
    Elsewhere,
    Failed,
    Heartbeat,
    ReadinessGet,
    RetirementGet,
    RetirementPost,
    RetirementState,
    WeightsNamed,
)
from merlinstand.directory.settings import DirectorySettings
from merlinstand.directory.state_machine import DirectoryState
from merlinstand.directory.subscribers import REPORT_FRESH_SECONDS
from merlinstand.evacuation.commands import EvacuationDelete, EvacuationPost
from merlinstand.evacuation.orders import judge_order, order_events
from merlinstand.fenced_calls.caller import CALL_PREFIX as PLATFORM_PREFIX
from merlinstand.fenced_calls.commands import NoteTurn
from merlinstand.fenced_calls.interface import PlatformInterface
from merlinstand.keeper_group.founding import KeeperFounding
from merlinstand.keeper_group.retirement import KeepersView, is_retired, keeper_to_retire
from merlinstand.kernel.effects import (
    Effect,
    LearnAddress,
    LogEvent,
    Respond,
    SetTimer,
    StopProcess,
)
from merlinstand.kernel.events import (
    CallFailed,
    CallResponded,
    Event,
    MessageReceived,
    RequestAborted,
    RequestReceived,
    Started,
    StopRequested,
    TimerFired,
    WallClockRead,
)
from merlinstand.metering.leader import MeteringLeader, MeteringSettings
from merlinstand.protocol.generated.directory.ttypes import (
    BackendBeats,
    DirectoryPull,
)
from merlinstand.quarantine.leader import TOGETHER_TIMER, QuarantineLeader

HOUSEKEEPING_TIMER = "directory.housekeeping"
HOUSEKEEPING_INTERVAL_SECONDS = 0.25
STOP_TIMER = "directory.stop"
STOP_GRACE_SECONDS = 2.0
RETRY_AFTER_SECONDS = 0.3
COMPACTION_ENTRIES = 2_000
COMPACTION_BYTES = 8 * 1024 * 1024


class DirectoryDaemon:
    """Reducer of the `control` role where the directory is used."""

    def __init__(
        self,
        settings: DirectorySettings,
        interface: ControlInterface,
        platform: PlatformInterface,
    ) -> None:
        """Make a daemon that has not started.

        Args:
            settings: Checked settings.
            interface: Translates HTTP requests and replies.
            platform: Translates the calls of duties.
        """
        self._settings = settings
        self._interface = interface
        self._places = Places(settings.zones)
        self.replica = Replica(_replica_settings(settings))
        self.state = DirectoryState()
        self._waiters: DecisionWaiters[ControlReply] = DecisionWaiters()
        self._reads: dict[str, RequestId] = {}
        self._read_count = 0
        self._delivered_index = 0
        self._heartbeats = Heartbeats(settings, self.replica, self.state, self._try_to_propose)
        self._led_since = 0.0
        self._founding = KeeperFounding(settings.keeper_group_size, settings.placement)
        self._duties = MeteringLeader(
            _metering_settings(settings),
            self.state.usage,
            self.state.turns,
            platform,
            self._try_to_propose,
        )
        cold = GrantIssuer(
            self.state,
            settings.cold_overshoot,
            settings.cold_slack_requests,
            self._heartbeats.heard_seconds,
        )
        self._suspects = QuarantineLeader(self.state.suspects, self._try_to_propose)
        self._publisher = DirectoryPublisher(
            settings, self.replica, self.state, self._duties, cold, self._suspects
        )
        self._stopping = False

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Recover from the journal and join the group."""
        effects: list[Effect] = [
            LearnAddress(_node_of(address), address)
            for address in self._settings.seeds
            if address != self._settings.internal_address
        ]
        effects.append(SetTimer(HOUSEKEEPING_TIMER, HOUSEKEEPING_INTERVAL_SECONDS))
        self._duties.seed(event.seed)
        effects.extend(keep_first_start(event, self._settings.may_found))
        effects.extend(self._perform(self.replica.start(event, now), now))
        return effects

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Handle one event."""
        if is_first_start_kept(event):
            return []
        if self.replica.handles(event):
            return self._perform(self.replica.handle(event, now), now)
        match event:
            case MessageReceived(message=DirectoryPull()):
                return self._publisher.pull(event.sender, event.message, now)
            case MessageReceived(message=BackendBeats()):
                return self._heartbeats.take_batch(event.sender, event.message, now)
            case RequestReceived():
                return self._request(event, now)
            case RequestAborted():
                return []
            case CallResponded() | CallFailed() if event.call_id.startswith(PLATFORM_PREFIX):
                return self._duties.on_call(event, now)
            case WallClockRead():
                self._duties.take_clock(event.wall_seconds, now)
                return []
            case TimerFired(name=name) if name == HOUSEKEEPING_TIMER:
                return self._housekeeping(now)
            case TimerFired(name=name) if name == CHANGES_TIMER:
                return self._heartbeats.pass_on(now)
            case TimerFired(name=name) if name == TOGETHER_TIMER:
                return self._suspects.agree(now) if self.replica.may_act(now) else []
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
            self._delivered_index = self.replica.commit_index
        told_before = self._awaited_revision()
        for entry in step.committed:
            effects.extend(self._committed(entry, now))
        for read_id in step.reads_ready:
            effects.extend(self._read_ready(read_id))
        for read_id in step.reads_failed:
            effects.extend(self._read_failed(read_id))
        if step.leadership is not None:
            effects.extend(self._leadership_changed(step.leadership, now))
        if step.committed:
            is_awaited = self._awaited_revision() > told_before
            tell = self._publisher.push if is_awaited else self._publisher.push_soon
            effects.extend(tell(now))
        if step.snapshot_wanted:
            compacted = self.replica.compact(self._delivered_index, self.state.snapshot(), now)
            effects.extend(self._perform(compacted, now))
        if step.hand_over_ended and self._stopping:
            effects.append(SetTimer(STOP_TIMER, 0.1 if not self._waiters else STOP_GRACE_SECONDS))
        return effects

    def _awaited_revision(self) -> int:
        """Log position of the newest change that somebody waits for, and that is told at once.

        A step begins once its weights are named: whatever that takes longer adds up over the steps.
        An evacuation is in force once every daemon was told. What is held against requests keeps
        them from ending the next server.
        """
        state = self.state
        return max(
            state.document_revision,
            state.weights_revision,
            state.evacuations.revision,
            state.suspects.revision,
        )

    def _committed(self, entry: CommittedEntry, now: float) -> list[Effect]:
        self._delivered_index = entry.index
        effects: list[Effect] = []
        if entry.kind is EntryKind.COMMAND:
            # A replica that can't decode a command changes nothing; the leader proposes only
            # what it encoded itself.
            with contextlib.suppress(*MALFORMED_INPUT):
                command = decode_command(entry.payload)
                if self.replica.may_act(now):
                    effects.extend(order_events(command, self.state.evacuations, entry.group_time))
                self.state.apply(entry.index, command, entry.group_time)
                if isinstance(command, NoteTurn):
                    may_act = self.replica.may_act(now)
                    effects.extend(self._duties.turn_noted(command, may_act, now))
        waiter = self._waiters.take(entry.index)
        if waiter is None:
            return effects
        if waiter.term == entry.term:
            return [*effects, self._respond(waiter.request_id, waiter.reply)]
        error = UnavailableError(
            detail="another leader took over", retry_after_seconds=RETRY_AFTER_SECONDS
        )
        return [*effects, self._respond(waiter.request_id, Failed(error))]

    def _leadership_changed(self, change: LeadershipChange, now: float) -> list[Effect]:
        if change is LeadershipChange.GAINED:
            self._led_since = now
            self._founding = KeeperFounding(
                self._settings.keeper_group_size, self._settings.placement
            )
            self._heartbeats.begin_leading(now)
            self._publisher.begin_leading()
            self._duties.begin(self.replica.term, now)
        ended = self._duties.end() if change is LeadershipChange.LOST else []
        fields = {"change": change.value, "term": self.replica.term}
        return [LogEvent("control.leadership", fields), *ended]

    def _propose(
        self, command: DirectoryCommand, request_id: RequestId, reply: ControlReply, now: float
    ) -> list[Effect]:
        result = self.replica.propose(encode_command(command), now)
        if isinstance(result, Err):
            return [self._respond(request_id, self._elsewhere_or_busy(""))]
        proposal = result.ok_value
        until = now + self._settings.request_timeout_seconds
        self._waiters.add(proposal.index, DecisionWaiter(request_id, reply, proposal.term, until))
        return self._perform(proposal.step, now)

    def _propose_own(self, command: DirectoryCommand, now: float) -> list[Effect]:
        return self._try_to_propose(command, now) or []

    def _try_to_propose(self, command: DirectoryCommand, now: float) -> list[Effect] | None:
        """Propose a command of the leader's own; None if that can't be done now."""
        result = self.replica.propose(encode_command(command), now)
        return None if isinstance(result, Err) else self._perform(result.ok_value.step, now)

    # Requests

    def _request(self, event: RequestReceived, now: float) -> list[Effect]:
        result = self._interface.read(event)
        if isinstance(result, Err):
            return [self._respond(event.request_id, Failed(result.err_value))]
        request = result.ok_value
        if isinstance(request, ReadinessGet):
            return [self._readiness(event.request_id, now)]
        if isinstance(request, Heartbeat) and not self._stopping:
            return self._heartbeat(event, request, now)
        if not self.replica.may_act(now) or self._stopping:
            return [self._respond(event.request_id, self._elsewhere_or_busy(event.path))]
        return self._leader_request(event.request_id, request, now)

    def _leader_request(
        self, request_id: RequestId, request: ControlRequest, now: float
    ) -> list[Effect]:
        match request:
            case DocumentPut():
                return self._put_document(request_id, request, now)
            case DocumentGet():
                return self._read(request_id, now)
            case BackendLeft():
                command = RemoveBackend(request.backend_id)
                if request.backend_id in self.state.table.removed:
                    return [self._respond(request_id, Accepted())]
                effects: list[Effect] = [LogEvent("backend.left", {"backend": request.backend_id})]
                return effects + self._propose(command, request_id, Accepted(), now)
            case WeightsNamed():
                if request.version <= self.state.weights.get(request.model, 0):
                    return [self._respond(request_id, Accepted())]
                weights = NameWeights(request.model, request.version)
                return self._propose(weights, request_id, Accepted(), now)
            case RetirementPost():
                return self._retire(request_id, request.name, now)
            case EvacuationPost() | EvacuationDelete():
                return self._order_zone(request_id, request, now)
            case RetirementGet():
                return [self._respond(request_id, self._retirement_state(request.name, now))]
            case _:
                return []

    def _put_document(
        self, request_id: RequestId, request: DocumentPut, now: float
    ) -> list[Effect]:
        held = self.state.document
        if held is not None and request.document.version <= held.version:
            # Not above the held one: acknowledged, and nothing changes.
            return [self._respond(request_id, Accepted())]
        command = PutDocument(request.document, request.raw)
        effects: list[Effect] = [
            LogEvent("document.proposed", {"version": request.document.version}),
            *region_warnings(request.document, self._places),
        ]
        return effects + self._propose(command, request_id, Accepted(), now)

    def _order_zone(
        self, request_id: RequestId, request: EvacuationPost | EvacuationDelete, now: float
    ) -> list[Effect]:
        judged = judge_order(request, self._places)
        if isinstance(judged, Err):
            error = judged.err_value
            fields = {"zone": request.zone, "reason": type(error).code}
            refusal = LogEvent("zone.order_refused", fields)
            return [refusal, self._respond(request_id, Failed(error))]
        return self._propose(judged.ok_value, request_id, Accepted(), now)

    def _heartbeat(self, event: RequestReceived, request: Heartbeat, now: float) -> list[Effect]:
        outcome = self._heartbeats.take(request, now)
        match outcome:
            case HeartbeatTaken():
                return [self._respond(event.request_id, outcome.reply), *outcome.effects]
            case HeartbeatToDecide():
                propose = self._propose(outcome.command, event.request_id, outcome.reply, now)
                return [outcome.log, *propose]
            case HeartbeatElsewhere():
                return [self._respond(event.request_id, self._elsewhere_or_busy(event.path))]

    def _readiness(self, request_id: RequestId, now: float) -> Effect:
        age = self.replica.proof_age_seconds(now)
        is_ready = not self._stopping and age is not None and age < 3.0
        if is_ready:
            return self._respond(request_id, Accepted())
        return self._respond(request_id, Failed(UnavailableError(detail="no known leader")))

    def _elsewhere_or_busy(self, path: str) -> ControlReply:
        leader = self.replica.leader_address
        is_other = leader is not None and self.replica.leader != self._settings.node_id
        if path and is_other and leader is not None:
            return Elsewhere(f"{_ip_of(leader)}:{self._settings.http_port}", path)
        return Failed(UnavailableError(detail="no leader", retry_after_seconds=RETRY_AFTER_SECONDS))

    def _respond(self, request_id: RequestId, reply: ControlReply) -> Effect:
        response = self._interface.write(reply)
        return Respond(request_id, response.status, response.headers, response.body)

    # Reads

    def _read(self, request_id: RequestId, now: float) -> list[Effect]:
        self._read_count += 1
        read_id = f"read-{self._read_count}"
        self._reads[read_id] = request_id
        return self._perform(self.replica.read_barrier(read_id, now), now)

    def _read_ready(self, read_id: str) -> list[Effect]:
        request_id = self._reads.pop(read_id)
        if self.state.document is None:
            error = NotFoundError(detail="no document yet")
            return [self._respond(request_id, Failed(error))]
        return [self._respond(request_id, DocumentFound(self.state.raw_document))]

    def _read_failed(self, read_id: str) -> list[Effect]:
        request_id = self._reads.pop(read_id)
        return [self._respond(request_id, self._elsewhere_or_busy(""))]

    # Retirement of keepers

    def _retire(self, request_id: RequestId, name: str, now: float) -> list[Effect]:
        judged = keeper_to_retire(self._keepers_view(now), name)
        if isinstance(judged, Err):
            return [self._respond(request_id, Failed(judged.err_value))]
        node_id = judged.ok_value
        if node_id is None:
            return [self._respond(request_id, Accepted())]
        return self._propose(RetireKeeper(node_id, name), request_id, Accepted(), now)

    def _retirement_state(self, name: str, now: float) -> ControlReply:
        leader = self._publisher.subscribers.leading_keeper(now)
        told = is_retired(self._keepers_view(now), name, leader)
        return Failed(told.err_value) if isinstance(told, Err) else RetirementState(told.ok_value)

    def _keepers_view(self, now: float) -> KeepersView:
        return KeepersView(
            reports=self._publisher.subscribers.keeper_reports(now),
            retiring=self.state.retiring,
            is_complete=now - self._led_since >= REPORT_FRESH_SECONDS,
            group_size=self._settings.keeper_group_size,
        )

    # Time

    def _housekeeping(self, now: float) -> list[Effect]:
        effects: list[Effect] = [SetTimer(HOUSEKEEPING_TIMER, HOUSEKEEPING_INTERVAL_SECONDS)]
        effects.extend(self._give_up_waiters(now))
        if not self.replica.may_act(now):
            return effects + self._heartbeats.pass_on(now)
        effects.extend(self._heartbeats.expire(now))
        effects.extend(self._heartbeats.pass_on(now))
        effects.extend(self._found_keepers(now))
        gateways = self._publisher.subscribers.heard_gateways()
        effects.extend(self._duties.tick(gateways, self.replica.group_time(now), now))
        effects.extend(self._suspects.tick(self.replica.group_time(now), now))
        effects.extend(self._publisher.push(now))
        return effects

    def _give_up_waiters(self, now: float) -> list[Effect]:
        error = OutcomeUnknownError(detail="not decided in time")
        late = self._waiters.take_late(now)
        return [self._respond(waiter.request_id, Failed(error)) for waiter in late]

    def _found_keepers(self, now: float) -> list[Effect]:
        """Choose the founding members of the keepers' group, once and for all."""
        if self.state.founding is not None:
            return []
        chosen = self._founding.decide(self._publisher.subscribers.keeper_reports(now), now)
        if not chosen:
            return []
        fields = {"members": ",".join(keeper.node_id for keeper in chosen)}
        command = FoundKeepers(KeeperGroup(tuple(chosen)))
        return [LogEvent("keepers.founding", fields), *self._propose_own(command, now)]

    def _stop(self, now: float) -> list[Effect]:
        if self._stopping:
            return []
        self._stopping = True
        effects: list[Effect] = [LogEvent("control.stopping")]
        effects.extend(self._perform(self.replica.hand_over(now), now))
        return effects


def _ip_of(address: str) -> str:
    return address.rpartition(":")[0]


def _node_of(address: str) -> NodeId:
    """A node is named by its IP address: seeds come without names."""
    return NodeId(_ip_of(address))


def _metering_settings(settings: DirectorySettings) -> MeteringSettings:
    return MeteringSettings(
        node_id=NodeId(settings.node_id),
        name=settings.name,
        platform_address=settings.platform_address,
        lease_seconds=settings.platform_lease_seconds,
        calls_per_second=settings.platform_calls_per_second,
        window_seconds=settings.usage_window_seconds,
        due_seconds=settings.usage_due_seconds,
    )


def _replica_settings(settings: DirectorySettings) -> ReplicaSettings:
    # All founders list the seeds in one order, so that they agree on who founds.
    members = tuple(
        PeerSettings(node_id=_node_of(address), address=address)
        for address in sorted(settings.seeds)
    )
    return ReplicaSettings(
        node_id=NodeId(settings.node_id),
        address=settings.internal_address,
        zone=Zone(settings.zone),
        members=members,
        bootstrap=settings.may_found,
        target_size=settings.control_group_size,
        placement=settings.placement,
        timings=quick_timings(settings.election_timeout_seconds, settings.repair_delay_seconds),
        limits=ReplicaLimits(
            compaction_entries=COMPACTION_ENTRIES, compaction_bytes=COMPACTION_BYTES
        ),
    )
