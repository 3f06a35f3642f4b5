"""Decides whether a gateway rejects a request, relays it as a batch call, or forwards it.

Uses the directory follower for routes, tenants and evacuated zones, `decisions.admission` for API
keys, and the platform's interface to parse batch calls. The only state is that of the weighted
choice among the services of a route.
"""

import msgspec
from result import Err, Ok, Result

from merlinstand.batch_calls.calls import BatchCall, SubmitJob
from merlinstand.batch_calls.job_regions import find_allowed_regions
from merlinstand.cluster.backend_headers import backend_headers, effective_priority
from merlinstand.cluster.regions import common_regions
from merlinstand.cluster.requests import ForwardRequest, NotRun
from merlinstand.cluster.routes import Route
from merlinstand.cluster.tenants import AUTHORIZATION_HEADER, Tenant
from merlinstand.common.errors import MerlinstandError, NotFoundError
from merlinstand.common.whole_number import parse_whole_number
from merlinstand.decisions.admission import KeyRules, find_key_error
from merlinstand.decisions.rejection import Reason, retry_after_seconds
from merlinstand.decisions.service_split import WeightedChoice
from merlinstand.directory.follower import DirectoryFollower
from merlinstand.forwarding.interface import GatewayInterface
from merlinstand.forwarding.responses import error_response, outcome_response
from merlinstand.forwarding.settings import ForwardingSettings
from merlinstand.kernel.effects import Effect, LogEvent
from merlinstand.kernel.events import RequestReceived
from merlinstand.server_load.reports import Flow

RESPONSE_MARGIN_SECONDS = 0.01
"""Time by which the gateway's deadline precedes the caller's, so that the response arrives in time;
the network path to the caller takes 1 to 3 ms."""


class RejectedRequest(msgspec.Struct, frozen=True):
    """A request to which the gateway itself responds, without a backend or keeper."""

    effects: list[Effect]


class AcceptedBatchCall(msgspec.Struct, frozen=True):
    """A call about batch jobs, to be relayed to the leading keeper."""

    call: BatchCall


class AcceptedRequest(msgspec.Struct, frozen=True):
    """A request to be forwarded to a backend."""

    request: ForwardRequest
    tenant: Tenant | None
    remaining_seconds: float | None
    """Seconds for which the caller still waits; None if the caller sent no timeout."""

    @property
    def flow(self) -> Flow:
        """The service, priority and tenant by which the request is limited under overload."""
        tenant = "" if self.tenant is None else self.tenant.name
        return Flow(
            self.request.service, effective_priority(self.request.route, self.tenant), tenant
        )


