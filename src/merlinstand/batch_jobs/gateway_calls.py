"""Answers the calls that gateways make of a batch keeper.

Run by every keeper; one that doesn't lead answers only what is the same at every copy and names
the leader for the rest. Owns the calls that wait for a decision of the log or for a first result.
Each call is answered exactly once: by what it asked for, or when its time or the leadership is
over. Types of calls and replies: `batch_calls.calls`.
"""

from http import HTTPStatus

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
from merlinstand.batch_jobs.engines import EngineStates, fastest_event_seconds
from merlinstand.batch_jobs.item_regions import find_keeper_outside
from merlinstand.batch_jobs.keeper_replica import KeeperReplica
from merlinstand.batch_jobs.reads import ResultsWaiter, results_page
from merlinstand.batch_jobs.settings import KeeperSettings
from merlinstand.batch_jobs.state_machine import (
    AcceptJob,
    CloseJob,
    JobCommand,
    JobState,
    JobStates,
)
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.decoding import DECODE_ERRORS
from merlinstand.common.ids import RequestId
from merlinstand.consensus.pending_proposals import PendingProposal, PendingProposals
from merlinstand.consensus.step import CommittedEntry
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.kernel.effects import Effect, LogEvent, Respond
from merlinstand.kernel.events import RequestReceived

_BINARY = {"content-type": "application/msgpack"}


