"""The coordinator process as a single reducer."""

from collections.abc import Sequence
from random import Random

import msgspec
from result import Err

from merlinstand.common.ids import RequestId
from merlinstand.coordinator.call_router import CallRouter
from merlinstand.coordinator.context import Context
from merlinstand.coordinator.errors import NotOwnerError, UnknownJobError
from merlinstand.coordinator.job_status import JobsResponse, describe
from merlinstand.coordinator.leadership import job_resource
from merlinstand.coordinator.refusals import no_leader_known, not_ready_to_lead
from merlinstand.coordinator.samples import BatchRequest
from merlinstand.coordinator.settings import CoordinatorSettings
from merlinstand.coordinator.trainer_requests import (
    BatchRequested,
    parse_request,
)
from merlinstand.coordinator.work_manager import WorkManager
from merlinstand.kernel.effects import Effect, SetTimer, StopProcess
from merlinstand.kernel.events import (
    CallChunk,
    CallEnded,
    CallFailed,
    CallHeaders,
    CallResponded,
    Event,
    ReadinessRequested,
    RecordsSynced,
    RequestAborted,
    RequestReceived,
    Started,
    StopRequested,
    TimerFired,
)
from merlinstand.session.control_session import ControlSession, SessionStep
from merlinstand.session.notices import (
    CommandFinished,
    ConfigurationChanged,
    LeaseGained,
    LeaseLost,
    LeaseUnavailable,
    Notice,
    QueryFinished,
)
from merlinstand.session.settings import session_settings

TICK_TIMER = "coordinator.tick"
IDLE_TICK_SECONDS = 0.5
"""Interval of the scheduler while this coordinator leads nothing."""

RELEASE_TIMEOUT_SECONDS = 2.0
"""Maximum time that a planned stop waits for this coordinator's leases to be released."""


class NotOwnerBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a 421 response: another coordinator leads the job."""

    code: str
    detail: str
    owner: str
    retry_after_seconds: float | None = None


class CoordinatorDaemon:
    """Leases jobs and engine pools, generates samples and delivers batches to trainers.

    Hosts call `start` once and `reduce` for every event (`kernel.reducer.Reducer`).
    """

    def __init__(
        self, settings: CoordinatorSettings, session: ControlSession | None = None
    ) -> None:
        """Create a coordinator that has not started.

        Args:
            settings: Identity and settings of the process.
            session: Session with the control group; created from the settings if None.
        """
        self._settings = settings
        self._session = session or ControlSession(
            session_settings(settings, "coordinator", owns_journal=False)
        )
        self._context = Context(settings, self._session)
        self._work = WorkManager(self._context, Random(0))
        self._call_router = CallRouter(self._context, self._work)
        self._stopping_since: float | None = None
        self._released_at: float | None = None

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Recover the journal and start the session with the control group."""
        self._context.now = now
        self._work = WorkManager(self._context, Random(event.seed))
        self._call_router = CallRouter(self._context, self._work)
        recovered = self._work.journal.recover(event.snapshot, event.records)
        self._context.add(*self._session.start(event, now).effects)
        self._context.log("coordinator.started", recovered_samples=len(recovered))
        self._context.add(SetTimer(TICK_TIMER, self._settings.tick_seconds))
        return self._context.take_effects()

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Handle one event."""
        self._context.now = now
        # A process that was suspended may resume after its leases have expired: check the leases
        # against the time of this event before acting on any resource.
        self._work.check_leases()
        if self._session.handles(event):
            self._apply_session_step(self._session.reduce(event, now))
        else:
            self._handle(event)
        return self._context.take_effects()

    def _handle(self, event: Event) -> None:
        match event:
            case TimerFired(name=name) if name == TICK_TIMER:
                self._tick()
            case RequestReceived():
                self._handle_request(event)
            case ReadinessRequested():
                self._answer_readiness(event.request_id)
            case RequestAborted():
                self._work.request_aborted(event.request_id)
            case RecordsSynced():
                self._work.records_synced(event.token)
            case CallHeaders() | CallChunk() | CallEnded() | CallFailed() | CallResponded():
                self._call_router.route(event)
            case StopRequested():
                self._begin_stop()
            case _:
                pass

    def _tick(self) -> None:
        busy = self._work.has_work or self._stopping_since is not None
        seconds = self._settings.tick_seconds if busy else IDLE_TICK_SECONDS
        self._context.add(SetTimer(TICK_TIMER, seconds))
        if self._released_at is None:
            self._work.tick()
        if self._stopping_since is not None:
            self._continue_stop(self._stopping_since)

    # --- control group --------------------------------------------------------------

    def _apply_session_step(self, step: SessionStep) -> None:
        self._context.add(*step.effects)
        for notice in step.notices:
            self._handle_notice(notice)

    def _handle_notice(self, notice: Notice) -> None:
        match notice:
            case ConfigurationChanged():
                self._work.configuration_changed()
            case LeaseGained():
                self._work.lease_gained(notice.resource, notice.epoch)
                self._context.add(SetTimer(TICK_TIMER, self._settings.tick_seconds))
            case LeaseLost():
                self._work.lease_lost(notice.resource, notice.reason)
            case LeaseUnavailable():
                self._work.leadership.holders[notice.resource] = notice.holder
            case CommandFinished():
                self._work.command_finished(notice)
            case QueryFinished():
                self._work.query_finished(notice)
            case _:
                pass

    # --- HTTP -----------------------------------------------------------------------

    def _handle_request(self, event: RequestReceived) -> None:
        parsed = parse_request(event)
        if isinstance(parsed, Err):
            self._context.refuse(event.request_id, parsed.err_value)
            return
        request = parsed.ok_value
        if isinstance(request, BatchRequested):
            self._handle_batch_request(event, request.job, request.request)
        else:
            body = JobsResponse(
                tuple(
                    describe(self._context, runner, pool) for runner, pool in self._work.led_jobs()
                )
            )
            self._context.respond(event.request_id, 200, msgspec.json.encode(body))

    def _answer_readiness(self, request_id: RequestId) -> None:
        if self._is_ready():
            self._context.respond(request_id, 200, b'{"ready":true}')
        else:
            self._context.refuse(request_id, not_ready_to_lead())

    def _is_ready(self) -> bool:
        stopping = self._stopping_since is not None
        return not stopping and self._session.may_take_new_work(self._context.now)

    def _handle_batch_request(
        self, event: RequestReceived, job: str, request: BatchRequest
    ) -> None:
        runner = self._work.runner(job)
        if runner is not None:
            self._work.refresh_if_behind(runner.job.model, request.trainer_version)
            runner.handle_batch_request(event.request_id, request)
            return
        if self._context.view.revision > 0 and job not in self._context.view.jobs:
            self._context.refuse(event.request_id, UnknownJobError(detail=f"no job {job!r}"))
            return
        self._refuse_not_owner(event, job)

    def _refuse_not_owner(self, event: RequestReceived, job: str) -> None:
        holder = self._work.leadership.holders.get(job_resource(job), "")
        owner = self._context.view.daemons.get(holder)
        if owner is None or holder == self._settings.node_id:
            self._context.refuse(event.request_id, no_leader_known(job))
            return
        body = NotOwnerBody(
            code=NotOwnerError.code, detail=f"{holder} leads {job}", owner=owner.http_address
        )
        status = NotOwnerError.http_status
        self._context.respond(event.request_id, status, msgspec.json.encode(body))

    # --- planned stop ---------------------------------------------------------------

    def _begin_stop(self) -> None:
        if self._stopping_since is None:
            self._stopping_since = self._context.now
            self._work.stop_accepting()
            self._context.add(SetTimer(TICK_TIMER, self._settings.tick_seconds))
            self._context.log("coordinator.stopping")

    def _continue_stop(self, since: float) -> None:
        now = self._context.now
        if self._released_at is None:
            if self._work.is_idle() or now - since >= self._settings.drain_seconds:
                self._work.stop_all("stopping")
                self._context.add(*self._session.stop(now))
                self._released_at = now
        elif self._session.is_idle or now - self._released_at >= RELEASE_TIMEOUT_SECONDS:
            self._context.log("coordinator.stopped")
            self._context.add(StopProcess())
