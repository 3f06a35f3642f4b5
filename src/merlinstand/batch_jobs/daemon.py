"""The batch keeper: replicated jobs, and in the leader their items, scores and weight orders."""

from collections.abc import Sequence

from result import Err

from merlinstand.batch_calls.calls import (
    CALL_PATH,
    BatchCall,
    BatchReply,
    EndJob,
    Invalid,
    ItemBody,
    JobAccepted,
    JobEnded,
    KeptElsewhere,
    NotFound,
    NotLeader,
    ReadItemBody,
    ReadResults,
    SubmitJob,
    Undecided,
    decode_call,
    encode,
)
from merlinstand.batch_jobs.engine_interface import EngineInterface
from merlinstand.batch_jobs.engines import EngineStates, fastest_event_seconds
from merlinstand.batch_jobs.item_calls import CALL_PREFIX as ITEM_PREFIX
from merlinstand.batch_jobs.item_context import ItemContext
from merlinstand.batch_jobs.item_regions import find_keeper_outside
from merlinstand.batch_jobs.kept_text import TextPart
from merlinstand.batch_jobs.reads import ResultsWaiter, results_page
from merlinstand.batch_jobs.runner import ItemRunner
from merlinstand.batch_jobs.settings import KeeperSettings
from merlinstand.batch_jobs.state_machine import (
    AcceptJob,
    CloseJob,
    ForgetJob,
    JobCommand,
    JobState,
    JobStates,
    KeepTexts,
    ListResult,
    NoteOrder,
    decode_command,
    encode_command,
)
from merlinstand.batch_jobs.weight_loader import CALL_PREFIX as WEIGHTS_PREFIX
from merlinstand.batch_jobs.weight_loader import WeightLoader
from merlinstand.cluster.daemons import DaemonReport, Keeper
from merlinstand.cluster.places import Places
from merlinstand.common.decoding import MALFORMED_INPUT
from merlinstand.common.ids import BackendId, NodeId, RequestId, Zone
from merlinstand.consensus.decision_waiters import DecisionWaiter, DecisionWaiters
from merlinstand.consensus.first_start import (
    is_first_start_kept,
    keep_first_start,
    remembers_first_start,
)
from merlinstand.consensus.recovery import holds_membership
from merlinstand.consensus.replica import Replica
from merlinstand.consensus.settings import PeerSettings, ReplicaSettings
from merlinstand.consensus.step import CommittedEntry, EntryKind, LeadershipChange, Step
from merlinstand.consensus.timings import quick_timings
from merlinstand.decisions.distance import Standpoint
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.decisions.service_split import WeightedChoice
from merlinstand.directory.follower import PULL_TIMER, DirectoryFollower
from merlinstand.directory.subscribers import KEEPER_ROLE
from merlinstand.fenced_calls.turns import LEASE_MARGIN_SECONDS
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
    RequestAborted,
    RequestReceived,
    Started,
    StopRequested,
    TimerFired,
    WallClockRead,
)
from merlinstand.protocol.generated.directory.ttypes import DirectoryUpdate
from merlinstand.quarantine.crash_watch import CALL_PREFIX as PROBE_PREFIX
from merlinstand.quarantine.crash_watch import CrashWatch

TICK_TIMER = "keeper.tick"
TICK_SECONDS = 0.05
STOP_TIMER = "keeper.stop"
STOP_GRACE_SECONDS = 0.5
FORGET_SECONDS = 5.0
"""Kept longer than promised by this much."""
_BINARY = {"content-type": "application/msgpack"}
_OK = 200


