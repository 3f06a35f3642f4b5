"""Reducer of the gateway: routes callers' requests by the directory, and relays batch calls.

It dispatches events to its components: `request_intake` (accept or reject), `forwarder` and
`stream_forwarder` (pending requests), `batch_relay`, `routes_wait`, the directory follower, usage
metering and readiness. Nothing is durable: if the gateway is killed, its pending requests fail and
the connections of their callers break.
"""

from collections.abc import Sequence

import msgspec

from merlinstand.cluster.daemons import DaemonReport
from merlinstand.cluster.requests import Answered, FinishedRequest, NotRun, OutcomeUnknown
from merlinstand.cluster.routes import RequestLimits, RouteKind
from merlinstand.cluster.zone_map import ZoneMap
from merlinstand.common.ids import NodeId, RequestId
from merlinstand.decisions.distance import ProcessLocation
from merlinstand.decisions.draining import Drain, begin_drain
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
    AcceptedBatchCall,
    AcceptedRequest,
    RejectedRequest,
    RequestIntake,
)
from merlinstand.forwarding.responses import outcome_response
from merlinstand.forwarding.routes_wait import TIMER_PREFIX as ROUTES_TIMER_PREFIX
from merlinstand.forwarding.routes_wait import RoutesWaitQueue
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
    ReadinessRequested,
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
"""Interval at which a stopping gateway checks whether it may exit."""


