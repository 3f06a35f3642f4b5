"""The gateway's reducer: callers' requests by the directory's routes, and batch calls."""

from collections.abc import Sequence

from result import Err

from merlinstand.batch_calls.calls import BatchCall, SubmitJob
from merlinstand.batch_calls.job_regions import regions_to_keep_in
from merlinstand.cluster.backend_headers import backend_headers
from merlinstand.cluster.daemons import DaemonReport
from merlinstand.cluster.places import Places
from merlinstand.cluster.regions import common_regions
from merlinstand.cluster.requests import Answered, Finished, ForwardRequest, NotRun, OutcomeUnknown
from merlinstand.cluster.routes import Route, RouteKind
from merlinstand.cluster.tenants import AUTHORIZATION_HEADER, Tenant
from merlinstand.common.errors import (
    MerlinstandError,
    NotFoundError,
    UnauthorizedError,
    UnavailableError,
    error_body,
)
from merlinstand.common.ids import RequestId
from merlinstand.common.whole_number import read_whole_number
from merlinstand.decisions.distance import Standpoint
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.decisions.service_split import WeightedChoice
from merlinstand.directory.follower import PULL_TIMER, DirectoryFollower
from merlinstand.forwarding.batch_relay import CALL_PREFIX as BATCH_PREFIX
from merlinstand.forwarding.batch_relay import TIMER_PREFIX as BATCH_TIMER_PREFIX
from merlinstand.forwarding.batch_relay import BatchRelay
from merlinstand.forwarding.forwarder import CALL_PREFIX as FORWARD_PREFIX
from merlinstand.forwarding.forwarder import TIMER_PREFIX as FORWARD_TIMER_PREFIX
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.forwarding.interface import GatewayInterface
from merlinstand.forwarding.routes_wait import TIMER_PREFIX as ROUTES_TIMER_PREFIX
from merlinstand.forwarding.routes_wait import RoutesWait
from merlinstand.forwarding.settings import ForwardingSettings
from merlinstand.forwarding.stream_forwarder import CALL_PREFIX as STREAM_PREFIX
from merlinstand.forwarding.stream_forwarder import TIMER_PREFIX as STREAM_TIMER_PREFIX
from merlinstand.forwarding.stream_forwarder import StreamForwarder
from merlinstand.kernel.effects import (
    CancelTimer,
    Effect,
    LogEvent,
    Respond,
    RespondEnd,
    SetTimer,
    StopProcess,
)
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
from merlinstand.metering.usage import UsageCounter
from merlinstand.protocol.generated.directory.ttypes import DirectoryUpdate
from merlinstand.quarantine.crash_watch import CALL_PREFIX as PROBE_PREFIX
from merlinstand.quarantine.crash_watch import CrashWatch

GATEWAY_ROLE = "gateway"
STOP_TIMER = "gateway.stop"
STOP_POLL_SECONDS = 0.1
UNREADY_RETRY_SECONDS = 0.3
"""Told to callers when the routes did not come in time."""
NO_ROUTES_REASON = "no routes yet"
EVACUATED_REASON = "zone evacuated"
EVACUATED_RETRY_SECONDS = 1.0
"""Told to callers whose service has servers in evacuated zones only: operators take minutes, and a
caller that comes back sooner is refused again."""
ANSWER_MARGIN_SECONDS = 0.01
"""A caller's deadline ends this long before it for the gateway."""
_BAD_GATEWAY = 502
_UNAVAILABLE = 503
_GATEWAY_TIMEOUT = 504


