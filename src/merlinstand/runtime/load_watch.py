"""Reports how close a process is to its limits to the reducer, and buffered bytes to the metrics.

The host calls it periodically. The reducer gets reports only if the settings give the process's
memory.
"""

from collections.abc import Callable

from merlinstand.kernel.events import Event, HostLoad
from merlinstand.runtime.kept_bytes import BufferBudget
from merlinstand.runtime.metrics import Metrics
from merlinstand.runtime.request_budget import RequestBudget
from merlinstand.runtime.response_budget import ResponseBudget

REPORT_THRESHOLD = 0.25
"""Lower loads cause no action: the first one below this is reported, further ones are not."""


class LoadMonitor:
    """Monitors the load of one process."""

    def __init__(
        self,
        budget: BufferBudget,
        response_budget: ResponseBudget,
        request_budget: RequestBudget,
        peer_budget: RequestBudget,
        connection_share: Callable[[], float],
        submit: Callable[[Event], None],
        metrics: Metrics,
    ) -> None:
        """Create a monitor.

        Args:
            budget: Accounts for the bytes buffered for peers.
            response_budget: Accounts for responses of servers that are arriving.
            request_budget: Accounts for connections and unfinished requests of clients.
            peer_budget: Accounts for connections and unfinished messages of peers.
            connection_share: Returns the fraction of the maximum client connections that are open.
            submit: Passes an event to the reducer.
            metrics: Receives the gauges.
        """
        self._budget = budget
        self._response_budget = response_budget
        self._request_budget = request_budget
        self._peer_budget = peer_budget
        self._connection_share = connection_share
        self._submit = submit
        self._metrics = metrics
        self._was_reported = False

    def check(self) -> None:
        """Disconnect clients that hold too much for too long, and report the load."""
        self._budget.check()
        self._request_budget.check()
        self._peer_budget.check()
        self._export()
        if not self._budget.limit_bytes:
            return
        load = HostLoad(self._budget.utilization, self._connection_share())
        is_above_threshold = load.share >= REPORT_THRESHOLD
        if is_above_threshold or self._was_reported:
            self._submit(load)
        self._was_reported = is_above_threshold

    def _export(self) -> None:
        """Update the gauges of what clients make the process hold."""
        set_gauge = self._metrics.set_gauge
        set_gauge("merlinstand_kept_bytes", self._budget.total_bytes, {})
        set_gauge("merlinstand_arriving_response_bytes", self._response_budget.total_bytes, {})
        for sender, budget in (("client", self._request_budget), ("peer", self._peer_budget)):
            small, large = {"from": sender, "size": "small"}, {"from": sender, "size": "large"}
            set_gauge("merlinstand_arriving_bytes", budget.small_bytes, small)
            set_gauge("merlinstand_arriving_bytes", budget.large_bytes, large)
            set_gauge("merlinstand_inbound_connections", budget.connections, {"from": sender})