class ForwardingGateway:
    """Reducer of the `gateway` role in deployments that use the directory."""

    def __init__(self, settings: ForwardingSettings, interface: GatewayInterface) -> None:
        """Create the gateway; call `start` before `reduce`.

        Args:
            settings: Validated settings.
            interface: Translates between HTTP and batch calls.
        """
        self._settings = settings
        self._interface = interface
        self._names = settings.header_names
        self._usage = UsageCounter(settings.usage_window_seconds)
        self.follower = DirectoryFollower(settings.seeds, self._report, self._usage.next_report)
        self._make_forwarders()
        self._relay = BatchRelay(settings, self.follower)
        self._intake = RequestIntake(settings, interface, self.follower)
        self._routes_queue = RoutesWaitQueue()
        self._readiness = Readiness()
        self._load = HostLoad(0.0, 0.0)
        self._drain: Drain | None = None
        """Phases of the planned stop; None if the gateway is not stopping."""
        self._limits_in_force: RequestLimits | None = None

    def _make_forwarders(self) -> None:
        """Create both forwarders, which share budgets and the evidence about backends."""
        follower = self.follower
        zone_map = ZoneMap(self._settings.zones)
        location = ProcessLocation(self._settings.zone, zone_map)
        chooser = BackendChooser(
            location,
            follower.is_leader_unreachable,
            follower.cold_budget,
            follower.suspects.has_crashed,
        )
        self._crash_detector = CrashDetector(
            follower.suspects, self._names, follower.health_path_of, follower.cold_budget
        )
        self._send_control = SendControl(
            follower.load, self._interface.read_server_load, follower.maximum_connections_of
        )
        self._forwarder = Forwarder(
            self._names,
            follower.backends_of,
            zone_map,
            chooser,
            self._crash_detector,
            self._send_control,
        )
        self._streams = StreamForwarder(
            self._names,
            chooser,
            follower.backends_of,
            zone_map,
            self._crash_detector,
            self._send_control,
        )

    def start(self, event: Started, now: float) -> Sequence[Effect]:
        """Seed the random choices and pull the directory for the first time."""
        self._intake.seed(event.seed)
        self._forwarder.chooser.seed(event.seed)
        self._send_control.seed(event.seed)
        run_name = f"{self._settings.node_id}/{event.incarnation}"
        self._usage.set_source(run_name)
        self.follower.suspects.begin(run_name)
        return self.follower.start(now)

    def reduce(self, event: Event, now: float) -> Sequence[Effect]:
        """Handle one event and return the effects to perform."""
        effects = self._dispatch(event, now)
        for finished in self._forwarder.take_finished():
            effects.extend(self._finish(finished, now))
        for unstarted in self._streams.take_unstarted():
            request_id = RequestId(unstarted.request.key)
            self._usage.record_end(unstarted.request.key, not isinstance(unstarted.outcome, NotRun))
            effects.append(outcome_response(request_id, unstarted.outcome))
        for finished_call in self._relay.take_finished():
            reply = self._interface.write_batch_reply(finished_call.reply)
            effects.append(
                Respond(finished_call.request_id, reply.status, reply.headers, reply.body)
            )
        effects.extend(self.follower.pull_if_due(now))
        return effects

    def _dispatch(self, event: Event, now: float) -> list[Effect]:
        match event:
            case RequestReceived():
                return self._on_request(event, now)
            case ReadinessRequested():
                return self._answer_readiness(event.request_id, now)
            case CallHeaders() | CallChunk() | CallEnded():
                return self._record_ended_streams(self._streams.on_call(event, now))
            case CallResponded() | CallFailed():
                if event.call_id.startswith(STREAM_PREFIX) and isinstance(event, CallFailed):
                    return self._record_ended_streams(self._streams.on_call(event, now))
                if event.call_id.startswith(FORWARD_PREFIX):
                    return self._forwarder.on_call(event, now)
                if event.call_id.startswith(BATCH_PREFIX):
                    return self._relay.on_call(event, now)
                if event.call_id.startswith(PROBE_PREFIX):
                    probe_effects = self._crash_detector.on_call(event, now)
                    streams = self._record_ended_streams(self._streams.on_crash_check_results(now))
                    return [*probe_effects, *self._forwarder.on_crash_check_results(now), *streams]
                return []
            case RequestAborted():
                return self._on_aborted(event.request_id, now)
            case TimerFired():
                return self._on_timer(event.name, now)
            case MessageReceived(message=DirectoryUpdate()):
                return self._on_directory_update(event.sender, event.message, now)
            case StopRequested():
                return self._stop(now)
            case HostLoad():
                return self._on_host_load(event, now)
            case WallClockRead():
                self.follower.record_wall_clock(event, now)
                return []
            case _:
                return []

    def _on_directory_update(
        self, sender: NodeId, update: DirectoryUpdate, now: float
    ) -> list[Effect]:
        """Apply a directory update, and resume requests that waited for its content."""
        previous_backends_revision = self.follower.backends_revision
        previous_suspects_revision = self.follower.suspects.revision
        effects = self.follower.apply_update(sender, update, now)
        if self.follower.backends_revision != previous_backends_revision:
            backends = self.follower.backends
            self._forwarder.chooser.retain_only(b.backend_id for b in backends)
            effects.extend(self._crash_detector.update_backends(backends, now))
        effects.extend(self._apply_request_limits())
        if self.follower.suspects.revision != previous_suspects_revision:
            effects.extend(self._forwarder.on_quarantine_change(now))
            effects.extend(self._streams.on_quarantine_change(now))
        if update.cold_grants is not None:
            effects.extend(self._forwarder.on_cold_grants(now))
            effects.extend(self._record_ended_streams(self._streams.on_cold_grants(now)))
        return effects + self._release_routes_queue(now)

    def _apply_request_limits(self) -> list[Effect]:
        """Apply the request limits of the newest routes document if they have changed."""
        limits = self.follower.routes.document.limits
        if not self.follower.has_document or limits == self._limits_in_force:
            return []
        self._limits_in_force = limits
        limits_effect = BoundRequests(
            limits.maximum_head_bytes,
            limits.maximum_body_bytes,
            limits.head_timeout_seconds,
            limits.idle_timeout_seconds,
        )
        return [LogEvent("gateway.request_limits", msgspec.structs.asdict(limits)), limits_effect]

    def _record_ended_streams(self, effects: list[Effect]) -> list[Effect]:
        """Count each stream that ends as a request that has run.

        Streams that were rejected before they started are reported by `take_unstarted`.
        """
        for effect in effects:
            if isinstance(effect, RespondEnd):
                self._usage.record_end(effect.request_id, has_run=True)
        return effects

    def _on_host_load(self, load: HostLoad, now: float) -> list[Effect]:
        self._load = load
        self._readiness.record_load(load.share)
        return self._update_readiness(now)

    def _update_readiness(self, now: float) -> list[Effect]:
        """Update whether the gateway is full, by its load and the control leader's summary."""
        load = self.follower.load
        load.set_full_share(self._readiness.reported_load)
        if not self._readiness.update(
            now, load.may_report_full(NodeId(self._settings.node_id), now)
        ):
            return []
        is_full = self._readiness.is_full
        fields = {
            "buffered_share": round(self._load.buffered_share, 2),
            "connection_share": round(self._load.connection_share, 2),
        }
        name = "gateway.full" if is_full else "gateway.ready_again"
        return [LogEvent(name, fields), SetGauge("merlinstand_gateway_full", float(is_full))]

    def _is_ready(self) -> bool:
        """Return whether the gateway accepts new connections."""
        is_stopping = self._drain is not None
        return self.follower.has_document and not is_stopping and not self._readiness.is_full

    def _answer_readiness(self, request_id: RequestId, now: float) -> list[Effect]:
        effects = self._update_readiness(now)
        status = 200 if self._is_ready() else UNAVAILABLE
        return [*effects, Respond(request_id, status, {}, b"")]

    def _on_request(self, event: RequestReceived, now: float) -> list[Effect]:
        if self.follower.has_document:
            return self._route_request(event, now, now)
        if self._drain is not None:
            return self._intake.reject_unsent(event, Reason.STOPPING)
        wait_effects = self._routes_queue.enqueue(
            event, self._intake.caller_timeout_seconds(event), now
        )
        return wait_effects or self._intake.reject_unsent(event, Reason.NO_ROUTES)

    def _release_routes_queue(self, now: float) -> list[Effect]:
        """Route the requests that waited for the first routes."""
        if not self.follower.has_document or not len(self._routes_queue):
            return []
        waiting, effects = self._routes_queue.pop_all()
        for queued in waiting:
            effects.extend(self._route_request(queued.event, queued.arrived_at, now))
        return effects

    def _route_request(self, event: RequestReceived, arrived_at: float, now: float) -> list[Effect]:
        decision = self._intake.evaluate(event, arrived_at, now)
        match decision:
            case RejectedRequest():
                return decision.effects
            case AcceptedBatchCall():
                if not self._can_end(self._relay.deadline_of(decision.call, now), now):
                    return self._intake.reject_unsent(event, Reason.STOPPING)
                return self._relay.begin(event.request_id, decision.call, now)
            case AcceptedRequest():
                if not self._can_end(decision.request.deadline_at, now):
                    return self._intake.reject_unsent(event, Reason.STOPPING)
                return self._forward(decision, now)

    def _can_end(self, latest_end: float, now: float) -> bool:
        """Return whether a request with this latest end may be accepted."""
        return self._drain is None or self._drain.accepts(latest_end, now)

    def _forward(self, accepted: AcceptedRequest, now: float) -> list[Effect]:
        request = accepted.request
        flow = accepted.flow
        self.follower.load.record_arrival(flow.service, flow.rank, flow.tenant)
        if not self._send_control.admit(flow, request.route, accepted.remaining_seconds, now):
            return self._reject_overloaded(accepted, now)
        if accepted.tenant is not None:
            true_seconds = self.follower.true_seconds(now)
            self._usage.record_start(request.key, accepted.tenant.name, true_seconds, now)
        if request.route.kind is RouteKind.STREAM:
            return self._streams.begin(request, now)
        return self._forwarder.begin(request, now)

    def _reject_overloaded(self, accepted: AcceptedRequest, now: float) -> list[Effect]:
        """Reject a request at once because its service is overloaded."""
        request = accepted.request
        retry_after = self._send_control.overload_retry_after_seconds(
            request.route, accepted.remaining_seconds
        )
        outcome = NotRun(Reason.OVERLOADED, retry_after)
        logged = self._log_end(FinishedRequest(request, outcome, attempts=0), outcome, now)
        return [*logged, outcome_response(RequestId(request.key), outcome)]

    def _on_aborted(self, request_id: RequestId, now: float) -> list[Effect]:
        if self._routes_queue.remove(request_id) is not None:
            return [CancelTimer(f"{ROUTES_TIMER_PREFIX}{request_id}")]
        self._usage.record_abort(request_id, now)
        return [
            *self._forwarder.abort(request_id, now),
            *self._streams.abort(request_id, now),
            *self._relay.abort(request_id),
        ]

    def _finish(self, finished: FinishedRequest, now: float) -> list[Effect]:
        request_id = RequestId(finished.request.key)
        outcome = finished.outcome
        self._usage.record_end(finished.request.key, not isinstance(outcome, NotRun))
        if isinstance(outcome, Answered):
            return [Respond(request_id, outcome.status, outcome.headers, outcome.body)]
        logged = self._log_end(finished, outcome, now)
        return [*logged, outcome_response(request_id, outcome)]

    def _log_end(
        self, finished: FinishedRequest, outcome: NotRun | OutcomeUnknown, now: float
    ) -> list[Effect]:
        """Log a request that ended without a backend response; overload rejections are sampled."""
        fields: dict[str, object] = {
            "request": finished.request.request_id,
            "route": finished.request.route.name,
            "outcome": type(outcome).__name__,
            "reason": outcome.reason,
            "attempts": finished.attempts,
        }
        name = "request.failed"
        if isinstance(outcome, NotRun) and outcome.reason == Reason.OVERLOADED:
            return self._send_control.rejections.record(finished.request.service, name, fields, now)
        return [LogEvent(name, fields)]

    def _on_timer(self, name: str, now: float) -> list[Effect]:
        if name == PULL_TIMER:
            return self.follower.pull(now)
        if name.startswith(FORWARD_TIMER_PREFIX):
            return self._forwarder.on_timer(name, now)
        if name.startswith(STREAM_TIMER_PREFIX):
            return self._record_ended_streams(self._streams.on_timer(name, now))
        if name.startswith(BATCH_TIMER_PREFIX):
            return self._relay.on_timer(name, now)
        if name.startswith(ROUTES_TIMER_PREFIX):
            return self._on_routes_timeout(RequestId(name.removeprefix(ROUTES_TIMER_PREFIX)))
        if name == STOP_TIMER:
            return self._continue_stop(now)
        return []

    def _on_routes_timeout(self, request_id: RequestId) -> list[Effect]:
        waiting = self._routes_queue.remove(request_id)
        if waiting is None:
            return []
        return self._intake.reject_unsent(waiting.event, Reason.NO_ROUTES)

    def _stop(self, now: float) -> list[Effect]:
        if self._drain is not None:
            return []
        settings = self._settings
        self._drain = begin_drain(settings.drain_seconds, settings.stop_limit_seconds, now)
        log = LogEvent("gateway.stopping", self._pending_counts())
        poll = SetTimer(STOP_TIMER, STOP_POLL_SECONDS)
        return [log, *self._reject_routes_queue(), poll]

    def _reject_routes_queue(self) -> list[Effect]:
        """Reject the requests that wait for the first routes; another gateway may have routes."""
        waiting, effects = self._routes_queue.pop_all()
        for queued in waiting:
            effects.extend(self._intake.reject_unsent(queued.event, Reason.STOPPING))
        return effects

    def _continue_stop(self, now: float) -> list[Effect]:
        """Exit once load balancers have noticed the stop and no request is pending.

        At the end of the drain the remaining requests are ended; the process exits at the next
        poll, after their callers were told.
        """
        drain = self._drain
        if drain is None:
            return []
        counts = self._pending_counts()
        is_idle = not any(counts.values())
        if drain.may_exit(is_idle, now):
            # The final pull reports the usage that was counted since the previous pull.
            return [LogEvent("gateway.stopped"), *self.follower.pull(now), StopProcess()]
        poll = SetTimer(STOP_TIMER, STOP_POLL_SECONDS)
        if not drain.is_over(now):
            return [poll]
        log = LogEvent("gateway.stop_limit_reached", counts, "warning")
        return [log, *self._end_pending(now), poll]

    def _end_pending(self, now: float) -> list[Effect]:
        """End every pending request with a response that says whether it may have run."""
        return [
            *self._forwarder.end_all(Reason.STOPPING, now),
            *self._record_ended_streams(self._streams.end_all(Reason.STOPPING, now)),
            *self._relay.end_all(),
        ]

    def _pending_counts(self) -> dict[str, object]:
        return {
            "requests": len(self._forwarder),
            "streams": len(self._streams),
            "batch_calls": len(self._relay),
            "waiting_for_routes": len(self._routes_queue),
        }

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
