"""Logs and counts responses of servers that were given up."""

from merlinstand.runtime.bounded_log import LineLimit
from merlinstand.runtime.logs import EventLog
from merlinstand.runtime.metrics import Metrics
from merlinstand.runtime.response_limits import RejectedResponse


class ResponseLog:
    """Records the rejected responses of one process."""

    def __init__(self, log: EventLog, metrics: Metrics) -> None:
        """Start without responses.

        Args:
            log: Receives the lines.
            metrics: Receives the counts.
        """
        self._log = log
        self._metrics = metrics
        self._lines = LineLimit()

    def record(self, rejected: RejectedResponse) -> None:
        """Count a response, and log it unless there are too many."""
        labels = {"part": rejected.part.value, "reason": rejected.reason}
        self._metrics.count("merlinstand_responses_rejected_total", 1.0, labels)
        omitted = self._lines.take((rejected.part, rejected.reason))
        if omitted is None:
            return
        fields = {
            "kind": rejected.kind,
            "server": rejected.address,
            "part": rejected.part.value,
            "reason": rejected.reason,
            "bytes": rejected.received_bytes,
            "seconds": round(rejected.seconds, 3),
            "omitted": omitted,
        }
        self._log.write("response.rejected", fields, "warning")