class RequestIntake:
    """Decisions on all requests that reach one gateway."""

    def __init__(
        self,
        settings: ForwardingSettings,
        interface: GatewayInterface,
        follower: DirectoryFollower,
    ) -> None:
        """Create the intake of one gateway.

        Args:
            settings: The gateway's settings.
            interface: Translates batch calls.
            follower: The directory.
        """
        self._settings = settings
        self._names = settings.header_names
        self._interface = interface
        self._follower = follower
        self._weighted_choice = WeightedChoice()

    def seed(self, seed: int) -> None:
        """Seed the split of weighted routes."""
        self._weighted_choice.seed(seed)

    def caller_timeout_seconds(self, event: RequestReceived) -> float | None:
        """Return the timeout that a caller sent; None if it sent none."""
        milliseconds = parse_whole_number(event.headers.get(self._names.deadline_ms, ""))
        return None if milliseconds is None else milliseconds / 1000

    def evaluate(
        self, event: RequestReceived, arrived_at: float, now: float
    ) -> RejectedRequest | AcceptedBatchCall | AcceptedRequest:
        """Decide how to handle a request; the routes must be known.

        Args:
            event: The request.
            arrived_at: Local time of its arrival; earlier than `now` if it waited for the routes.
            now: Local time.
        """
        path = event.path.partition("?")[0]
        route = self._follower.routes.find(event.headers.get("host", ""), path)
        tenant = self._find_tenant(event)
        key_error = find_key_error(route, tenant, self._key_rules(now))
        if key_error is not None and route is not None:
            return self._reject(event, key_error)
        parsed = self._read_batch_call(event, route, tenant)
        if isinstance(parsed, Err):
            return RejectedRequest([error_response(event.request_id, parsed.err_value)])
        if parsed.ok_value is not None:
            if key_error is not None:
                return self._reject(event, key_error)
            return self._accept_batch_call(event, parsed.ok_value)
        if route is None:
            return self._reject_without_route(event)
        return self._accept_request(event, route, tenant, arrived_at, now)

    def _read_batch_call(
        self, event: RequestReceived, route: Route | None, tenant: Tenant | None
    ) -> Result[BatchCall | None, MerlinstandError]:
        """Parse a batch call; None if the request is to be routed.

        Batch calls use the host of their job's route. On other hosts their paths belong to the
        routes. A path that no route takes may be that of a job whose route was removed.
        """
        routes = self._follower.routes
        if route is not None and not routes.has_batch_route(event.headers.get("host", "")):
            return Ok(None)
        return self._interface.read_batch_call(event, route, tenant.name if tenant else "")

    def _find_tenant(self, event: RequestReceived) -> Tenant | None:
        tenants = self._follower.routes.tenants
        return tenants.find(event.headers.get(AUTHORIZATION_HEADER, "")) if tenants else None

    def _key_rules(self, now: float) -> KeyRules:
        return KeyRules(
            has_tenants=bool(self._follower.routes.tenants),
            is_strict=self._settings.strict_revocation,
            maximum_leader_silence_seconds=self._settings.revocation_seconds,
            seconds_since_leader_contact=self._follower.seconds_since_leader_contact(now),
        )

    def _accept_batch_call(
        self, event: RequestReceived, call: BatchCall
    ) -> RejectedRequest | AcceptedBatchCall:
        if not isinstance(call, SubmitJob):
            return AcceptedBatchCall(call)
        regions = find_allowed_regions(call.job, self._follower.routes)
        if isinstance(regions, Err):
            return self._reject(event, regions.err_value)
        return AcceptedBatchCall(SubmitJob(call.job, tuple(sorted(regions.ok_value))))

    def _accept_request(
        self,
        event: RequestReceived,
        route: Route,
        tenant: Tenant | None,
        arrived_at: float,
        now: float,
    ) -> RejectedRequest | AcceptedRequest:
        tenant_regions = tenant.allowed_regions if tenant is not None else ()
        regions = common_regions(route.allowed_regions, tenant_regions)
        if isinstance(regions, Err):
            return self._reject(event, regions.err_value)
        service = self._weighted_choice.choose(route)
        if self._follower.is_evacuated(service):
            # Not queued: only an operator can end the evacuation.
            return RejectedRequest(self.reject_unsent(event, Reason.EVACUATED))
        caller_timeout = self.caller_timeout_seconds(event)
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
                self._follower.routes.tenants,
                self._names,
            ),
            body=event.body,
            request_id=event.headers.get(self._names.request_id, ""),
            deadline_at=arrived_at + _time_limit_seconds(caller_timeout, route),
            allowed_regions=regions.ok_value,
            caller=event.peer,
        )
        remaining = None if caller_timeout is None else arrived_at + caller_timeout - now
        return AcceptedRequest(request, tenant, remaining)

    def _reject(self, event: RequestReceived, error: MerlinstandError) -> RejectedRequest:
        """Reject a request by the routes document; its key is never logged or returned."""
        fields = {
            "request": event.headers.get(self._names.request_id, ""),
            "reason": type(error).code,
            "version": self._follower.routes.document.version,
        }
        log = LogEvent("request.denied", fields)
        return RejectedRequest([log, error_response(event.request_id, error)])

    def _reject_without_route(self, event: RequestReceived) -> RejectedRequest:
        fields = {
            "request": event.headers.get(self._names.request_id, ""),
            "host": event.headers.get("host", ""),
            "version": self._follower.routes.document.version,
        }
        log = LogEvent("request.no_route", fields)
        error = NotFoundError(detail="no such route")
        return RejectedRequest([log, error_response(event.request_id, error)])

    def reject_unsent(self, event: RequestReceived, reason: Reason) -> list[Effect]:
        """Reject a request that was never sent to a backend."""
        fields = {
            "request": event.headers.get(self._names.request_id, ""),
            "outcome": NotRun.__name__,
            "reason": reason,
            "attempts": 0,
        }
        outcome = NotRun(reason, retry_after_seconds(reason))
        return [LogEvent("request.failed", fields), outcome_response(event.request_id, outcome)]


def _time_limit_seconds(caller_timeout_seconds: float | None, route: Route) -> float:
    """Return the time limit of a request: the route's timeout or the caller's, if shorter."""
    if caller_timeout_seconds is None:
        return route.timeout_seconds
    return min(route.timeout_seconds, caller_timeout_seconds - RESPONSE_MARGIN_SECONDS)
