"""Budgets and admission control for what one gateway sends to each service.

Shared by the forwarders of non-streaming requests and of streams. `server_load.follower` knows how
loaded the backends are; it is notified of each attempt, for this gateway's load report to the
control leader.
"""

import enum
from collections.abc import Callable, Mapping
from http import HTTPStatus
from random import Random

from merlinstand.cluster.routes import Route
from merlinstand.common.bounded_table import BoundedTable
from merlinstand.common.ids import BackendId
from merlinstand.decisions.overload import FlowAdmission, admitted_share
from merlinstand.decisions.rejection import overload_retry_after_seconds
from merlinstand.decisions.retry import NOT_RUN_STATUSES
from merlinstand.decisions.send_budget import ServiceBudgets
from merlinstand.forwarding.refusal_log import RejectionLog
from merlinstand.kernel.effects import CountMetric
from merlinstand.server_load.follower import LoadFollower
from merlinstand.server_load.reports import Flow, ReportedLoad, ServiceLoad

HEDGES_WITHHELD_METRIC = "merlinstand_hedges_withheld_total"
"""Counts hedges that were not sent because the service's budget was used up."""
RETRIES_WITHHELD_METRIC = "merlinstand_retries_withheld_total"
"""Counts retries after a failure that were not sent because the service's budget was used up."""
ATTEMPTS_REFUSED_METRIC = "merlinstand_tries_turned_away_total"
"""Counts attempts that a backend refused for lack of capacity, without running them."""
MAXIMUM_SERVICES = 4_096
"""Maximum number of services with budgets. Beyond it, the oldest entry is evicted; the evicted
service starts again with full budgets."""


class AttemptEnd(enum.Enum):
    """How an attempt ended, as evidence of its backend's load."""

    RESPONDED = "answered"
    """The backend ran the request and responded without failure."""
    REFUSED = "turned_away"
    """The backend had no capacity and has not run the request."""
    INCONCLUSIVE = "broken_off"
    """The attempt failed or was cancelled, which says nothing about the backend's load."""


def end_of_response(status: int) -> AttemptEnd:
    """Classify an attempt by its response, which must not have the not-run header.

    Args:
        status: Status of the response. A failure or refusal says nothing about how fast the
            backend works.
    """
    is_failure = status >= HTTPStatus.INTERNAL_SERVER_ERROR or status in NOT_RUN_STATUSES
    return AttemptEnd.INCONCLUSIVE if is_failure else AttemptEnd.RESPONDED


class SendControl:
    """Budgets, admission and load reports of one gateway."""

    def __init__(
        self,
        load: LoadFollower | None = None,
        read_load: Callable[[Mapping[str, str]], ReportedLoad | None] = lambda _headers: None,
        maximum_connections: Callable[[str], int] = lambda _service: 0,
    ) -> None:
        """Start with full budgets.

        Args:
            load: Counts attempts, and knows how loaded backends are; by default no attempts are
                reported to the control leader and no backend's load is known.
            read_load: Parses the load that a backend reported in its response headers.
            maximum_connections: Returns how many connections one backend of a service accepts from
                all callers; 0 if unknown.
        """
        self.load = load or LoadFollower()
        self._read_load = read_load
        self._maximum_connections = maximum_connections
        self._budgets: BoundedTable[str, ServiceBudgets] = BoundedTable(
            MAXIMUM_SERVICES, ServiceBudgets
        )
        self._admission = FlowAdmission()
        self.rejections = RejectionLog()
        """Log events for requests that an overloaded service rejects."""
        self._random = Random(0)

    def seed(self, seed: int) -> None:
        """Seed the random choices."""
        self._random = Random(seed)
        self._admission.seed(seed)

    def service_load(self, service: str, now: float) -> ServiceLoad | None:
        """Return the published load of a service; None if the service is not busy."""
        return self.load.service_load(service, now)

    def maximum_in_flight(self, service: str, now: float) -> int:
        """Return how many connections this gateway may use at one backend; 0 if unknown."""
        connections = self._maximum_connections(service)
        gateways = self.load.gateway_count(now) if connections else 0
        return max(1, connections // gateways) if gateways else 0

    def record_attempt_start(
        self, service: str, backend_id: BackendId, is_first: bool, now: float
    ) -> None:
        """Record the start of an attempt."""
        self.load.record_attempt_start(backend_id, now)
        if is_first:
            self._budgets[service].record_first_attempt(self.service_load(service, now), now)

    def record_attempt_end(self, backend_id: BackendId, end: AttemptEnd, now: float) -> None:
        """Record the end of an attempt."""
        if end is AttemptEnd.REFUSED:
            self.load.record_refusal(backend_id, now)
        else:
            self.load.record_attempt_end(backend_id, end is AttemptEnd.RESPONDED, now)

    def record_reported_load(self, backend_id: BackendId, headers: Mapping[str, str]) -> None:
        """Record the load that a backend reported in its response headers, if any."""
        reported = self._read_load(headers)
        if reported is not None:
            self.load.record_reported_load(backend_id, reported)

    def take_hedge(self, service: str, is_target_missed: bool, now: float) -> bool:
        """Return whether a hedge may be sent now; if so, spend a token.

        Args:
            service: The request's service.
            is_target_missed: Whether the running attempt has already exceeded the target latency;
                if so, the hedge may also use a retry token.
            now: Local time.
        """
        budgets = self._budgets[service]
        is_allowed = budgets.try_spend_hedge(self.service_load(service, now), now)
        return is_allowed or (is_target_missed and budgets.try_spend_retry(now))

    def take_retry(self, service: str, now: float) -> bool:
        """Return whether a retry after a failure may be sent now; if so, spend a token."""
        return self._budgets[service].try_spend_retry(now)

    def admit(self, flow: Flow, route: Route, remaining_seconds: float | None, now: float) -> bool:
        """Return whether a caller's request may be sent to a backend.

        Args:
            flow: The service, priority and tenant by which the request is limited.
            route: Its route.
            remaining_seconds: How long its caller still waits; None if it did not say.
            now: Local time.
        """
        share = self._admitted_share(flow, now)
        return self._admission.admit(flow, share, route, remaining_seconds, now)

    def overload_retry_after_seconds(self, route: Route, remaining_seconds: float | None) -> float:
        """Return the Retry-After, in seconds, of a request rejected for overload.

        Args:
            route: Its route.
            remaining_seconds: How long its caller still waits; None if it did not say.
        """
        jitter = self._random.random()
        return overload_retry_after_seconds(route.target_latency_seconds, remaining_seconds, jitter)

    def _admitted_share(self, flow: Flow, now: float) -> float:
        load = self.load.service_load(flow.service, now)
        return admitted_share(load, self.load.last_service_load(flow.service, now), flow)


def count_for_service(metric: str, service: str) -> CountMetric:
    """Return the effect that increments a service's counter."""
    return CountMetric(metric, labels={"service": service})
