"""The gateway's reducer: callers' requests by the directory's routes, and batch calls.

Owns nothing but the parts it hands events to: `request_intake` (what becomes of a request),
`forwarder` and `stream_forwarder` (requests on their way), `batch_relay` (calls for the leading
keeper), `routes_wait`, the directory's follower, the counters of use, whether it is full. Nothing
is durable: a gateway that is killed loses the requests on their way, and their callers see it.
"""

from collections.abc import Sequence

import msgspec

from merlinstand.cluster.daemons import DaemonReport
from merlinstand.cluster.places import ZoneMap
from merlinstand.cluster.requests import Answered, FinishedRequest, NotRun, OutcomeUnknown
from merlinstand.cluster.routes import RequestLimits, RouteKind
from merlinstand.common.ids import NodeId, RequestId
from merlinstand.decisions.distance import ProcessLocation
from merlinstand.decisions.readiness import Readiness
from merlinstand.decisions.rejection import UNAVAILABLE, Reason
from merlinstand.decisions.server_choice import BackendChooser
from merlinstand.directory.follower import PULL_TIMER, DirectoryFollower
from merlinstand.forwarding.batch_relay import CALL_PREFIX as BATCH_PREFIX
from merlinstand.forwarding.batch_relay import TIMER_PREFIX as BATCH_TIMER_PREFIX
from merlinstand.forwarding.batch_relay import BatchRelay
from merlinstand.forwarding.forwarder import CALL_PREFIX as FORWARD_PREFIX
from merlinstand.forwarding.forwarder import TIMER_PREFIX as FORWARD_TIMER_PREFIX
from merlinstand.forwarding.forwarder import Forwarder
from merlinstand.forwarding.interface import GatewayInterface
from merlinstand.forwarding.request_intake import (
    BatchCallTaken,
    Refused,
    RequestIntake,
    RequestTaken,
)
from merlinstand.forwarding.responses import outcome_response
from merlinstand.forwarding.routes_wait import TIMER_PREFIX as ROUTES_TIMER_PREFIX
from merlinstand.forwarding.routes_wait import RoutesWait
from merlinstand.forwarding.send_control import SendControl
from merlinstand.forwarding.settings import ForwardingSettings
from merlinstand.forwarding.stream_forwarder import CALL_PREFIX as STREAM_PREFIX
from merlinstand.forwarding.stream_forwarder import TIMER_PREFIX as STREAM_TIMER_PREFIX
from merlinstand.forwarding.stream_forwarder import StreamForwarder
from merlinstand.kernel.effects import (
    BoundRequests,
    CancelTimer,
    Effect,
    LogEvent,
    Respond,
    RespondEnd,
    SetGauge,
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
    HostLoad,
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
from merlinstand.quarantine.crash_watch import CrashDetector

GATEWAY_ROLE = "gateway"
STOP_TIMER = "gateway.stop"
STOP_POLL_SECONDS = 0.1
"""How often a gateway that stops looks whether it may end. Chosen, not measured."""


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
        self._make_forwarders()
        self._relay = BatchRelay(settings, self.follower)
        self._intake = RequestIntake(settings, interface, self.follower)
        self._routes_wait = RoutesWait()
        self._readiness = Readiness()
        self._load = HostLoad(0.0, 0.0)
        self._stop_asked_at: float | None = None
        self._limits_in_force: RequestLimits | None = None

    def _make_forwarders(self) -> None:
        """Make what sends requests on: whole ones and streams share evidence and budgets."""
        follower = self.follower
        places = ZoneMap(self._settings.zones)
        standpoint = ProcessLocation(self._settings.zone, places)
        chooser = BackendChooser(
            standpoint, follower.is_out_of_touch, follower.cold, follower.suspects.has_crashed
        )
        self._watch = CrashDetector(
            follower.suspects, self._names, follower.health_path_of, follower.cold
        )
        self._control = SendControl(
            follower.load, self._interface.read_server_load, follower.maximum_connections_of
        )
        self._forwarder = Forwarder(
            self._names, follower.snapshot_of, places, chooser, self._watch, self._control
        )
        self._streams = StreamForwarder(
            self._names, chooser, follower.snapshot_of, places, self._watch, self._control
        )

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Ask for the directory."""
        self._intake.seed(event.seed)
        self._forwarder.chooser.seed(event.seed)
        self._control.seed(event.seed)
        run_name = f"{self._settings.node_id}/{event.incarnation}"
        self._usage.begin(run_name)
        self.follower.suspects.begin(run_name)
        return self.follower.start(now)

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Handle one event."""
        effects = self._dispatch(event, now)
        for finished in self._forwarder.take_finished():
            effects.extend(self._finish(finished, now))
        for refused in self._streams.take_refused():
            request_id = RequestId(refused.request.key)
            self._usage.note_ended(refused.request.key, not isinstance(refused.outcome, NotRun))
            effects.append(outcome_response(request_id, refused.outcome))
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
                    streams = self._note_ended_streams(self._streams.on_probe_results(now))
                    return [*found, *self._forwarder.on_probe_results(now), *streams]
                return []
            case RequestAborted():
                return self._aborted(event.request_id, now)
            case TimerFired():
                return self._timer(event.name, now)
            case MessageReceived(message=DirectoryUpdate()):
                return self._take_update(event.sender, event.message, now)
            case StopRequested():
                return self._stop(now)
            case HostLoad():
                return self._take_load(event, now)
            case WallClockRead():
                self.follower.take_clock(event, now)
                return []
            case _:
                return []

    def _take_update(self, sender: NodeId, update: DirectoryUpdate, now: float) -> list[Effect]:
        """Follow the directory, and go on with the requests that waited for what it brought."""
        held_backends = self.follower.backends_revision
        held_suspects = self.follower.suspects.revision
        effects = self.follower.take(sender, update, now)
        if self.follower.backends_revision != held_backends:
            present = self.follower.backends
            self._forwarder.chooser.retain_only(b.backend_id for b in present)
            effects.extend(self._watch.update_backends(present, now))
        effects.extend(self._bound_requests())
        if self.follower.suspects.revision != held_suspects:
            effects.extend(self._forwarder.on_quarantine_change(now))
            effects.extend(self._streams.on_quarantine_change(now))
        if update.cold_grants is not None:
            effects.extend(self._forwarder.on_cold_grants(now))
            effects.extend(self._note_ended_streams(self._streams.on_cold_grants(now)))
        return effects + self._end_routes_wait(now)

    def _bound_requests(self) -> list[Effect]:
        """Put the limits of the newest routes document in force, if they have changed."""
        limits = self.follower.routes.document.limits
        if not self.follower.has_document or limits == self._limits_in_force:
            return []
        self._limits_in_force = limits
        order = BoundRequests(
            limits.maximum_head_bytes,
            limits.maximum_body_bytes,
            limits.head_timeout_seconds,
            limits.idle_timeout_seconds,
        )
        return [LogEvent("gateway.request_limits", msgspec.structs.asdict(limits)), order]

    def _note_ended_streams(self, effects: list[Effect]) -> list[Effect]:
        """Streams that end now have run; those that never began are reported apart."""
        for effect in effects:
            if isinstance(effect, RespondEnd):
                self._usage.note_ended(effect.request_id, has_run=True)
        return effects

    def _take_load(self, load: HostLoad, now: float) -> list[Effect]:
        self._load = load
        self._readiness.record_load(load.share)
        return self._update_readiness(now)

    def _update_readiness(self, now: float) -> list[Effect]:
        """Say that the gateway is full, or ready again, as its load and the leader have it."""
        load = self.follower.load
        load.set_full_share(self._readiness.reported_load)
        if not self._readiness.update(
            now, load.may_report_full(NodeId(self._settings.node_id), now)
        ):
            return []
        is_full = self._readiness.is_full
        fields = {
            "kept": round(self._load.buffered_share, 2),
            "connections": round(self._load.connection_share, 2),
        }
        name = "gateway.full" if is_full else "gateway.ready_again"
        return [LogEvent(name, fields), SetGauge("merlinstand_gateway_full", float(is_full))]

    def _is_ready(self) -> bool:
        """Whether the gateway wants new connections."""
        is_stopping = self._stop_asked_at is not None
        return self.follower.has_document and not is_stopping and not self._readiness.is_full

    # Requests

    def _request(self, event: RequestReceived, now: float) -> list[Effect]:
        if self._interface.is_readiness_check(event):
            effects = self._update_readiness(now)
            status = 200 if self._is_ready() else UNAVAILABLE
            return [*effects, Respond(event.request_id, status, {}, b"")]
        if self.follower.has_document:
            return self._route_request(event, now, now)
        held = self._routes_wait.begin(event, self._intake.patience_seconds(event), now)
        return held or self._intake.refuse_unsent(event, Reason.NO_ROUTES)

    def _end_routes_wait(self, now: float) -> list[Effect]:
        """The first routes are known: go on with the requests that waited for them."""
        if not self.follower.has_document or not len(self._routes_wait):
            return []
        waiting, effects = self._routes_wait.take_all()
        for held in waiting:
            effects.extend(self._route_request(held.event, held.arrived_at, now))
        return effects

    def _route_request(self, event: RequestReceived, arrived_at: float, now: float) -> list[Effect]:
        taken = self._intake.take(event, arrived_at, now)
        match taken:
            case Refused():
                return taken.effects
            case BatchCallTaken():
                return self._relay.begin(event.request_id, taken.call, now)
            case RequestTaken():
                return self._forward(taken, now)

    def _forward(self, taken: RequestTaken, now: float) -> list[Effect]:
        request = taken.request
        flow = taken.flow
        self.follower.load.record_arrival(flow.service, flow.rank, flow.tenant)
        if not self._control.admit(flow, request.route, taken.left_seconds, now):
            return self._refuse_overloaded(taken, now)
        if taken.tenant is not None:
            true_seconds = self.follower.true_seconds(now)
            self._usage.note_begun(request.key, taken.tenant.name, true_seconds, now)
        if request.route.kind is RouteKind.STREAM:
            return self._streams.begin(request, now)
        return self._forwarder.begin(request, now)

    def _refuse_overloaded(self, taken: RequestTaken, now: float) -> list[Effect]:
        """Refuse a request at once that a full service has no room for."""
        request = taken.request
        retry_after = self._control.overload_retry_after_seconds(request.route, taken.left_seconds)
        outcome = NotRun(Reason.OVERLOADED, retry_after)
        logged = self._log_end(FinishedRequest(request, outcome, attempts=0), outcome, now)
        return [*logged, outcome_response(RequestId(request.key), outcome)]

    def _aborted(self, request_id: RequestId, now: float) -> list[Effect]:
        if self._routes_wait.end(request_id) is not None:
            return [CancelTimer(f"{ROUTES_TIMER_PREFIX}{request_id}")]
        self._usage.note_aborted(request_id, now)
        return [
            *self._forwarder.abort(request_id, now),
            *self._streams.abort(request_id, now),
            *self._relay.abort(request_id),
        ]

    def _finish(self, finished: FinishedRequest, now: float) -> list[Effect]:
        request_id = RequestId(finished.request.key)
        outcome = finished.outcome
        self._usage.note_ended(finished.request.key, not isinstance(outcome, NotRun))
        if isinstance(outcome, Answered):
            return [Respond(request_id, outcome.status, outcome.headers, outcome.body)]
        logged = self._log_end(finished, outcome, now)
        return [*logged, outcome_response(request_id, outcome)]

    def _log_end(
        self, finished: FinishedRequest, outcome: NotRun | OutcomeUnknown, now: float
    ) -> list[Effect]:
        """Log a request that ended without a server's answer; of those overloaded, some."""
        fields: dict[str, object] = {
            "request": finished.request.request_id,
            "route": finished.request.route.name,
            "outcome": type(outcome).__name__,
            "reason": outcome.reason,
            "attempts": finished.attempts,
        }
        name = "request.failed"
        if isinstance(outcome, NotRun) and outcome.reason == Reason.OVERLOADED:
            return self._control.refusals.note(finished.request.service, name, fields, now)
        return [LogEvent(name, fields)]

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
        if held is None:
            return []
        return self._intake.refuse_unsent(held.event, Reason.NO_ROUTES)

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
            # The last pull reports what was counted since the one before.
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