class ForwardingGateway:
    """Reducer of the `gateway` role where the directory is used."""

    def __init__(self, settings: ForwardingSettings, interface: GatewayInterface) -> None:
        """Make a gateway that has not started.

        Args:
            settings: Checked settings.
            interface: Translates batch calls and health checks.
        """
        self._settings = settings
        self._interface = interface
        self._names = settings.header_names
        self._usage = UsageCounter(settings.usage_window_seconds)
        self.follower = DirectoryFollower(settings.seeds, self._report, self._usage.next_report)
        places = Places(settings.zones)
        standpoint = Standpoint(settings.zone, places)
        follower = self.follower
        chooser = BackendChooser(
            standpoint, follower.is_out_of_touch, follower.cold, follower.suspects.has_crashed
        )
        self._watch = CrashWatch(
            follower.suspects, self._names, follower.health_path_of, follower.cold
        )
        self._forwarder = Forwarder(self._names, follower.snapshot_of, places, chooser, self._watch)
        self._streams = StreamForwarder(
            self._names, chooser, follower.snapshot_of, places, self._watch
        )
        self._relay = BatchRelay(settings, self.follower)
        self._split = WeightedChoice()
        self._routes_wait = RoutesWait()
        self._stop_asked_at: float | None = None

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Ask for the directory."""
        self._split.seed(event.seed)
        self._forwarder.chooser.seed(event.seed)
        run_name = f"{self._settings.node_id}/{event.incarnation}"
        self._usage.begin(run_name)
        self.follower.suspects.begin(run_name)
        return self.follower.start(now)

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Handle one event."""
        effects = self._dispatch(event, now)
        for finished in self._forwarder.take_finished():
            effects.extend(self._finish(finished))
        for refused in self._streams.take_refused():
            request_id = RequestId(refused.request.key)
            outcome = refused.outcome
            self._usage.note_ended(refused.request.key, not isinstance(outcome, NotRun))
            if isinstance(outcome, NotRun):
                effects.append(_not_run(request_id, outcome.reason, outcome.retry_after_seconds))
            else:
                effects.append(_unknown(request_id, outcome))
        for relayed in self._relay.take_finished():
            reply = self._interface.write_batch_reply(relayed.reply)
            effects.append(Respond(relayed.request_id, reply.status, reply.headers, reply.body))
        effects.extend(self.follower.pull_if_due(now))
        return effects

    def _dispatch(self, event: Event, now: float) -> list[Effect]:
        match event:
            case RequestReceived():
                return self._request(event, now)
            case CallHeaders() | CallChunk() | CallEnded():
                return self._note_ended_streams(self._streams.on_call(event, now))
            case CallResponded() | CallFailed():
                if event.call_id.startswith(STREAM_PREFIX) and isinstance(event, CallFailed):
                    return self._note_ended_streams(self._streams.on_call(event, now))
                if event.call_id.startswith(FORWARD_PREFIX):
                    return self._forwarder.on_call(event, now)
                if event.call_id.startswith(BATCH_PREFIX):
                    return self._relay.on_call(event, now)
                if event.call_id.startswith(PROBE_PREFIX):
                    found = self._watch.on_call(event, now)
                    return found + self._forwarder.on_verdicts(now)
                return []
            case RequestAborted():
                return self._aborted(event.request_id, now)
            case TimerFired():
                return self._timer(event.name, now)
            case MessageReceived(message=DirectoryUpdate()):
                held = self.follower.backends_revision
                held_suspects = self.follower.suspects.revision
                effects = self.follower.take(event.sender, event.message, now)
                if self.follower.backends_revision != held:
                    present = self.follower.backends
                    self._forwarder.chooser.forget_all_but(b.backend_id for b in present)
                    effects.extend(self._watch.follow(present, now))
                if self.follower.suspects.revision != held_suspects:
                    effects.extend(self._forwarder.on_suspects(now))
                    effects.extend(self._streams.on_suspects(now))
                if event.message.cold_grants is not None:
                    effects.extend(self._forwarder.resume(now))
                    effects.extend(self._note_ended_streams(self._streams.resume(now)))
                return effects + self._end_routes_wait(now)
            case StopRequested():
                return self._stop(now)
            case WallClockRead():
                self.follower.take_clock(event, now)
                return []
            case _:
                return []

    def _note_ended_streams(self, effects: list[Effect]) -> list[Effect]:
        """Streams that end now have run; those that never began are told apart."""
        for effect in effects:
            if isinstance(effect, RespondEnd):
                self._usage.note_ended(effect.request_id, has_run=True)
        return effects

    # Requests

    def _request(self, event: RequestReceived, now: float) -> list[Effect]:
        if self._interface.is_readiness_check(event):
            is_ready = self.follower.has_document and self._stop_asked_at is None
            return [Respond(event.request_id, 200 if is_ready else _UNAVAILABLE, {}, b"")]
        if self.follower.has_document:
            return self._route_request(event, now, now)
        held = self._routes_wait.begin(event, self._told_seconds(event), now)
        return held or self._refuse_unsent(event)

    def _told_seconds(self, event: RequestReceived) -> float | None:
        """How long a caller said that it will wait; None if it didn't."""
        told_ms = read_whole_number(event.headers.get(self._names.deadline_ms, ""))
        return None if told_ms is None else told_ms / 1000

    def _end_routes_wait(self, now: float) -> list[Effect]:
        """The first routes are known: go on with the requests that waited for them."""
        if not self.follower.has_document or not len(self._routes_wait):
            return []
        waiting, effects = self._routes_wait.take_all()
        for held in waiting:
            effects.extend(self._route_request(held.event, held.arrived_at, now))
        return effects

    def _route_request(self, event: RequestReceived, arrived_at: float, now: float) -> list[Effect]:
        path = event.path.partition("?")[0]
        route = self.follower.routes.find(event.headers.get("host", ""), path)
        tenant = self._tenant_of(event)
        barred = self._find_bar(route, tenant, now)
        if barred is not None and route is not None:
            return self._bar(event, barred)
        read = self._interface.read_batch_call(event, route, tenant.name if tenant else "")
        if isinstance(read, Err):
            return [_refuse(event.request_id, read.err_value)]
        if read.ok_value is not None:
            if barred is not None:
                return self._bar(event, barred)
            return self._begin_batch_call(event, read.ok_value, now)
        if route is None:
            fields = {
                "request": event.headers.get(self._names.request_id, ""),
                "host": event.headers.get("host", ""),
                "version": self.follower.routes.document.version,
            }
            log = LogEvent("request.no_route", fields)
            return [log, _refuse(event.request_id, NotFoundError(detail="no such route"))]
        return self._forward(event, route, tenant, arrived_at, now)

    def _begin_batch_call(
        self, event: RequestReceived, call: BatchCall, now: float
    ) -> list[Effect]:
        if isinstance(call, SubmitJob):
            regions = regions_to_keep_in(call.job, self.follower.routes)
            if isinstance(regions, Err):
                return self._bar(event, regions.err_value)
            call = SubmitJob(call.job, tuple(sorted(regions.ok_value)))
        return self._relay.begin(event.request_id, call, now)

    def _tenant_of(self, event: RequestReceived) -> Tenant | None:
        tenants = self.follower.routes.tenants
        return tenants.find(event.headers.get(AUTHORIZATION_HEADER, "")) if tenants else None

    def _find_bar(
        self, route: Route | None, tenant: Tenant | None, now: float
    ) -> MerlinstandError | None:
        """Tell why a caller may not use a route, or batch calls; None if it may."""
        if not self.follower.routes.tenants or (route is not None and route.is_public):
            return None
        silent_for = self.follower.silence_seconds(now)
        if self._settings.strict_revocation and silent_for > self._settings.revocation_seconds:
            detail = "keys may have been taken away"
            return UnavailableError(detail=detail, retry_after_seconds=UNREADY_RETRY_SECONDS)
        return UnauthorizedError(detail="no known key") if tenant is None else None

    def _bar(self, event: RequestReceived, error: MerlinstandError) -> list[Effect]:
        """Refuse a caller whom the document bars; its key is never told, not even to the log."""
        fields = {
            "request": event.headers.get(self._names.request_id, ""),
            "reason": type(error).code,
            "version": self.follower.routes.document.version,
        }
        return [LogEvent("request.barred", fields), _refuse(event.request_id, error)]

    def _forward(
        self,
        event: RequestReceived,
        route: Route,
        tenant: Tenant | None,
        arrived_at: float,
        now: float,
    ) -> list[Effect]:
        regions = common_regions(
            route.allowed_regions, tenant.allowed_regions if tenant is not None else ()
        )
        if isinstance(regions, Err):
            return self._bar(event, regions.err_value)
        service = self._split.choose(route)
        if self.follower.is_evacuated(service):
            # Held, it could only wait for the operators.
            return self._refuse_unsent(event, EVACUATED_REASON, EVACUATED_RETRY_SECONDS)
        limit = route.timeout_seconds
        told_seconds = self._told_seconds(event)
        if told_seconds is not None:
            limit = min(limit, told_seconds - ANSWER_MARGIN_SECONDS)
        request = ForwardRequest(
            key=event.request_id,
            route=route,
            service=service,
            method=event.method,
            path=event.path,
            headers=backend_headers(
                event.headers,
                route,
                tenant.name if tenant is not None else "",
                self.follower.routes.tenants,
                self._names,
            ),
            body=event.body,
            request_id=event.headers.get(self._names.request_id, ""),
            deadline_at=arrived_at + limit,
            allowed_regions=regions.ok_value,
            caller=event.peer,
        )
        if tenant is not None:
            true_seconds = self.follower.true_seconds(now)
            self._usage.note_begun(request.key, tenant.name, true_seconds, now)
        if route.kind is RouteKind.STREAM:
            return self._streams.begin(request, now)
        return self._forwarder.begin(request, now)

    def _aborted(self, request_id: RequestId, now: float) -> list[Effect]:
        if self._routes_wait.end(request_id) is not None:
            return [CancelTimer(f"{ROUTES_TIMER_PREFIX}{request_id}")]
        self._usage.note_aborted(request_id, now)
        return [
            *self._forwarder.abort(request_id, now),
            *self._streams.abort(request_id, now),
            *self._relay.abort(request_id),
        ]

    def _finish(self, finished: Finished) -> list[Effect]:
        request_id = RequestId(finished.request.key)
        outcome = finished.outcome
        self._usage.note_ended(finished.request.key, not isinstance(outcome, NotRun))
        if isinstance(outcome, Answered):
            return [Respond(request_id, outcome.status, outcome.headers, outcome.body)]
        fields = {
            "request": finished.request.request_id,
            "route": finished.request.route.name,
            "outcome": type(outcome).__name__,
            "reason": outcome.reason,
            "attempts": finished.attempts,
        }
        log = LogEvent("request.failed", fields)
        if isinstance(outcome, NotRun):
            return [log, _not_run(request_id, outcome.reason, outcome.retry_after_seconds)]
        return [log, _unknown(request_id, outcome)]

    # Time

    def _timer(self, name: str, now: float) -> list[Effect]:
        if name == PULL_TIMER:
            return self.follower.pull(now)
        if name.startswith(FORWARD_TIMER_PREFIX):
            return self._forwarder.on_timer(name, now)
        if name.startswith(STREAM_TIMER_PREFIX):
            return self._note_ended_streams(self._streams.on_timer(name, now))
        if name.startswith(BATCH_TIMER_PREFIX):
            return self._relay.on_timer(name, now)
        if name.startswith(ROUTES_TIMER_PREFIX):
            return self._give_up_routes(RequestId(name.removeprefix(ROUTES_TIMER_PREFIX)))
        if name == STOP_TIMER:
            return self._continue_stop(now)
        return []

    def _give_up_routes(self, request_id: RequestId) -> list[Effect]:
        held = self._routes_wait.end(request_id)
        return [] if held is None else self._refuse_unsent(held.event)

    def _refuse_unsent(
        self,
        event: RequestReceived,
        reason: str = NO_ROUTES_REASON,
        retry_after_seconds: float = UNREADY_RETRY_SECONDS,
    ) -> list[Effect]:
        fields = {
            "request": event.headers.get(self._names.request_id, ""),
            "outcome": NotRun.__name__,
            "reason": reason,
            "attempts": 0,
        }
        answer = _not_run(event.request_id, reason, retry_after_seconds)
        return [LogEvent("request.failed", fields), answer]

    def _stop(self, now: float) -> list[Effect]:
        if self._stop_asked_at is not None:
            return []
        self._stop_asked_at = now
        return [LogEvent("gateway.stopping"), SetTimer(STOP_TIMER, STOP_POLL_SECONDS)]

    def _continue_stop(self, now: float) -> list[Effect]:
        """End once balancers have noticed and nothing is in flight."""
        asked_at = self._stop_asked_at if self._stop_asked_at is not None else now
        elapsed = now - asked_at
        parts = (self._forwarder, self._streams, self._relay, self._routes_wait)
        is_idle = not any(len(part) for part in parts)
        is_drained = elapsed >= self._settings.drain_seconds and is_idle
        if is_drained or elapsed >= self._settings.stop_limit_seconds:
            # The last pull tells what was counted since the one before.
            return [LogEvent("gateway.stopped"), *self.follower.pull(now), StopProcess()]
        return [SetTimer(STOP_TIMER, STOP_POLL_SECONDS)]

    def _report(self, now: float) -> DaemonReport:
        settings = self._settings
        return DaemonReport(
            node_id=settings.node_id,
            name=settings.name,
            role=GATEWAY_ROLE,
            zone=settings.zone,
            address=settings.internal_address,
            wall_seconds=self.follower.wall_seconds(now),
        )


def _refuse(request_id: RequestId, error: MerlinstandError) -> Effect:
    headers = {"content-type": "application/json"}
    if error.retry_after_seconds is not None:
        headers["retry-after"] = f"{error.retry_after_seconds:g}"
    return Respond(request_id, type(error).http_status, headers, error_body(error))


def _not_run(request_id: RequestId, reason: str, retry_after_seconds: float) -> Effect:
    headers = {"retry-after": f"{retry_after_seconds:g}"}
    return Respond(request_id, _UNAVAILABLE, headers, reason.encode())


def _unknown(request_id: RequestId, outcome: OutcomeUnknown) -> Effect:
    status = _GATEWAY_TIMEOUT if outcome.is_late else _BAD_GATEWAY
    return Respond(request_id, status, {}, outcome.reason.encode())
