"""The batch keeper: replicates jobs; as leader, it runs and scores items and loads weights.

Every keeper runs this reducer. It dispatches events to `keeper_replica` (log and group),
`gateway_calls` (calls of gateways) and, while it leads, `runner` (items) and `weight_loader`
(weights of engines). Committed commands are applied to the jobs first, then reported to the parts.
"""

from collections.abc import Sequence
from http import HTTPStatus

from merlinstand.batch_jobs.engine_interface import EngineInterface
from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.gateway_calls import GatewayCalls
from merlinstand.batch_jobs.item_calls import CALL_PREFIX as ITEM_PREFIX
from merlinstand.batch_jobs.item_context import ItemContext
from merlinstand.batch_jobs.job_lifetime import is_deletable, is_expired
from merlinstand.batch_jobs.keeper_replica import KeeperReplica
from merlinstand.batch_jobs.runner import ItemRunner
from merlinstand.batch_jobs.settings import KeeperSettings
from merlinstand.batch_jobs.state_machine import (
    AcceptJob,
    CheckpointTexts,
    CloseJob,
    DeleteJob,
    JobCommand,
    JobStates,
    ListResult,
    RecordOrderIntent,
    decode_command,
)
from merlinstand.batch_jobs.weight_calls import CALL_PREFIX as WEIGHTS_PREFIX
from merlinstand.batch_jobs.weight_loader import OrderIntents, WeightLoader
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.ids import BackendId, NodeId, RequestId
from merlinstand.consensus.first_start import is_first_start_synced
from merlinstand.consensus.replica import Replica
from merlinstand.consensus.step import CommittedEntry, EntryKind, LeadershipChange, Step
from merlinstand.decisions.distance import ProcessLocation
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.decisions.service_split import WeightedChoice
from merlinstand.directory.follower import PULL_TIMER, DirectoryFollower
from merlinstand.directory.replies import READINESS_PROOF_MAXIMUM_AGE_SECONDS
from merlinstand.fenced_calls.call_intents import LEASE_MARGIN_SECONDS
from merlinstand.forwarding.forwarder import CALL_PREFIX as FORWARD_PREFIX
from merlinstand.forwarding.forwarder import TIMER_PREFIX as FORWARD_TIMER_PREFIX
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.kernel.effects import Effect, LogEvent, Respond, SetTimer, StopProcess
from merlinstand.kernel.events import (
    CallChunk,
    CallEnded,
    CallFailed,
    CallHeaders,
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
from merlinstand.protocol.generated.directory.ttypes import DirectoryUpdate
from merlinstand.quarantine.crash_watch import CALL_PREFIX as PROBE_PREFIX
from merlinstand.quarantine.crash_watch import CrashDetector

TICK_TIMER = "keeper.tick"
TICK_SECONDS = 0.05
"""Interval between ticks, which handle work that is due at a certain time. Work that an event makes
due is handled together with that event."""
STOP_TIMER = "keeper.stop"
STOP_DELAY_SECONDS = 0.5
"""Time from the end of the leadership transfer to the end of the process."""


class KeeperDaemon:
    """Reducer of the `keeper` role."""

    def __init__(self, settings: KeeperSettings, engine_interface: EngineInterface) -> None:
        """Create the daemon; call `start` before `reduce`.

        Args:
            settings: Validated settings.
            engine_interface: Translates to and from the API of the engines.
        """
        self._settings = settings
        self._zone_map = ZoneMap(settings.zones)
        self.jobs = JobStates()
        self.follower = DirectoryFollower(settings.seeds, lambda now: self._replica.report(now))
        self._replica = KeeperReplica(settings, self.follower, self._perform_step)
        self._engines = EngineStates(self.follower, self._zone_map, settings.zone)
        self._gateway_calls = GatewayCalls(
            settings, self.jobs, self._replica, self.follower, self._engines, self._zone_map
        )
        self._service_choice = WeightedChoice()
        self._crash_detector = CrashDetector(
            self.follower.suspects,
            settings.header_names,
            self.follower.health_path_of,
            self.follower.cold_budget,
        )
        self._forwarder = self._make_forwarder()
        self._runner = ItemRunner(self._make_item_context())
        self._weight_loader = self._make_weight_loader(engine_interface)
        self._applied_index = 0
        self._is_leading = False
        """Whether this keeper leads and has applied all entries committed by earlier leaders."""

    def _make_forwarder(self) -> Forwarder:
        follower = self.follower
        location = ProcessLocation(self._settings.zone, self._zone_map)
        chooser = BackendChooser(
            location,
            follower.is_leader_unreachable,
            follower.cold_budget,
            follower.suspects.has_crashed,
        )
        header_names = self._settings.header_names
        return Forwarder(
            header_names, follower.backends_of, self._zone_map, chooser, self._crash_detector
        )

    def _make_item_context(self) -> ItemContext:
        return ItemContext(
            jobs=self.jobs,
            follower=self.follower,
            engines=self._engines,
            forwarder=self._forwarder,
            header_names=self._settings.header_names,
            is_assigned=lambda backend_id, model: self._weight_loader.is_assigned(
                backend_id, model
            ),
            service_choice=self._service_choice,
            propose_result=self._replica.propose,
            propose_checkpoints=lambda parts, now: self._replica.propose(
                CheckpointTexts(parts), now
            ),
            group_time=self._replica.group_time,
            zone_map=self._zone_map,
            event_timeout_seconds=self._settings.event_timeout_seconds,
            crash_detector=self._crash_detector,
        )

    def _make_weight_loader(self, engine_interface: EngineInterface) -> WeightLoader:
        return WeightLoader(
            self.follower,
            self._engines,
            engine_interface,
            self._settings.header_names,
            self.jobs.mean_tokens_per_job,
            OrderIntents(
                self._settings.name, self._seconds_until_order_allowed, self._propose_order_intent
            ),
            self.jobs.recent_jobs,
        )

    @property
    def replica(self) -> Replica | None:
        """The replica of the log; None until it is started."""
        return self._replica.replica

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Start the daemon and pull the directory.

        The replica starts now if it was a member before, otherwise once the founders are known.
        """
        effects = self._replica.start(event, now)
        self._service_choice.seed(event.seed)
        self._forwarder.chooser.seed(event.seed)
        self.follower.suspects.begin(f"{self._settings.node_id}/{event.seed}")
        return [*effects, *self.follower.start(now), SetTimer(TICK_TIMER, TICK_SECONDS)]

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Handle one event."""
        effects = self._dispatch(event, now)
        if self._is_leading and not isinstance(event, CallChunk):
            # Any event may have freed a slot or finished a scoring call.
            effects = [*effects, *self._advance_items(now), *self.follower.pull_if_due(now)]
        return effects

    def _dispatch(self, event: Event, now: float) -> list[Effect]:
        if is_first_start_synced(event):
            return []
        if self.replica is not None and self.replica.handles(event):
            return self._perform_step(self.replica.handle(event, now), now)
        match event:
            case MessageReceived(message=DirectoryUpdate()):
                return self._on_directory_update(event.sender, event.message, now)
            case RequestReceived():
                is_leading = self._is_leading and self._replica.may_act(now)
                return self._gateway_calls.on_request(event, is_leading, now)
            case ReadinessRequested():
                return [self._answer_readiness(event.request_id, now)]
            case RequestAborted():
                self._gateway_calls.on_aborted(event.request_id)
                return []
            case TimerFired():
                return self._on_timer(event.name, now)
            case CallHeaders() | CallChunk() | CallEnded() | CallResponded() | CallFailed():
                return self._on_call(event, now)
            case StopRequested():
                return self._stop(now)
            case WallClockRead():
                self.follower.record_wall_clock(event, now)
                return []
            case _:
                return []

    def _answer_readiness(self, request_id: RequestId, now: float) -> Effect:
        """Respond to a readiness check; fails if stopping or without recent proof of a leader."""
        age = None if self.replica is None else self.replica.proof_age_seconds(now)
        is_recent = age is not None and age < READINESS_PROOF_MAXIMUM_AGE_SECONDS
        is_ready = is_recent and not self._replica.is_stopping
        status = HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE
        return Respond(request_id, status.value, {}, b"")

    def _on_directory_update(
        self, sender: NodeId, update: DirectoryUpdate, now: float
    ) -> list[Effect]:
        """Apply an update of the directory and notify the parts that it affects."""
        old_backends_revision = self.follower.backends_revision
        old_suspects_revision = self.follower.suspects.revision
        effects = self.follower.apply_update(sender, update, now)
        self._engines.refresh()
        if self.follower.backends_revision != old_backends_revision:
            effects.extend(self._crash_detector.update_backends(self.follower.backends, now))
        if self.follower.suspects.revision != old_suspects_revision:
            effects.extend(self._forwarder.on_quarantine_change(now))
        if update.cold_grants is not None:
            self._runner.on_cold_grants()
            effects.extend(self._forwarder.on_cold_grants(now))
        return effects + self._replica.start_if_bootstrapped(now)

    def _on_call(
        self, event: CallHeaders | CallChunk | CallEnded | CallResponded | CallFailed, now: float
    ) -> list[Effect]:
        call_id = event.call_id
        if isinstance(event, CallResponded | CallFailed):
            if call_id.startswith(FORWARD_PREFIX):
                return self._forwarder.on_call(event, now)
            if call_id.startswith(PROBE_PREFIX):
                return [
                    *self._crash_detector.on_call(event, now),
                    *self._forwarder.on_crash_check_results(now),
                ]
            if call_id.startswith(WEIGHTS_PREFIX):
                return self._weight_loader.on_call(event, self._replica.may_act(now), now)
        if call_id.startswith(ITEM_PREFIX) and not isinstance(event, CallResponded):
            return self._runner.on_call(event, now)
        return []

    # Consensus

    def _perform_step(self, step: Step, now: float) -> list[Effect]:
        replica = self.replica
        assert replica is not None, "a step was performed before the replica was started"
        effects = list(step.effects)
        if step.restored is not None:
            self.jobs.restore(step.restored)
            self._applied_index = replica.commit_index
        for entry in step.committed:
            effects.extend(self._on_committed(entry, now))
        if step.leadership is LeadershipChange.LOST:
            effects.extend(self._stop_leading(now))
        if step.leadership is not None:
            fields = {"change": step.leadership.value, "term": replica.term}
            effects.append(LogEvent("keeper.leadership", fields))
        if not self._is_leading and self._replica.may_act(now):
            effects.extend(self._start_leading(now))
        if step.snapshot_wanted:
            compacted = replica.compact(self._applied_index, self.jobs.snapshot(), now)
            effects.extend(self._perform_step(compacted, now))
        if step.hand_over_ended and self._replica.is_stopping:
            effects.append(SetTimer(STOP_TIMER, STOP_DELAY_SECONDS))
        return effects

    def _start_leading(self, now: float) -> list[Effect]:
        """Start to run items, after all entries committed by earlier leaders were applied."""
        assert self.replica is not None
        self._is_leading = True
        self._engines.refresh()
        self._runner.load_open_jobs(now)
        term = self.replica.term
        self._weight_loader.begin(term)
        fields = {"term": term, "jobs": len(self.jobs.jobs), "items": len(self._runner)}
        return [LogEvent("keeper.leads", fields), *self.follower.pull(now)]

    def _stop_leading(self, now: float) -> list[Effect]:
        self._is_leading = False
        self._weight_loader.end()
        effects = self._runner.stop_all(now)
        return effects + self._gateway_calls.on_leadership_lost()

    def _on_committed(self, entry: CommittedEntry, now: float) -> list[Effect]:
        self._applied_index = entry.index
        effects: list[Effect] = []
        if entry.kind is EntryKind.COMMAND:
            try:
                command = decode_command(entry.payload)
            except DECODE_ERRORS:
                return effects
            changed_job_id = self.jobs.apply(command, entry.group_time)
            effects.extend(self._on_applied(command, changed_job_id, now))
        return effects + self._gateway_calls.on_committed(entry)

    def _on_applied(self, command: JobCommand, changed_job_id: str, now: float) -> list[Effect]:
        match command:
            case AcceptJob():
                if self._is_leading and changed_job_id:
                    self._runner.add_job(self.jobs.jobs[changed_job_id], now)
                return []
            case ListResult():
                return self._on_result_command(command, now)
            case CloseJob():
                effects = self._runner.end_job(command.job_id, now)
                return effects + self._gateway_calls.on_job_changed(command.job_id)
            case DeleteJob():
                return self._runner.end_job(command.job_id, now)
            case CheckpointTexts():
                return []
            case RecordOrderIntent():
                if command.holder != self._settings.name or not self._is_leading:
                    return []
                backend_id = BackendId(command.backend_id)
                return self._weight_loader.on_intent_committed(
                    backend_id, self._replica.may_act(now), now
                )

    def _on_result_command(self, command: ListResult, now: float) -> list[Effect]:
        job = self.jobs.jobs.get(command.job_id)
        item_id = command.result.item_id
        if (
            command.checkpointed_events
            and job is not None
            and job.is_open
            and not job.is_listed(item_id)
        ):
            return self._runner.list_full_text(command.job_id, item_id, now)
        self._runner.remove_listed(command.job_id, item_id)
        return self._gateway_calls.on_job_changed(command.job_id)

    def _seconds_until_order_allowed(self, backend_id: BackendId, now: float) -> float:
        """Return the seconds until this keeper may order an engine to load weights.

        Until then, the lease of another leader that recently ordered this engine may still be
        valid.
        """
        lease = self._settings.order_lease_seconds + LEASE_MARGIN_SECONDS
        name = self._settings.name
        return self.jobs.orders.seconds_until_free(
            backend_id, name, self._replica.group_time(now), lease
        )

    def _propose_order_intent(self, backend_id: BackendId, now: float) -> list[Effect] | None:
        return self._replica.propose(RecordOrderIntent(backend_id, self._settings.name), now)

    # Time

    def _on_timer(self, name: str, now: float) -> list[Effect]:
        if name == PULL_TIMER:
            return self.follower.pull(now)
        if name == TICK_TIMER:
            return self._tick(now)
        if name == STOP_TIMER:
            return [StopProcess()]
        if name.startswith(FORWARD_TIMER_PREFIX):
            return self._forwarder.on_timer(name, now)
        return []

    def _tick(self, now: float) -> list[Effect]:
        effects: list[Effect] = [SetTimer(TICK_TIMER, TICK_SECONDS)]
        effects.extend(self._gateway_calls.tick(now))
        if self._replica.may_act(now) and self.replica is not None:
            effects.extend(self._weight_loader.tick(now))
            if self._is_leading:
                effects.extend(self._runner.tick(now))
            effects.extend(self._expire_and_delete_jobs(now))
            effects.extend(self._replica.remove_retiring(now))
        return effects

    def _advance_items(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for finished in self._forwarder.take_finished():
            effects.extend(self._runner.on_scored(finished, now))
        if self._replica.may_act(now):
            effects.extend(self._runner.start_if_due(now))
        return effects

    def _expire_and_delete_jobs(self, now: float) -> list[Effect]:
        """Terminate the items of expired jobs and delete jobs whose retention is over."""
        assert self.replica is not None
        group_time = self.replica.group_time(now)
        effects: list[Effect] = []
        for job_id, job in list(self.jobs.jobs.items()):
            route = self.follower.routes.find(job.job.host, job.job.path)
            if is_expired(job, route, group_time):
                effects.extend(self._runner.expire_job(job_id, now))
            if is_deletable(job, self._settings.result_retention_seconds, group_time):
                effects.extend(self._replica.propose(DeleteJob(job_id), now) or [])
        return effects

    def _stop(self, now: float) -> list[Effect]:
        if self._replica.is_stopping:
            return []
        effects: list[Effect] = [LogEvent("keeper.stopping")]
        if self.replica is None:
            return [*effects, StopProcess()]
        if self._is_leading:
            effects.extend(self._stop_leading(now))
        self._replica.is_stopping = True
        effects.extend(self._perform_step(self.replica.hand_over(now), now))
        return effects
