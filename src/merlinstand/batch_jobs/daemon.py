"""The batch keeper: replicated jobs, and in the leader their items, scores and weight orders.

Every keeper runs this reducer. It owns the replicated jobs and joins the parts: `keeper_replica`
(the log and its group), `gateway_calls` (calls of gateways), and, while it leads, `runner` (items)
and `weight_loader` (weights of engines). An event goes to the part that it concerns; what the log
decides is applied to the jobs first, then reported to the parts.
"""

from collections.abc import Sequence

from merlinstand.batch_jobs.engine_interface import EngineInterface
from merlinstand.batch_jobs.engines import EngineStates
from merlinstand.batch_jobs.gateway_calls import GatewayCalls
from merlinstand.batch_jobs.item_calls import CALL_PREFIX as ITEM_PREFIX
from merlinstand.batch_jobs.item_context import ItemContext
from merlinstand.batch_jobs.job_lifetime import is_out_of_time, may_be_forgotten
from merlinstand.batch_jobs.keeper_replica import KeeperReplica
from merlinstand.batch_jobs.runner import ItemRunner
from merlinstand.batch_jobs.settings import KeeperSettings
from merlinstand.batch_jobs.state_machine import (
    AcceptJob,
    CloseJob,
    ForgetJob,
    JobCommand,
    JobStates,
    KeepTexts,
    ListResult,
    NoteOrder,
    decode_command,
)
from merlinstand.batch_jobs.weight_calls import CALL_PREFIX as WEIGHTS_PREFIX
from merlinstand.batch_jobs.weight_loader import OrderIntents, WeightLoader
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.ids import BackendId, NodeId
from merlinstand.consensus.first_start import (
    is_first_start_synced,
)
from merlinstand.consensus.replica import Replica
from merlinstand.consensus.step import CommittedEntry, EntryKind, LeadershipChange, Step
from merlinstand.decisions.distance import ProcessLocation
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.decisions.service_split import WeightedChoice
from merlinstand.directory.follower import PULL_TIMER, DirectoryFollower
from merlinstand.fenced_calls.call_intents import LEASE_MARGIN_SECONDS
from merlinstand.forwarding.forwarder import CALL_PREFIX as FORWARD_PREFIX
from merlinstand.forwarding.forwarder import TIMER_PREFIX as FORWARD_TIMER_PREFIX
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.kernel.effects import Effect, LogEvent, SetTimer, StopProcess
from merlinstand.kernel.events import (
    CallChunk,
    CallEnded,
    CallFailed,
    CallHeaders,
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
from merlinstand.protocol.generated.directory.ttypes import DirectoryUpdate
from merlinstand.quarantine.crash_watch import CALL_PREFIX as PROBE_PREFIX
from merlinstand.quarantine.crash_watch import CrashDetector

TICK_TIMER = "keeper.tick"
TICK_SECONDS = 0.05
"""Seconds between two ticks of a keeper: what is due by time alone is looked at this often; what
an event makes due is done within the event. Chosen, not measured."""
STOP_TIMER = "keeper.stop"
STOP_GRACE_SECONDS = 0.5
"""Seconds from the end of the hand-over of leadership to the end of the process. Chosen, not
measured."""


class KeeperDaemon:
    """Reducer of the `keeper` role."""

    def __init__(self, settings: KeeperSettings, engine_interface: EngineInterface) -> None:
        """Make a daemon that has not started.

        Args:
            settings: Checked settings.
            engine_interface: Translates orders to engines and their reports.
        """
        self._settings = settings
        self._places = ZoneMap(settings.zones)
        self.jobs = JobStates()
        self.follower = DirectoryFollower(settings.seeds, lambda now: self._replica.report(now))
        self._replica = KeeperReplica(settings, self.follower, self._perform)
        self._engines = EngineStates(self.follower, self._places, settings.zone)
        self._gateways = GatewayCalls(
            settings, self.jobs, self._replica, self.follower, self._engines, self._places
        )
        self._split = WeightedChoice()
        self._watch = CrashDetector(
            self.follower.suspects,
            settings.header_names,
            self.follower.health_path_of,
            self.follower.cold,
        )
        self._forwarder = self._make_forwarder()
        self._runner = ItemRunner(self._item_context())
        self._weights = self._make_weight_loader(engine_interface)
        self._delivered_index = 0
        self._is_running = False
        """Whether items are run here: this keeper leads and knows all that is committed."""

    def _make_forwarder(self) -> Forwarder:
        follower = self.follower
        standpoint = ProcessLocation(self._settings.zone, self._places)
        chooser = BackendChooser(
            standpoint, follower.is_out_of_touch, follower.cold, follower.suspects.has_crashed
        )
        names = self._settings.header_names
        return Forwarder(names, follower.snapshot_of, self._places, chooser, self._watch)

    def _item_context(self) -> ItemContext:
        return ItemContext(
            jobs=self.jobs,
            follower=self.follower,
            engines=self._engines,
            forwarder=self._forwarder,
            names=self._settings.header_names,
            is_assigned=lambda backend_id, model: self._weights.is_assigned(backend_id, model),
            split=self._split,
            list_result=self._replica.propose,
            keep_texts=lambda parts, now: self._replica.propose(KeepTexts(parts), now),
            group_time=self._replica.group_time,
            places=self._places,
            watch=self._watch,
        )

    def _make_weight_loader(self, engine_interface: EngineInterface) -> WeightLoader:
        return WeightLoader(
            self.follower,
            self._engines,
            engine_interface,
            self._settings.header_names,
            self.jobs.recent_tokens,
            OrderIntents(self._settings.name, self._free_to_order_in, self._note_order),
            self.jobs.recent_jobs,
        )

    @property
    def replica(self) -> Replica | None:
        """The replica of the log; None until the group's founders are known."""
        return self._replica.replica

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Ask for the directory; the replica starts once the group's founders are known."""
        effects = self._replica.start(event, now)
        self._split.seed(event.seed)
        self._forwarder.chooser.seed(event.seed)
        self.follower.suspects.begin(f"{self._settings.node_id}/{event.seed}")
        return [*effects, *self.follower.start(now), SetTimer(TICK_TIMER, TICK_SECONDS)]

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Handle one event."""
        effects = self._dispatch(event, now)
        if self._is_running and not isinstance(event, CallChunk):
            # Whatever happened may have freed a slot or finished a scoring call.
            effects = [*effects, *self._work(now), *self.follower.pull_if_due(now)]
        return effects

    def _dispatch(self, event: Event, now: float) -> list[Effect]:
        if is_first_start_synced(event):
            return []
        if self.replica is not None and self.replica.handles(event):
            return self._perform(self.replica.handle(event, now), now)
        match event:
            case MessageReceived(message=DirectoryUpdate()):
                return self._follow(event.sender, event.message, now)
            case RequestReceived():
                leads = self._is_running and self._replica.may_act(now)
                return self._gateways.on_request(event, leads, now)
            case RequestAborted():
                self._gateways.on_aborted(event.request_id)
                return []
            case TimerFired():
                return self._timer(event.name, now)
            case CallHeaders() | CallChunk() | CallEnded() | CallResponded() | CallFailed():
                return self._call(event, now)
            case StopRequested():
                return self._stop(now)
            case WallClockRead():
                self.follower.take_clock(event, now)
                return []
            case _:
                return []

    def _follow(self, sender: NodeId, update: DirectoryUpdate, now: float) -> list[Effect]:
        """Take in what the directory has newly, and let every part see what concerns it."""
        held = self.follower.backends_revision
        held_suspects = self.follower.suspects.revision
        effects = self.follower.take(sender, update, now)
        self._engines.refresh()
        if self.follower.backends_revision != held:
            effects.extend(self._watch.update_backends(self.follower.backends, now))
        if self.follower.suspects.revision != held_suspects:
            self._runner.review_held(now)
            effects.extend(self._forwarder.on_quarantine_change(now))
        if update.cold_grants is not None:
            self._runner.note_grants()
            effects.extend(self._forwarder.on_cold_grants(now))
        return effects + self._replica.start_if_founded(now)

    def _call(
        self,
        event: CallHeaders | CallChunk | CallEnded | CallResponded | CallFailed,
        now: float,
    ) -> list[Effect]:
        call_id = event.call_id
        if isinstance(event, CallResponded | CallFailed):
            if call_id.startswith(FORWARD_PREFIX):
                return self._forwarder.on_call(event, now)
            if call_id.startswith(PROBE_PREFIX):
                return [
                    *self._watch.on_call(event, now),
                    *self._forwarder.on_crash_check_results(now),
                ]
            if call_id.startswith(WEIGHTS_PREFIX):
                return self._weights.on_call(event, self._replica.may_act(now), now)
        if call_id.startswith(ITEM_PREFIX) and not isinstance(event, CallResponded):
            return self._runner.on_call(event, now)
        return []

    # Consensus

    def _perform(self, step: Step, now: float) -> list[Effect]:
        replica = self.replica
        assert replica is not None, "only a started replica makes steps"
        effects = list(step.effects)
        if step.restored is not None:
            self.jobs.restore(step.restored)
            self._delivered_index = replica.commit_index
        for entry in step.committed:
            effects.extend(self._committed(entry, now))
        if step.leadership is LeadershipChange.LOST:
            effects.extend(self._lost_leadership(now))
        if step.leadership is not None:
            fields = {"change": step.leadership.value, "term": replica.term}
            effects.append(LogEvent("keeper.leadership", fields))
        if not self._is_running and self._replica.may_act(now):
            effects.extend(self._begin_running(now))
        if step.snapshot_wanted:
            compacted = replica.compact(self._delivered_index, self.jobs.snapshot(), now)
            effects.extend(self._perform(compacted, now))
        if step.hand_over_ended and self._replica.is_stopping:
            effects.append(SetTimer(STOP_TIMER, STOP_GRACE_SECONDS))
        return effects

    def _begin_running(self, now: float) -> list[Effect]:
        """Everything committed by earlier leaders is known here now."""
        assert self.replica is not None
        self._is_running = True
        self._engines.refresh()
        self._runner.begin(now)
        term = self.replica.term
        self._weights.begin(term)
        fields = {"term": term, "jobs": len(self.jobs.jobs), "items": len(self._runner)}
        return [LogEvent("keeper.leads", fields), *self.follower.pull(now)]

    def _lost_leadership(self, now: float) -> list[Effect]:
        self._is_running = False
        self._weights.end()
        effects = self._runner.end(now)
        return effects + self._gateways.on_leadership_lost()

    def _committed(self, entry: CommittedEntry, now: float) -> list[Effect]:
        self._delivered_index = entry.index
        effects: list[Effect] = []
        if entry.kind is EntryKind.COMMAND:
            try:
                command = decode_command(entry.payload)
            except DECODE_ERRORS:
                return effects
            changed = self.jobs.apply(command, entry.group_time)
            effects.extend(self._applied(command, changed, now))
        return effects + self._gateways.on_committed(entry)

    def _applied(self, command: JobCommand, changed: str, now: float) -> list[Effect]:
        match command:
            case AcceptJob():
                if self._is_running and changed:
                    self._runner.add_job(self.jobs.jobs[changed], now)
                return []
            case ListResult():
                return self._after_listing(command, now)
            case CloseJob():
                effects = self._runner.end_job(command.job_id, now)
                return effects + self._gateways.on_changed_job(command.job_id)
            case ForgetJob():
                return self._runner.end_job(command.job_id, now)
            case KeepTexts():
                return []
            case NoteOrder():
                if command.holder != self._settings.name or not self._is_running:
                    return []
                backend_id = BackendId(command.backend_id)
                return self._weights.on_intent_committed(
                    backend_id, self._replica.may_act(now), now
                )

    def _after_listing(self, command: ListResult, now: float) -> list[Effect]:
        job = self.jobs.jobs.get(command.job_id)
        item_id = command.result.item_id
        if command.kept_events and job is not None and job.is_open and not job.is_listed(item_id):
            return self._runner.list_whole(command.job_id, item_id, now)
        self._runner.listed(command.job_id, item_id)
        return self._gateways.on_changed_job(command.job_id)

    def _free_to_order_in(self, backend_id: BackendId, now: float) -> float:
        """Seconds until no order of another holder can be younger than the lease."""
        lease = self._settings.order_lease_seconds + LEASE_MARGIN_SECONDS
        name = self._settings.name
        return self.jobs.orders.seconds_until_free(
            backend_id, name, self._replica.group_time(now), lease
        )

    def _note_order(self, backend_id: BackendId, now: float) -> list[Effect] | None:
        return self._replica.propose(NoteOrder(backend_id, self._settings.name), now)

    # Time

    def _timer(self, name: str, now: float) -> list[Effect]:
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
        effects.extend(self._gateways.tick(now))
        if self._replica.may_act(now) and self.replica is not None:
            effects.extend(self._weights.tick(now))
            if self._is_running:
                effects.extend(self._runner.tick(now))
            effects.extend(self._look_after_jobs(now))
            effects.extend(self._replica.remove_retiring(now))
        return effects

    def _work(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for finished in self._forwarder.take_finished():
            effects.extend(self._runner.on_scored(finished, now))
        if self._replica.may_act(now):
            effects.extend(self._runner.start_if_due(now))
        return effects

    def _look_after_jobs(self, now: float) -> list[Effect]:
        """Give up items whose time is over; forget jobs that nobody may ask for any more."""
        assert self.replica is not None
        group_time = self.replica.group_time(now)
        effects: list[Effect] = []
        for job_id, job in list(self.jobs.jobs.items()):
            route = self.follower.routes.find(job.job.host, job.job.path)
            if is_out_of_time(job, route, group_time):
                effects.extend(self._runner.give_up_job(job_id, now))
            if may_be_forgotten(job, self._settings.result_retention_seconds, group_time):
                effects.extend(self._replica.propose(ForgetJob(job_id), now) or [])
        return effects

    def _stop(self, now: float) -> list[Effect]:
        if self._replica.is_stopping:
            return []
        effects: list[Effect] = [LogEvent("keeper.stopping")]
        if self.replica is None:
            return [*effects, StopProcess()]
        if self._is_running:
            effects.extend(self._lost_leadership(now))
        self._replica.is_stopping = True
        effects.extend(self._perform(self.replica.hand_over(now), now))
        return effects
