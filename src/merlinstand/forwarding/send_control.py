"""How much one gateway sends to services, and what it tells of that.

Shared by its whole requests and streams. Owns the budgets of each service and what is admitted of
each flow; relies on `server_load.follower` for how loaded servers are, and tells it what each try
does.
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
from merlinstand.forwarding.refusal_log import RefusalLog
from merlinstand.kernel.effects import CountMetric
from merlinstand.server_load.follower import LoadFollower
from merlinstand.server_load.reports import Flow, ReportedLoad, ServiceLoad

HEDGES_WITHHELD_METRIC = "merlinstand_hedges_withheld_total"
"""Second tries beside a running one that a service's budget did not allow."""
RETRIES_WITHHELD_METRIC = "merlinstand_retries_withheld_total"
"""Tries after a failure that a service's budget did not allow."""
TURNED_AWAY_METRIC = "merlinstand_tries_turned_away_total"
"""Tries that a full server did not run."""
MAXIMUM_SERVICES = 4_096
"""Most services with budgets; the oldest entry gives way to a new one, with full budgets."""


class TryEnd(enum.Enum):
    """How a try ended, for what is known of its server's load."""

    ANSWERED = "answered"
    """The server ran it and answered; it did not fail."""
    TURNED_AWAY = "turned_away"
    """The server had no room: it has not run it."""
    BROKEN_OFF = "broken_off"
    """No answer that tells anything about load: it failed, or was given up."""


def end_of_answer(status: int) -> TryEnd:
    """Return how a try ended that was answered, but for the server's word that it has not run.

    Args:
        status: Of the answer; a failure or a refusal tells nothing of how fast the server works.
    """
    is_failure = status >= HTTPStatus.INTERNAL_SERVER_ERROR or status in NOT_RUN_STATUSES
    return TryEnd.BROKEN_OFF if is_failure else TryEnd.ANSWERED


class SendControl:
    """Budgets and counts of one gateway."""

    def __init__(
        self,
        load: LoadFollower | None = None,
        read_load: Callable[[Mapping[str, str]], ReportedLoad | None] = lambda _headers: None,
        maximum_connections: Callable[[str], int] = lambda _service: 0,
    ) -> None:
        """Begin with full budgets.

        Args:
            load: Counts tries, and knows how loaded servers are; without it, the control leader
                learns of neither.
            read_load: Gives what a server said of itself in the headers of an answer.
            maximum_connections: Gives how many connections one server of a service takes from all
                callers; 0 if unknown.
        """
        self.load = load or LoadFollower()
        self._read_load = read_load
        self._maximum_connections = maximum_connections
        self._budgets: BoundedTable[str, ServiceBudgets] = BoundedTable(
            MAXIMUM_SERVICES, ServiceBudgets
        )
        self._admission = FlowAdmission()
        self.refusals = RefusalLog()
        """Lines in the log for requests that a full service refuses."""
        self._random = Random(0)

    def seed(self, seed: int) -> None:
        """Make random choices follow this seed."""
        self._random = Random(seed)
        self._admission.seed(seed)

    def service_load(self, service: str, now: float) -> ServiceLoad | None:
        """Give what is known of a service; None if it isn't busy."""
        return self.load.service_load(service, now)

    def maximum_in_flight(self, service: str, now: float) -> int:
        """Give how many connections this gateway may use at one server; 0 if unknown."""
        connections = self._maximum_connections(service)
        gateways = self.load.gateway_count(now) if connections else 0
        return max(1, connections // gateways) if gateways else 0

    # Tries

    def note_begun(self, service: str, backend_id: BackendId, is_first: bool, now: float) -> None:
        """A try goes to a server."""
        self.load.record_attempt_start(backend_id, now)
        if is_first:
            self._budgets[service].record_first_attempt(self.service_load(service, now), now)

    def note_ended(self, backend_id: BackendId, end: TryEnd, now: float) -> None:
        """A try ended."""
        if end is TryEnd.TURNED_AWAY:
            self.load.record_refusal(backend_id, now)
        else:
            self.load.record_attempt_end(backend_id, end is TryEnd.ANSWERED, now)

    def note_headers(self, backend_id: BackendId, headers: Mapping[str, str]) -> None:
        """A server answered: take in what it says of its load, if it does."""
        reported = self._read_load(headers)
        if reported is not None:
            self.load.record_reported_load(backend_id, reported)

    # Budgets

    def take_hedge(self, service: str, is_late: bool, now: float) -> bool:
        """Return whether a second try beside a running one may be sent now; it is paid for.

        Args:
            service: Of the request.
            is_late: Whether the running one has taken as long as the request's whole aim.
            now: Local time.
        """
        budgets = self._budgets[service]
        is_allowed = budgets.try_spend_hedge(self.service_load(service, now), now)
        return is_allowed or (is_late and budgets.try_spend_retry(now))

    def take_retry(self, service: str, now: float) -> bool:
        """Return whether a try after a failure may be sent now; it is paid for."""
        return self._budgets[service].try_spend_retry(now)

    # Overload

    def admit(self, flow: Flow, route: Route, left_seconds: float | None, now: float) -> bool:
        """Return whether a request that a caller brings may go to servers.

        Args:
            flow: What it is limited with.
            route: Its route.
            left_seconds: How long its caller still waits; None if it didn't say.
            now: Local time.
        """
        share = self._admitted_share(flow, now)
        return self._admission.admit(flow, share, route, left_seconds, now)

    def overload_retry_after_seconds(self, route: Route, left_seconds: float | None) -> float:
        """Return when a request that a full service refused may come again.

        Args:
            route: Its route.
            left_seconds: How long its caller still waits; None if it didn't say.
        """
        chance = self._random.random()
        return overload_retry_after_seconds(route.target_latency_seconds, left_seconds, chance)

    def _admitted_share(self, flow: Flow, now: float) -> float:
        load = self.load.service_load(flow.service, now)
        return admitted_share(load, self.load.last_service_load(flow.service, now), flow)


def count_of(metric: str, service: str) -> CountMetric:
    """Give the effect that counts something of a service."""
    return CountMetric(metric, labels={"service": service})