class KeeperDaemon:
    """Reducer of the `keeper` role."""

    def __init__(self, settings: KeeperSettings, engine_interface: EngineInterface) -> None:
        """Make a daemon that has not started.

        Args:
            settings: Checked settings.
            engine_interface: Translates orders to engines and their reports.
        """
        self._settings = settings
        names = settings.header_names
        self.jobs = JobStates()
        self.follower = DirectoryFollower(settings.seeds, self._report)
        self._engines = EngineStates(self.follower, Places(settings.zones), settings.zone)
        self._split = WeightedChoice()
        self._places = Places(settings.zones)
        standpoint = Standpoint(settings.zone, self._places)
        follower = self.follower
        chooser = BackendChooser(
            standpoint, follower.is_out_of_touch, follower.cold, follower.suspects.has_crashed
        )
        self._watch = CrashWatch(follower.suspects, names, follower.health_path_of, follower.cold)
        self._forwarder = Forwarder(names, follower.snapshot_of, self._places, chooser, self._watch)
        self._runner = ItemRunner(
            ItemContext(
                jobs=self.jobs,
                follower=self.follower,
                engines=self._engines,
                forwarder=self._forwarder,
                names=names,
                follows=lambda backend_id, model: self._weights.follows(backend_id, model),
                split=self._split,
                list_result=self._list_result,
                keep_texts=self._keep_texts,
                group_time=self._group_time,
                places=self._places,
                watch=self._watch,
            )
        )
        self._weights = WeightLoader(
            self.follower,
            self._engines,
            engine_interface,
            names,
            settings.name,
            self.jobs.recent_tokens,
            self._free_to_order_in,
            self._note_order,
        )
        self.replica: Replica | None = None
        self._started: Started | None = None
        self._delivered_index = 0
        self._decisions: DecisionWaiters[BatchReply] = DecisionWaiters()
        self._readers: list[ResultsWaiter] = []
        self._is_running = False
        """Whether items are run here: this keeper leads and knows all that is committed."""
        self._may_found = settings.may_found
        """Whether this is the first start of all, or it was and the group is not founded yet."""
        self._wished_out: set[str] = set()
        self._stopping = False

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Ask for the directory; the replica starts once the group's founders are known."""
        self._started = event
        self._may_found = self._may_found or remembers_first_start(event)
        effects = keep_first_start(event, self._settings.may_found)
        alone = self._replica_settings((), ())
        if holds_membership(alone, event):
            # The group's members stand in the log: no need to wait for the directory.
            effects.extend(self._start_replica(alone, event, now))
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
        if is_first_start_kept(event):
            return []
        if self.replica is not None and self.replica.handles(event):
            return self._perform(self.replica.handle(event, now), now)
        match event:
            case MessageReceived(message=DirectoryUpdate()):
                held = self.follower.backends_revision
                held_suspects = self.follower.suspects.revision
                effects = self.follower.take(event.sender, event.message, now)
                self._engines.refresh()
                if self.follower.backends_revision != held:
                    effects.extend(self._watch.follow(self.follower.backends, now))
                if self.follower.suspects.revision != held_suspects:
                    self._runner.review_held(now)
                    effects.extend(self._forwarder.on_suspects(now))
                if event.message.cold_grants is not None:
                    self._runner.note_grants()
                    effects.extend(self._forwarder.resume(now))
                return effects + self._begin_replica(now)
            case RequestReceived():
                return self._request(event, now)
            case RequestAborted():
                self._readers = [r for r in self._readers if r.request_id != event.request_id]
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
                return [*self._watch.on_call(event, now), *self._forwarder.on_verdicts(now)]
            if call_id.startswith(WEIGHTS_PREFIX):
                return self._weights.on_call(event, self._may_act(now), now)
        if call_id.startswith(ITEM_PREFIX) and not isinstance(event, CallResponded):
            return self._runner.on_call(event, now)
        return []

    # Consensus

    def _begin_replica(self, now: float) -> list[Effect]:
        founding = self.follower.founding
        if self.replica is not None or founding is None or self._started is None:
            return []
        founders = {keeper.node_id for keeper in founding.members}
        others = tuple(k for k in self.follower.keepers if k.node_id not in founders)
        settings = self._replica_settings(founding.members, others)
        return self._start_replica(settings, self._started, now)

    def _start_replica(self, settings: ReplicaSettings, event: Started, now: float) -> list[Effect]:
        self.replica = Replica(settings)
        # Its records are as large as the whole journal, and are in the replica's log from here on.
        self._started = None
        return self._perform(self.replica.start(event, now), now)

    def _replica_settings(
        self, founders: tuple[Keeper, ...], others: tuple[Keeper, ...]
    ) -> ReplicaSettings:
        settings = self._settings
        return ReplicaSettings(
            node_id=NodeId(settings.node_id),
            address=settings.internal_address,
            zone=Zone(settings.zone),
            members=tuple(
                PeerSettings(node_id=NodeId(k.node_id), address=k.address, zone=Zone(k.zone))
                for k in founders
            ),
            standbys=tuple(
                PeerSettings(node_id=NodeId(k.node_id), address=k.address, zone=Zone(k.zone))
                for k in others
            ),
            bootstrap=self._may_found,
            target_size=settings.group_size,
            placement=settings.placement,
            timings=quick_timings(settings.election_timeout_seconds, settings.repair_delay_seconds),
        )

    def _may_act(self, now: float) -> bool:
        return self.replica is not None and self.replica.may_act(now) and not self._stopping

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
        if not self._is_running and self._may_act(now):
            effects.extend(self._begin_running(now))
        if step.snapshot_wanted:
            compacted = replica.compact(self._delivered_index, self.jobs.snapshot(), now)
            effects.extend(self._perform(compacted, now))
        if step.hand_over_ended and self._stopping:
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
        for reader in self._readers:
            effects.append(self._reply(reader.request_id, self._not_leader()))
        self._readers.clear()
        return effects

    def _committed(self, entry: CommittedEntry, now: float) -> list[Effect]:
        self._delivered_index = entry.index
        effects: list[Effect] = []
        if entry.kind is EntryKind.COMMAND:
            try:
                command = decode_command(entry.payload)
            except MALFORMED_INPUT:
                return effects
            changed = self.jobs.apply(command, entry.group_time)
            effects.extend(self._applied(command, changed, now))
        waiter = self._decisions.take(entry.index)
        if waiter is not None:
            reply = waiter.reply if waiter.term == entry.term else self._not_leader()
            effects.append(self._reply(waiter.request_id, reply))
        return effects

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
                return effects + self._answer_readers(command.job_id)
            case ForgetJob():
                return self._runner.end_job(command.job_id, now)
            case KeepTexts():
                return []
            case NoteOrder():
                if command.holder != self._settings.name or not self._is_running:
                    return []
                backend_id = BackendId(command.backend_id)
                return self._weights.order_noted(backend_id, self._may_act(now), now)

    def _after_listing(self, command: ListResult, now: float) -> list[Effect]:
        job = self.jobs.jobs.get(command.job_id)
        item_id = command.result.item_id
        if command.kept_events and job is not None and job.is_open and not job.is_listed(item_id):
            return self._runner.list_whole(command.job_id, item_id, now)
        self._runner.listed(command.job_id, item_id)
        return self._answer_readers(command.job_id)

    def _propose(self, command: JobCommand, now: float) -> tuple[int, int, list[Effect]] | None:
        """Propose a command; position, term and effects, or None if that can't be done."""
        if self.replica is None or not self._may_act(now):
            return None
        result = self.replica.propose(encode_command(command), now)
        if isinstance(result, Err):
            return None
        proposal = result.ok_value
        return proposal.index, proposal.term, self._perform(proposal.step, now)

    def _list_result(self, command: ListResult, now: float) -> list[Effect] | None:
        proposed = self._propose(command, now)
        return None if proposed is None else proposed[2]

    def _keep_texts(self, parts: tuple[TextPart, ...], now: float) -> list[Effect] | None:
        proposed = self._propose(KeepTexts(parts), now)
        return None if proposed is None else proposed[2]

    def _group_time(self, now: float) -> float:
        return self.replica.group_time(now) if self.replica is not None else 0.0

    def _free_to_order_in(self, backend_id: BackendId, now: float) -> float:
        """Seconds until no order of another holder can be younger than the lease."""
        lease = self._settings.order_lease_seconds + LEASE_MARGIN_SECONDS
        name = self._settings.name
        return self.jobs.orders.free_in(backend_id, name, self._group_time(now), lease)

    def _note_order(self, backend_id: BackendId, now: float) -> list[Effect] | None:
        proposed = self._propose(NoteOrder(backend_id, self._settings.name), now)
        return None if proposed is None else proposed[2]

    # Calls of gateways

    def _request(self, event: RequestReceived, now: float) -> list[Effect]:
        if event.path != CALL_PATH:
            return [Respond(event.request_id, 404, {}, b"")]
        try:
            call = decode_call(event.body)
        except MALFORMED_INPUT as error:
            return [self._reply(event.request_id, Invalid(str(error)))]
        if not self._is_running or not self._may_act(now):
            return [self._reply(event.request_id, self._copy_reply(call))]
        return self._leader_call(event.request_id, call, now)

    def _copy_reply(self, call: BatchCall) -> BatchReply:
        """Answer without leading: a committed result at a position is the same everywhere.

        That a copy has nothing there proves nothing; the leader is to be asked.
        """
        if not isinstance(call, ReadResults):
            return self._not_leader()
        job = self._job_of(call.job_id, call.tenant)
        if job is None or len(job.results) <= call.position:
            return self._not_leader()
        return results_page(job, call.position)

    def _leader_call(self, request_id: RequestId, call: BatchCall, now: float) -> list[Effect]:
        match call:
            case SubmitJob():
                return self._submit(request_id, call, now)
            case ReadResults():
                return self._read_results(request_id, call, now)
            case ReadItemBody():
                return [self._reply(request_id, self._item_body(call))]
            case EndJob():
                return self._end_job(request_id, call, now)

    def _job_of(self, job_id: str, tenant: str) -> JobState | None:
        """Give a job, if there is one that this tenant may see."""
        job = self.jobs.jobs.get(job_id)
        return job if job is not None and job.job.belongs_to(tenant) else None

    def _submit(self, request_id: RequestId, call: SubmitJob, now: float) -> list[Effect]:
        held = self.jobs.jobs.get(call.job.job_id)
        if held is not None:
            is_same = held.job.tenant == call.job.tenant
            reply = JobAccepted() if is_same else Invalid("the job's id is taken")
            return [self._reply(request_id, reply)]
        members = self.replica.membership.members() if self.replica is not None else ()
        regions = call.allowed_regions
        outside = find_keeper_outside(regions, self.follower, members, self._places)
        if outside:
            return [self._reply(request_id, KeptElsewhere(outside))]
        engines = self._engines.of_model(call.job.model)
        fields = {
            "job": call.job.job_id,
            "items": len(call.job.items),
            "step": call.job.step,
            "minimum_version": call.job.minimum_version,
            "groups": call.job.count_groups(),
            "wanted_groups": call.job.wanted_groups,
            "slots": sum(state.slots for state in engines),
            "event_seconds": round(fastest_event_seconds(engines, now), 4),
        }
        log = LogEvent("job.submitted", fields)
        return [log, *self._decide(AcceptJob(call.job), request_id, JobAccepted(), now)]

    def _end_job(self, request_id: RequestId, call: EndJob, now: float) -> list[Effect]:
        job_id = call.job_id
        job = self._job_of(job_id, call.tenant)
        if job is None:
            return [self._reply(request_id, NotFound())]
        if job.is_ended:
            return [self._reply(request_id, JobEnded())]
        fields = {"job": job_id, "listed": len(job.results), "items": len(job.job.items)}
        log = LogEvent("job.end", fields)
        return [log, *self._decide(CloseJob(job_id), request_id, JobEnded(), now)]

    def _decide(
        self, command: JobCommand, request_id: RequestId, reply: BatchReply, now: float
    ) -> list[Effect]:
        """Propose a command and answer once it is decided."""
        assert self.replica is not None
        result = self.replica.propose(encode_command(command), now)
        if isinstance(result, Err):
            return [self._reply(request_id, self._not_leader())]
        proposal = result.ok_value
        until = now + self._settings.call_timeout_seconds
        self._decisions.add(proposal.index, DecisionWaiter(request_id, reply, proposal.term, until))
        return self._perform(proposal.step, now)

    def _read_results(self, request_id: RequestId, call: ReadResults, now: float) -> list[Effect]:
        job = self._job_of(call.job_id, call.tenant)
        if job is None:
            return [self._reply(request_id, NotFound())]
        has_results = len(job.results) > call.position
        if has_results or call.wait_seconds <= 0.0 or not job.is_open:
            return [self._reply(request_id, results_page(job, call.position))]
        until = now + call.wait_seconds
        self._readers.append(ResultsWaiter(request_id, call.job_id, call.position, until))
        return []

    def _item_body(self, call: ReadItemBody) -> BatchReply:
        job = self._job_of(call.job_id, call.tenant)
        if job is None or job.is_ended or job.is_listed(call.item_id):
            return NotFound()
        item = job.find_item(call.item_id)
        return NotFound() if item is None else ItemBody(item.body)

    def _answer_readers(self, job_id: str) -> list[Effect]:
        job = self.jobs.jobs.get(job_id)
        if job is None or not self._readers:
            return []
        effects: list[Effect] = []
        waiting: list[ResultsWaiter] = []
        for reader in self._readers:
            is_news = len(job.results) > reader.position or not job.is_open
            if reader.job_id == job_id and is_news:
                effects.append(self._reply(reader.request_id, results_page(job, reader.position)))
            else:
                waiting.append(reader)
        self._readers = waiting
        return effects

    def _reply(self, request_id: RequestId, reply: BatchReply) -> Effect:
        return Respond(request_id, _OK, _BINARY, encode(reply))

    def _not_leader(self) -> BatchReply:
        leader = self.replica.leader if self.replica is not None else None
        if leader is None or leader == self._settings.node_id:
            return NotLeader()
        port = self._settings.http_address.rpartition(":")[2]
        return NotLeader(f"{leader}:{port}")

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
        effects.extend(self._give_up_decisions(now))
        effects.extend(self._give_up_readers(now))
        if self._may_act(now) and self.replica is not None:
            effects.extend(self._weights.tick(now))
            if self._is_running:
                effects.extend(self._runner.tick(now))
            effects.extend(self._look_after_jobs(now))
            effects.extend(self._carry_out_wishes(now))
        return effects

    def _work(self, now: float) -> list[Effect]:
        effects: list[Effect] = []
        for finished in self._forwarder.take_finished():
            effects.extend(self._runner.on_scored(finished, now))
        if self._may_act(now):
            effects.extend(self._runner.start_if_due(now))
        return effects

    def _give_up_decisions(self, now: float) -> list[Effect]:
        late = self._decisions.take_late(now)
        return [self._reply(waiter.request_id, Undecided()) for waiter in late]

    def _give_up_readers(self, now: float) -> list[Effect]:
        late = [reader for reader in self._readers if reader.until <= now]
        if not late:
            return []
        self._readers = [reader for reader in self._readers if reader.until > now]
        effects: list[Effect] = []
        for reader in late:
            job = self.jobs.jobs.get(reader.job_id)
            if not self._may_act(now):
                effects.append(self._reply(reader.request_id, self._not_leader()))
            elif job is None:
                effects.append(self._reply(reader.request_id, NotFound()))
            else:
                effects.append(self._reply(reader.request_id, results_page(job, reader.position)))
        return effects

    def _look_after_jobs(self, now: float) -> list[Effect]:
        """Give up items whose time is over; forget jobs that nobody may ask for any more."""
        assert self.replica is not None
        group_time = self.replica.group_time(now)
        effects: list[Effect] = []
        for job_id, job in list(self.jobs.jobs.items()):
            age = group_time - job.accepted_at
            route = self.follower.routes.find(job.job.host, job.job.path)
            if job.is_open and route is not None and age > route.maximum_queue_seconds:
                effects.extend(self._runner.give_up_job(job_id, now))
            retention = self._settings.result_retention_seconds + FORGET_SECONDS
            if job.is_ended and age > retention:
                proposed = self._propose(ForgetJob(job_id), now)
                effects.extend(proposed[2] if proposed is not None else [])
        return effects

    def _carry_out_wishes(self, now: float) -> list[Effect]:
        """Take keepers out of the group that operators want emptied."""
        assert self.replica is not None
        effects: list[Effect] = []
        for node_id in self.follower.retiring:
            if node_id in self._wished_out:
                continue
            result = self.replica.request_replacement(None, NodeId(node_id), now)
            if not isinstance(result, Err):
                self._wished_out.add(node_id)
                effects.append(LogEvent("keeper.retires", {"keeper": node_id}))
                effects.extend(self._perform(result.ok_value.step, now))
        return effects

    # Reports

    def _report(self, now: float) -> DaemonReport:
        settings = self._settings
        leads = self._may_act(now)
        replica = self.replica
        members: tuple[str, ...] = ()
        if leads and replica is not None:
            members = tuple(str(m.identity.node_id) for m in replica.membership.members())
        return DaemonReport(
            node_id=settings.node_id,
            name=settings.name,
            role=KEEPER_ROLE,
            zone=settings.zone,
            address=settings.internal_address,
            http_address=settings.http_address,
            may_found=self._may_found,
            is_leader=leads,
            term=replica.term if replica is not None else 0,
            members=members,
            wall_seconds=self.follower.wall_seconds(now),
        )

    def _stop(self, now: float) -> list[Effect]:
        if self._stopping:
            return []
        effects: list[Effect] = [LogEvent("keeper.stopping")]
        if self.replica is None:
            return [*effects, StopProcess()]
        if self._is_running:
            effects.extend(self._lost_leadership(now))
        self._stopping = True
        effects.extend(self._perform(self.replica.hand_over(now), now))
        return effects