class GatewayCalls:
    """Calls of gateways that are being answered."""

    def __init__(
        self,
        settings: KeeperSettings,
        jobs: JobStates,
        replica: KeeperReplica,
        follower: DirectoryFollower,
        engines: EngineStates,
        places: ZoneMap,
    ) -> None:
        """Begin without calls.

        Args:
            settings: Of the keeper.
            jobs: The replicated jobs.
            replica: Takes proposals, and knows who leads.
            follower: The directory, for the keepers that there are.
            engines: All engines, for the log line of a job.
            places: Regions of the zones.
        """
        self._settings = settings
        self._jobs = jobs
        self._replica = replica
        self._follower = follower
        self._engines = engines
        self._places = places
        self._decisions: PendingProposals[BatchReply] = PendingProposals()
        self._readers: list[ResultsWaiter] = []

    def on_request(self, event: RequestReceived, leads: bool, now: float) -> list[Effect]:
        """A call came in.

        Args:
            event: With the encoded call.
            leads: Whether this keeper may act as leader and knows all that is committed.
            now: Local time.
        """
        if event.path != CALL_PATH:
            return [Respond(event.request_id, HTTPStatus.NOT_FOUND.value, {}, b"")]
        try:
            call = decode_call(event.body)
        except DECODE_ERRORS as error:
            return [_reply(event.request_id, Invalid(str(error)))]
        if not leads:
            return [_reply(event.request_id, self._copy_reply(call))]
        return self._leader_call(event.request_id, call, now)

    def on_aborted(self, request_id: RequestId) -> None:
        """A gateway waits for a call no more."""
        self._readers = [r for r in self._readers if r.request_id != request_id]

    def on_committed(self, entry: CommittedEntry) -> list[Effect]:
        """An entry of the log was applied: answer the call that proposed it."""
        waiter = self._decisions.take(entry.index)
        if waiter is None:
            return []
        reply = waiter.reply if waiter.term == entry.term else self._not_leader()
        return [_reply(waiter.request_id, reply)]

    def on_leadership_lost(self) -> list[Effect]:
        """Another keeper may lead now: readers have to ask it."""
        replies = [_reply(reader.request_id, self._not_leader()) for reader in self._readers]
        self._readers.clear()
        return replies

    def on_changed_job(self, job_id: str) -> list[Effect]:
        """Results were listed or a job ended: answer its readers."""
        job = self._jobs.jobs.get(job_id)
        if job is None or not self._readers:
            return []
        effects: list[Effect] = []
        waiting: list[ResultsWaiter] = []
        for reader in self._readers:
            is_answerable = len(job.results) > reader.position or not job.is_open
            if reader.job_id == job_id and is_answerable:
                effects.append(_reply(reader.request_id, results_page(job, reader.position)))
            else:
                waiting.append(reader)
        self._readers = waiting
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Answer the calls whose time is over."""
        late = self._decisions.take_expired(now)
        undecided = [_reply(waiter.request_id, Undecided()) for waiter in late]
        return undecided + self._give_up_readers(now)

    def _give_up_readers(self, now: float) -> list[Effect]:
        late = [reader for reader in self._readers if reader.until <= now]
        if not late:
            return []
        self._readers = [reader for reader in self._readers if reader.until > now]
        effects: list[Effect] = []
        for reader in late:
            job = self._jobs.jobs.get(reader.job_id)
            if not self._replica.may_act(now):
                effects.append(_reply(reader.request_id, self._not_leader()))
            elif job is None:
                effects.append(_reply(reader.request_id, NotFound()))
            else:
                effects.append(_reply(reader.request_id, results_page(job, reader.position)))
        return effects

    # Replies

    def _not_leader(self) -> BatchReply:
        return NotLeader(self._replica.other_leader)

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
                return [_reply(request_id, self._item_body(call))]
            case EndJob():
                return self._end_job(request_id, call, now)

    def _job_of(self, job_id: str, tenant: str) -> JobState | None:
        """Give a job, if there is one that this tenant may see."""
        job = self._jobs.jobs.get(job_id)
        return job if job is not None and job.job.belongs_to(tenant) else None

    def _submit(self, request_id: RequestId, call: SubmitJob, now: float) -> list[Effect]:
        held = self._jobs.jobs.get(call.job.job_id)
        if held is not None:
            is_same = held.job.tenant == call.job.tenant
            reply = JobAccepted() if is_same else Invalid("the job's id is taken")
            return [_reply(request_id, reply)]
        outside = find_keeper_outside(
            call.allowed_regions, self._follower, self._replica.members, self._places
        )
        if outside:
            return [_reply(request_id, KeptElsewhere(outside))]
        engines = self._engines.holding_model(call.job.model)
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
            return [_reply(request_id, NotFound())]
        if job.is_ended:
            return [_reply(request_id, JobEnded())]
        fields = {"job": job_id, "listed": len(job.results), "items": len(job.job.items)}
        log = LogEvent("job.end", fields)
        return [log, *self._decide(CloseJob(job_id), request_id, JobEnded(), now)]

    def _decide(
        self, command: JobCommand, request_id: RequestId, reply: BatchReply, now: float
    ) -> list[Effect]:
        """Propose a command and answer once it is decided."""
        proposal = self._replica.append(command, now)
        if proposal is None:
            return [_reply(request_id, self._not_leader())]
        until = now + self._settings.call_timeout_seconds
        self._decisions.add(
            proposal.index, PendingProposal(request_id, reply, proposal.term, until)
        )
        return self._replica.perform(proposal.step, now)

    def _read_results(self, request_id: RequestId, call: ReadResults, now: float) -> list[Effect]:
        job = self._job_of(call.job_id, call.tenant)
        if job is None:
            return [_reply(request_id, NotFound())]
        has_results = len(job.results) > call.position
        if has_results or call.wait_seconds <= 0.0 or not job.is_open:
            return [_reply(request_id, results_page(job, call.position))]
        until = now + call.wait_seconds
        self._readers.append(ResultsWaiter(request_id, call.job_id, call.position, until))
        return []

    def _item_body(self, call: ReadItemBody) -> BatchReply:
        job = self._job_of(call.job_id, call.tenant)
        if job is None or job.is_ended or job.is_listed(call.item_id):
            return NotFound()
        item = job.find_item(call.item_id)
        return NotFound() if item is None else ItemBody(item.body)


def _reply(request_id: RequestId, reply: BatchReply) -> Effect:
    return Respond(request_id, HTTPStatus.OK.value, _BINARY, encode(reply))
