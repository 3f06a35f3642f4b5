"""Handles the calls of gateways to a batch keeper (`batch_calls.calls`).

Every keeper handles calls; a follower serves only reads of committed results and redirects other
calls to the leader. A call waits until its command is committed or a result is available. Each call
gets exactly one reply: the outcome, or a timeout or redirect if its deadline passes or this keeper
loses the leadership first.
"""

from http import HTTPStatus

from merlinstand.batch_calls.calls import (
    CALL_PATH,
    BatchCall,
    BatchReply,
    CommitTimeout,
    EndJob,
    Invalid,
    ItemBody,
    JobAccepted,
    JobEnded,
    NoRoom,
    NotFound,
    NotLeader,
    OutsideAllowedRegions,
    ReadItemBody,
    ReadResults,
    SubmitJob,
    decode_call,
    encode,
)
from merlinstand.batch_jobs.engines import EngineStates, fastest_event_seconds
from merlinstand.batch_jobs.item_regions import find_region_violation
from merlinstand.batch_jobs.job_room import JobRoom
from merlinstand.batch_jobs.keeper_replica import KeeperReplica
from merlinstand.batch_jobs.reads import ResultsWaiter, make_results_page
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

_MSGPACK_HEADERS = {"content-type": "application/msgpack"}


class GatewayCalls:
    """Handles calls of gateways and keeps track of those that wait for a reply."""

    def __init__(
        self,
        settings: KeeperSettings,
        jobs: JobStates,
        replica: KeeperReplica,
        follower: DirectoryFollower,
        engines: EngineStates,
        zone_map: ZoneMap,
    ) -> None:
        """Start without calls.

        Args:
            settings: Settings of the keeper.
            jobs: The replicated jobs.
            replica: Proposes commands and knows the leader.
            follower: The directory, for all keepers.
            engines: All engines, for the log line of a submitted job.
            zone_map: Maps zones to regions.
        """
        self._settings = settings
        self._jobs = jobs
        self._replica = replica
        self._follower = follower
        self._engines = engines
        self._zone_map = zone_map
        self._room = JobRoom(settings.maximum_job_bytes)
        self._commit_waiters: PendingProposals[BatchReply] = PendingProposals()
        self._waiting_readers: list[ResultsWaiter] = []

    def on_request(self, event: RequestReceived, is_leading: bool, now: float) -> list[Effect]:
        """Handle an incoming call.

        Args:
            event: The request with the encoded call.
            is_leading: Whether this keeper may act as leader and has applied all entries committed
                by earlier leaders.
            now: Local time in seconds.
        """
        if event.path != CALL_PATH:
            return [Respond(event.request_id, HTTPStatus.NOT_FOUND.value, {}, b"")]
        try:
            call = decode_call(event.body)
        except DECODE_ERRORS as error:
            return [_reply(event.request_id, Invalid(str(error)))]
        if not is_leading:
            return [_reply(event.request_id, self._follower_reply(call))]
        return self._handle_as_leader(event.request_id, call, now)

    def on_aborted(self, request_id: RequestId) -> None:
        """Remove the waiting read of a gateway that closed the request."""
        self._waiting_readers = [r for r in self._waiting_readers if r.request_id != request_id]

    def on_committed(self, entry: CommittedEntry) -> list[Effect]:
        """Reply to the call that proposed a log entry, after the entry was applied."""
        waiter = self._commit_waiters.take(entry.index)
        if waiter is None:
            return []
        reply = waiter.reply if waiter.term == entry.term else self._not_leader()
        return [_reply(waiter.request_id, reply)]

    def on_leadership_lost(self) -> list[Effect]:
        """Redirect waiting reads, since another keeper may lead now."""
        replies = [
            _reply(reader.request_id, self._not_leader()) for reader in self._waiting_readers
        ]
        self._waiting_readers.clear()
        return replies

    def on_job_changed(self, job_id: str) -> list[Effect]:
        """Reply to the waiting reads of a job that has new results or was ended."""
        job = self._jobs.jobs.get(job_id)
        if job is None or not self._waiting_readers:
            return []
        effects: list[Effect] = []
        waiting: list[ResultsWaiter] = []
        for reader in self._waiting_readers:
            is_answerable = len(job.results) > reader.position or not job.is_open
            if reader.job_id == job_id and is_answerable:
                effects.append(_reply(reader.request_id, make_results_page(job, reader.position)))
            else:
                waiting.append(reader)
        self._waiting_readers = waiting
        return effects

    def tick(self, now: float) -> list[Effect]:
        """Reply to the calls whose deadline has passed."""
        expired = self._commit_waiters.take_expired(now)
        timeouts = [_reply(waiter.request_id, CommitTimeout()) for waiter in expired]
        return timeouts + self._answer_expired_readers(now)

    def _answer_expired_readers(self, now: float) -> list[Effect]:
        expired = [reader for reader in self._waiting_readers if reader.deadline_at <= now]
        if not expired:
            return []
        self._waiting_readers = [
            reader for reader in self._waiting_readers if reader.deadline_at > now
        ]
        effects: list[Effect] = []
        for reader in expired:
            job = self._jobs.jobs.get(reader.job_id)
            if not self._replica.may_act(now):
                effects.append(_reply(reader.request_id, self._not_leader()))
            elif job is None:
                effects.append(_reply(reader.request_id, NotFound()))
            else:
                effects.append(_reply(reader.request_id, make_results_page(job, reader.position)))
        return effects

    # Replies

    def _not_leader(self) -> BatchReply:
        return NotLeader(self._replica.other_leader_address)

    def _follower_reply(self, call: BatchCall) -> BatchReply:
        """Return the reply of a follower.

        Committed results are the same at every replica. If a result is missing here, it may still
        be committed, so the call is redirected to the leader.
        """
        if not isinstance(call, ReadResults):
            return self._not_leader()
        job = self._find_job(call.job_id, call.tenant)
        if job is None or len(job.results) <= call.position:
            return self._not_leader()
        return make_results_page(job, call.position)

    def _handle_as_leader(self, request_id: RequestId, call: BatchCall, now: float) -> list[Effect]:
        match call:
            case SubmitJob():
                return self._submit(request_id, call, now)
            case ReadResults():
                return self._read_results(request_id, call, now)
            case ReadItemBody():
                return [_reply(request_id, self._item_body(call))]
            case EndJob():
                return self._end_job(request_id, call, now)

    def _find_job(self, job_id: str, tenant: str) -> JobState | None:
        """Return a job; None if it does not exist or belongs to another tenant."""
        job = self._jobs.jobs.get(job_id)
        return job if job is not None and job.job.is_visible_to(tenant) else None

    def _submit(self, request_id: RequestId, call: SubmitJob, now: float) -> list[Effect]:
        existing = self._jobs.jobs.get(call.job.job_id)
        if existing is not None:
            is_same_tenant = existing.job.tenant == call.job.tenant
            reply = JobAccepted() if is_same_tenant else Invalid("the job id is already in use")
            return [_reply(request_id, reply)]
        violation = find_region_violation(
            call.allowed_regions, self._follower, self._replica.members, self._zone_map
        )
        if violation:
            return [_reply(request_id, OutsideAllowedRegions(violation))]
        shortage = self._room.find_shortage(call.job, self._jobs.jobs, now)
        if shortage is not None:
            refused = {"job": call.job.job_id, "detail": shortage.detail}
            return [LogEvent("job.refused", refused), _reply(request_id, shortage)]
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
        return [log, *self._propose(AcceptJob(call.job), request_id, JobAccepted(), now)]

    def _end_job(self, request_id: RequestId, call: EndJob, now: float) -> list[Effect]:
        job_id = call.job_id
        job = self._find_job(job_id, call.tenant)
        if job is None:
            return [_reply(request_id, NotFound())]
        if job.is_ended:
            return [_reply(request_id, JobEnded())]
        fields = {"job": job_id, "listed": len(job.results), "items": len(job.job.items)}
        log = LogEvent("job.end", fields)
        return [log, *self._propose(CloseJob(job_id), request_id, JobEnded(), now)]

    def _propose(
        self, command: JobCommand, request_id: RequestId, reply: BatchReply, now: float
    ) -> list[Effect]:
        """Propose a command and reply once it is committed."""
        proposal = self._replica.append(command, now)
        if proposal is None:
            return [_reply(request_id, self._not_leader())]
        deadline_at = now + self._settings.call_timeout_seconds
        self._commit_waiters.add(
            proposal.index, PendingProposal(request_id, reply, proposal.term, deadline_at)
        )
        return self._replica.perform(proposal.step, now)

    def _read_results(self, request_id: RequestId, call: ReadResults, now: float) -> list[Effect]:
        job = self._find_job(call.job_id, call.tenant)
        if job is None:
            return [_reply(request_id, NotFound())]
        has_results = len(job.results) > call.position
        if has_results or call.wait_seconds <= 0.0 or not job.is_open:
            return [_reply(request_id, make_results_page(job, call.position))]
        deadline_at = now + call.wait_seconds
        self._waiting_readers.append(
            ResultsWaiter(request_id, call.job_id, call.position, deadline_at)
        )
        return []

    def _item_body(self, call: ReadItemBody) -> BatchReply:
        job = self._find_job(call.job_id, call.tenant)
        if job is None or job.is_ended or job.is_listed(call.item_id):
            return NotFound()
        item = job.find_item(call.item_id)
        return NotFound() if item is None else ItemBody(item.body)


def _reply(request_id: RequestId, reply: BatchReply) -> Effect:
    status = HTTPStatus.SERVICE_UNAVAILABLE if isinstance(reply, NoRoom) else HTTPStatus.OK
    return Respond(request_id, status.value, _MSGPACK_HEADERS, encode(reply))
