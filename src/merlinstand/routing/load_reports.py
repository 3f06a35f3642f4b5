"""Load that a replica reported, aged, without the part that this daemon sent itself."""

import msgspec


class LoadReport(msgspec.Struct, frozen=True):
    """What a replica said about its load, lagging."""

    running: int
    queued: int
    reported_at: float
    """By the replica's own clock: orders its reports, says nothing about ours."""
    incarnation: int = 0


class AgedLoad:
    """Work of other senders at one replica, as well as it can be known.

    A report lags and includes this daemon's own requests, so the own ones in flight when the
    report arrived are taken off and the rest fades with age: an old report must neither shun
    a replica for ever nor draw a crowd to it.
    """

    __slots__ = ("_expiry_seconds", "_foreign", "_half_life_seconds", "_received_at", "report")

    def __init__(self, half_life_seconds: float, expiry_seconds: float) -> None:
        """Start without a report."""
        self._half_life_seconds = half_life_seconds
        self._expiry_seconds = expiry_seconds
        self._received_at = 0.0
        self._foreign = 0.0
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
        self.report = report
        self._received_at = now
        self._foreign = max(0.0, float(report.running + report.queued - own_in_flight))
        return True

    def foreign(self, now: float) -> float:
        """Return the estimated number of others' requests at the replica."""
        if self._foreign == 0.0:
            return 0.0
        age_seconds = now - self._received_at
        if age_seconds >= self._expiry_seconds:
            return 0.0
        return self._foreign * 0.5 ** (age_seconds / self._half_life_seconds)
