"""Estimate of other senders' load at a replica, from the load that the replica reports.

Used by daemons that poll replicas and estimate load independently. Gateways that share their counts
of requests in flight use `server_load` instead, where backends' reports only supplement the counts.
"""

import msgspec

MAXIMUM_LOAD = 1_000_000
"""Upper bound of a reported load in requests; JSON numbers are unbounded."""


class LoadReport(msgspec.Struct, frozen=True):
    """Load that a replica reported in response to a status request; lags behind the actual load.

    Has a timestamp because status responses may arrive out of order. Differs from
    `server_load.reports.ReportedLoad`, which comes with each response and has the number of slots
    and the slowdown instead.
    """

    running: int
    queued: int
    reported_at: float
    """Time by the replica's clock; only comparable with other reports of the same replica."""
    incarnation: int = 0


class ExternalLoad:
    """Estimate of the requests that other senders have at one replica.

    A report includes this daemon's own requests, so this daemon's requests in flight at the arrival
    of the report are subtracted. The rest decays with age, so that an old report neither keeps
    requests away from a replica for ever nor attracts a burst. Reports are averaged: they lag
    behind the load by many service times, and following each report would make the load oscillate
    between replicas.
    """

    __slots__ = (
        "_estimate",
        "_expiry_seconds",
        "_half_life_seconds",
        "_received_at",
        "_report_weight",
        "report",
    )

    def __init__(
        self, half_life_seconds: float, expiry_seconds: float, report_weight: float = 1.0
    ) -> None:
        """Create an estimate that is 0 until the first report.

        Args:
            half_life_seconds: Age at which the estimate has decayed to a half.
            expiry_seconds: Age from which the estimate is 0.
            report_weight: Weight of a new report in the moving average, above 0, at most 1.
        """
        self._half_life_seconds = half_life_seconds
        self._expiry_seconds = expiry_seconds
        self._report_weight = report_weight
        self._received_at = 0.0
        self._estimate = 0.0
        self.report: LoadReport | None = None

    def record(self, report: LoadReport, own_in_flight: int, now: float) -> bool:
        """Update the estimate with a report.

        Args:
            report: The replica's report.
            own_in_flight: This daemon's requests in flight at the replica.
            now: Local monotonic time in seconds.

        Returns:
            False if the report was ignored because it is older than the last report of the same
            incarnation.
        """
        last = self.report
        if (
            last is not None
            and report.incarnation == last.incarnation
            and report.reported_at < last.reported_at
        ):
            return False
        external = report.running + report.queued - own_in_flight
        reported = float(min(max(0, external), MAXIMUM_LOAD))
        if last is None or report.incarnation != last.incarnation:
            self._estimate = reported
        else:
            previous = self.estimate(now)
            self._estimate = previous + self._report_weight * (reported - previous)
        self.report = report
        self._received_at = now
        return True

    def estimate(self, now: float) -> float:
        """Return the estimated number of other senders' requests at the replica."""
        if self._estimate == 0.0:
            return 0.0
        age_seconds = now - self._received_at
        if age_seconds >= self._expiry_seconds:
            return 0.0
        return self._estimate * 0.5 ** (age_seconds / self._half_life_seconds)
