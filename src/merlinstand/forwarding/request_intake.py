"""What becomes of a request that reaches a gateway: refused at once, a batch call, or forwarded.

Owned by the gateway. Keeps the position of each weighted route; relies on the directory's follower
for routes, tenants and evacuated zones, on `decisions.admission` for keys, and on the platform's
interface for the shape of batch calls.
"""

import msgspec
from result import Err

from merlinstand.batch_calls.calls import BatchCall, SubmitJob
from merlinstand.batch_calls.job_regions import regions_to_keep_in
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

ANSWER_MARGIN_SECONDS = 0.01
"""A caller's deadline ends this long before it for the gateway, so that the answer arrives in time:
a way to the caller takes 1 to 3 ms. Chosen, not measured."""


class Refused(msgspec.Struct, frozen=True):
    """The request is answered by the gateway itself."""

    effects: list[Effect]


class BatchCallTaken(msgspec.Struct, frozen=True):
    """A call about batch jobs, for the leading keeper."""

    call: BatchCall


class RequestTaken(msgspec.Struct, frozen=True):
    """A request for a server."""

    request: ForwardRequest
    tenant: Tenant | None
    left_seconds: float | None
    """How long its caller still waits; None if it didn't say."""

    @property
    def flow(self) -> Flow:
        """What it is limited with while its service is full."""
        tenant = "" if self.tenant is None else self.tenant.name
        return Flow(
            self.request.service, effective_priority(self.request.route, self.tenant), tenant
        )


class RequestIntake:
    """All requests that reach one gateway."""

    def __init__(
        self,
        settings: ForwardingSettings,
        interface: GatewayInterface,
        follower: DirectoryFollower,
    ) -> None:
        """Begin without requests.

        Args:
            settings: Of the gateway.
            interface: Translates batch calls.
            follower: The directory.
        """
        self._settings = settings
        self._names = settings.header_names
        self._interface = interface
        self._follower = follower
        self._split = WeightedChoice()

    def seed(self, seed: int) -> None:
        """Make the split of weighted routes follow this seed."""
        self._split.seed(seed)

    def patience_seconds(self, event: RequestReceived) -> float | None:
        """How long a caller said that it will wait; None if it didn't."""
        milliseconds = parse_whole_number(event.headers.get(self._names.deadline_ms, ""))
        return None if milliseconds is None else milliseconds / 1000

    def take(
        self, event: RequestReceived, arrived_at: float, now: float
    ) -> Refused | BatchCallTaken | RequestTaken:
        """Decide on a request; the routes are known.

        Args:
            event: The request.
            arrived_at: Local time at which it came; it may have waited for the routes.
            now: Local time.
        """
        path = event.path.partition("?")[0]
        route = self._follower.routes.find(event.headers.get("host", ""), path)
        tenant = self._tenant_of(event)
        key_error = find_key_error(route, tenant, self._key_rules(now))
        if key_error is not None and route is not None:
            return self._reject(event, key_error)
        read = self._interface.read_batch_call(event, route, tenant.name if tenant else "")
        if isinstance(read, Err):
            return Refused([error_response(event.request_id, read.err_value)])
        if read.ok_value is not None:
            if key_error is not None:
                return self._reject(event, key_error)
            return self._take_batch_call(event, read.ok_value)
        if route is None:
            return self._reject_without_route(event)
        return self._take_request(event, route, tenant, arrived_at, now)

    def _tenant_of(self, event: RequestReceived) -> Tenant | None:
        tenants = self._follower.routes.tenants
        return tenants.find(event.headers.get(AUTHORIZATION_HEADER, "")) if tenants else None

    def _key_rules(self, now: float) -> KeyRules:
        return KeyRules(
            has_tenants=bool(self._follower.routes.tenants),
            is_strict=self._settings.strict_revocation,
            maximum_leader_silence_seconds=self._settings.revocation_seconds,
            seconds_since_leader_contact=self._follower.silence_seconds(now),
        )

    def _take_batch_call(self, event: RequestReceived, call: BatchCall) -> Refused | BatchCallTaken:
        if not isinstance(call, SubmitJob):
            return BatchCallTaken(call)
        regions = regions_to_keep_in(call.job, self._follower.routes)
        if isinstance(regions, Err):
            return self._reject(event, regions.err_value)
        return BatchCallTaken(SubmitJob(call.job, tuple(sorted(regions.ok_value))))

    def _take_request(
        self,
        event: RequestReceived,
        route: Route,
        tenant: Tenant | None,
        arrived_at: float,
        now: float,
    ) -> Refused | RequestTaken:
        tenant_regions = tenant.allowed_regions if tenant is not None else ()
        regions = common_regions(route.allowed_regions, tenant_regions)
        if isinstance(regions, Err):
            return self._reject(event, regions.err_value)
        service = self._split.choose(route)
        if self._follower.is_evacuated(service):
            # Held, it could only wait for the operators.
            return Refused(self.refuse_unsent(event, Reason.EVACUATED))
        patience = self.patience_seconds(event)
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
            deadline_at=arrived_at + _time_limit_seconds(patience, route),
            allowed_regions=regions.ok_value,
            caller=event.peer,
        )
        left = None if patience is None else arrived_at + patience - now
        return RequestTaken(request, tenant, left)

    # Refusals

    def _reject(self, event: RequestReceived, error: MerlinstandError) -> Refused:
        """Refuse a caller by the document; its key is never shown, not even in the log."""
        fields = {
            "request": event.headers.get(self._names.request_id, ""),
            "reason": type(error).code,
            "version": self._follower.routes.document.version,
        }
        log = LogEvent("request.barred", fields)
        return Refused([log, error_response(event.request_id, error)])

    def _reject_without_route(self, event: RequestReceived) -> Refused:
        fields = {
            "request": event.headers.get(self._names.request_id, ""),
            "host": event.headers.get("host", ""),
            "version": self._follower.routes.document.version,
        }
        log = LogEvent("request.no_route", fields)
        error = NotFoundError(detail="no such route")
        return Refused([log, error_response(event.request_id, error)])

    def refuse_unsent(self, event: RequestReceived, reason: Reason) -> list[Effect]:
        """Refuse a request that was never offered to a server."""
        fields = {
            "request": event.headers.get(self._names.request_id, ""),
            "outcome": NotRun.__name__,
            "reason": reason,
            "attempts": 0,
        }
        outcome = NotRun(reason, retry_after_seconds(reason))
        return [LogEvent("request.failed", fields), outcome_response(event.request_id, outcome)]


def _time_limit_seconds(patience_seconds: float | None, route: Route) -> float:
    """How long a request may be held, by its route and by what its caller said."""
    if patience_seconds is None:
        return route.timeout_seconds
    return min(route.timeout_seconds, patience_seconds - ANSWER_MARGIN_SECONDS)
