"""Load that a replica reported, aged, without the part that this daemon sent itself.

For: daemons that each ask replicas for their status and judge alone. `server_load` is for gateways
that share what they count: there a server's own words only add to what all of them see.
"""

import msgspec

MAXIMUM_LOAD = 1_000_000
"""Requests at one replica above which a report means no more; JSON numbers have no bound."""


class LoadReport(msgspec.Struct, frozen=True):
    """What a replica said about its load when it was asked, lagging.

    Beside `server_load.reports.ReportedLoad`, which comes with each answer and tells slots and
    pace: this one has neither, and orders itself, since answers to questions may overtake others.
    """

    running: int
    queued: int
    reported_at: float
    """By the replica's own clock: orders its reports, says nothing about ours."""
    incarnation: int = 0


class ExternalLoad:
    """Work of other senders at one replica, as well as it can be known.

    A report lags and includes this daemon's own requests, so the own ones in flight when the
    report arrived are taken off and the rest fades with age: an old report must neither shun
    a replica for ever nor draw a crowd to it. Reports are also averaged: one that lags by many
    requests' times says where the crowd was, and following it makes the next crowd.
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
        """Start without a report.

        Args:
            half_life_seconds: Age at which what is known counts half.
            expiry_seconds: Age from which it counts nothing.
            report_share: Weight of a new report against what is known, above 0, at most 1.
        """
        self._half_life_seconds = half_life_seconds
        self._expiry_seconds = expiry_seconds
        self._report_weight = report_weight
        self._received_at = 0.0
        self._estimate = 0.0
        self.report: LoadReport | None = None

    def record(self, report: LoadReport, own_in_flight: int, now: float) -> bool:
        """Take a report in.

        Args:
            report: The replica's report.
            own_in_flight: This daemon's requests in flight at the replica.
            now: Local monotonic time.

        Returns:
            False if the report is older than one already seen and was ignored.
        """
        last = self.report
        if (
            last is not None
            and report.incarnation == last.incarnation
            and report.reported_at < last.reported_at
        ):
            return False
        others = report.running + report.queued - own_in_flight
        reported = float(min(max(0, others), MAXIMUM_LOAD))
        if last is None or report.incarnation != last.incarnation:
            self._estimate = reported
        else:
            previous = self.estimate(now)
            self._estimate = previous + self._report_weight * (reported - previous)
        self.report = report
        self._received_at = now
        return True

    def estimate(self, now: float) -> float:
        """Return the estimated number of others' requests at the replica."""
        if self._estimate == 0.0:
            return 0.0
        age_seconds = now - self._received_at
        if age_seconds >= self._expiry_seconds:
            return 0.0
        return self._estimate * 0.5 ** (age_seconds / self._half_life_seconds)
