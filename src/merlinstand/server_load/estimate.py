"""Estimates how long requests take at the backends of one service, from the counts of all gateways.

For each backend, the time integral of the requests in flight over a window gives their mean number
N, and the responses in the window give the response rate X. The number b of busy slots follows from
N (`queueing`); by Little's law a request takes `b / X` once it runs.

A few responses say little, so a prior estimate counts as one more response. The counts that leave
the window are merged into the prior, which decays towards the median of the backends. A backend
that holds requests and responds to none therefore counts as slow within the time of the window, and
a backend that is sent nothing regains its share gradually. The estimates are soft state of the
control leader, dropped when the backend restarts. Times are local, in seconds.
"""

import math
from collections.abc import Sequence

from merlinstand.common.median import median
from merlinstand.server_load.decaying_sum import WINDOW_SECONDS, DecayingSum, decay_factor
from merlinstand.server_load.queueing import TIME_VARIANCE, busy_slots
from merlinstand.server_load.reports import ReportedLoad, ServerTally, is_plausible

DEFAULT_SERVICE_SECONDS = 0.1
"""Assumed service time while no backend of the service has responded."""
IN_FLIGHT_WINDOW_SECONDS = 0.15
"""Window over which requests in flight are averaged; shorter than `WINDOW_SECONDS`, since queues
appear and vanish faster."""
PRIOR_RESPONSES = 1.0
"""The prior estimate counts as this many responses."""
ESTIMATE_HALF_LIFE_SECONDS = 3.0
"""Time in which the ratio of an estimate without new counts to the median decays to its square
root. A backend that had stopped responding therefore must serve some requests before it gets its
full share."""
MINIMUM_SERVICE_SECONDS = 0.0001
MAXIMUM_SERVICE_SECONDS = 600.0
"""Bounds of the median service time, whatever the gateways report."""
MAXIMUM_MEDIAN_RATIO = 30.0
"""Largest ratio, in either direction, between an estimate and the median, so that an estimate can
recover."""
REPORTED_LOAD_TTL_SECONDS = 0.3
"""A backend's reported load is used only for this long, since the load changes many times a
second."""
REPORTING_TIMEOUT_SECONDS = 2.0
"""A backend without a report for this long counts as one that does not report its load."""
MINIMUM_RESPONSES_PER_SECOND = 0.5
"""Below this rate a backend counts as unresponsive."""
MAXIMUM_UNCOUNTED_PER_SLOT = 2.0
"""A backend may report more requests than the gateways count, because it also serves other senders.
At most this many more requests per slot are believed."""
MAXIMUM_SLOWDOWN_RATIO = 3.0
"""A slowdown reported by a backend changes the estimate by at most this factor, because the report
may be wrong."""


class ServerEstimate:
    """Estimate of one backend."""

    def __init__(self, slots: int, now: float) -> None:
        """Create an estimate with no observations.

        Args:
            slots: Registered number of requests that the backend runs at once; 0 if unknown.
            now: Local time.
        """
        self.registered_slots = slots
        self._advanced_at = now
        self._in_flight_seconds = 0.0
        self._responses = 0.0
        self._prior_seconds: float | None = None
        """The prior estimate; None before the first one."""
        self._decayed_at = now
        self._reported: ReportedLoad | None = None
        self._reported_at = float("-inf")
        self._recent_in_flight = DecayingSum(now, IN_FLIGHT_WINDOW_SECONDS)
        self._slowdown_sum = DecayingSum(now)
        self._slowdown_count = DecayingSum(now)

    @property
    def slots(self) -> int:
        """Number of requests that the backend runs at once, as registered or else as reported; 0 if
        unknown.
        """
        if self.registered_slots > 0 or self._reported is None:
            return self.registered_slots
        return self._reported.slots

    def add_counts(self, tally: ServerTally, weight: float, now: float) -> None:
        """Add the counts in a gateway's report.

        Args:
            tally: The counts for this backend.
            weight: Fraction of the counts that lies within the observed time, 0 to 1.
            now: Local time.
        """
        self._advance(now)
        self._in_flight_seconds += tally.in_flight_seconds * weight
        self._responses += tally.responses * weight
        self._recent_in_flight.add(tally.in_flight_seconds * weight, now)
        if tally.reported is not None and is_plausible(tally.reported):
            self._reported = tally.reported
            self._reported_at = now
            self._slowdown_sum.add(tally.reported.slowdown, now)
            self._slowdown_count.add(1.0, now)

    def _advance(self, now: float) -> None:
        """Decay the window's counts up to now, and merge what leaves the window into the prior."""
        expired_fraction = 1.0 - decay_factor(now - self._advanced_at)
        self._advanced_at = max(self._advanced_at, now)
        if self._prior_seconds is not None:
            work, responses = (
                self._work_seconds() * expired_fraction,
                self._responses * expired_fraction,
            )
            prior_work = PRIOR_RESPONSES * self._prior_seconds
            self._prior_seconds = (prior_work + work) / (PRIOR_RESPONSES + responses)
        self._in_flight_seconds *= 1.0 - expired_fraction
        self._responses *= 1.0 - expired_fraction

    def _work_seconds(self) -> float:
        """Return the time in seconds that the backend's slots were busy within the window, added up
        over the slots.
        """
        if self.slots <= 0:
            return self._in_flight_seconds
        in_flight = self._in_flight_seconds / WINDOW_SECONDS
        return busy_slots(in_flight, self.slots) * WINDOW_SECONDS

    def in_flight(self, now: float) -> float:
        """Return the mean number of requests in flight at the backend.

        A backend that reports more requests than the gateways count also serves other senders; the
        difference is added up to a limit. A report of fewer requests is ignored.
        """
        counted = self._recent_in_flight.per_second(now)
        if self._reported is None or now - self._reported_at > REPORTED_LOAD_TTL_SECONDS:
            return counted
        reported = float(self._reported.running + self._reported.waiting)
        return max(counted, min(reported, counted + MAXIMUM_UNCOUNTED_PER_SLOT * self.slots))

    def reports_load(self, now: float) -> bool:
        """Return whether the backend reports its load with its responses."""
        return now - self._reported_at <= REPORTING_TIMEOUT_SECONDS

    def omits_load(self, now: float) -> bool:
        """Return whether the backend responds without reporting its load.

        False if the backend does not respond.
        """
        return (
            not self.reports_load(now)
            and self.responses_per_second(now) >= MINIMUM_RESPONSES_PER_SECOND
        )

    def responses_per_second(self, now: float) -> float:
        """Return the rate of complete responses that all gateways get from the backend."""
        self._advance(now)
        return self._responses / WINDOW_SECONDS

    def window_totals(self, now: float) -> tuple[float, float]:
        """Return the busy slot time in seconds and the responses within the window."""
        self._advance(now)
        return self._work_seconds(), self._responses

    def service_seconds(self, default_seconds: float, now: float) -> float:
        """Return the time that a request takes once it runs, averaged over the window.

        Args:
            default_seconds: Prior estimate to use if there is none yet.
            now: Local time.
        """
        self._advance(now)
        prior_seconds = default_seconds if self._prior_seconds is None else self._prior_seconds
        return (self._work_seconds() + PRIOR_RESPONSES * prior_seconds) / (
            self._responses + PRIOR_RESPONSES
        )

    def decay_to_median(self, median_seconds: float, now: float) -> None:
        """Move the prior estimate towards the median, by the time elapsed since the last call."""
        prior_seconds = median_seconds if self._prior_seconds is None else self._prior_seconds
        elapsed_seconds = max(0.0, now - self._decayed_at)
        self._decayed_at = max(self._decayed_at, now)
        ratio = (prior_seconds / median_seconds) ** (
            0.5 ** (elapsed_seconds / ESTIMATE_HALF_LIFE_SECONDS)
        )
        ratio = min(MAXIMUM_MEDIAN_RATIO, max(1.0 / MAXIMUM_MEDIAN_RATIO, ratio))
        self._prior_seconds = median_seconds * ratio

    def slowdown_ratio(self, now: float) -> float:
        """Return the latest reported slowdown divided by its mean in the window; 1.0 if unknown."""
        if self._reported is None or now - self._reported_at > REPORTED_LOAD_TTL_SECONDS:
            return 1.0
        mean = self._slowdown_sum.value(now) / self._slowdown_count.value(now)
        ratio = self._reported.slowdown / mean
        return min(MAXIMUM_SLOWDOWN_RATIO, max(1.0 / MAXIMUM_SLOWDOWN_RATIO, ratio))


def estimate_service(servers: Sequence[ServerEstimate], now: float) -> tuple[float, ...]:
    """Return the current service time in seconds at each backend of a service.

    Args:
        servers: All backends that receive requests, with known slots; at least one.
        now: Local time.
    """
    totals = [server.window_totals(now) for server in servers]
    work = sum(seconds for seconds, _responses in totals)
    responses = sum(count for _seconds, count in totals)
    default_seconds = (work + DEFAULT_SERVICE_SECONDS) / (responses + 1.0)
    median_seconds = median(server.service_seconds(default_seconds, now) for server in servers)
    median_seconds = min(MAXIMUM_SERVICE_SECONDS, max(MINIMUM_SERVICE_SECONDS, median_seconds))
    for server in servers:
        server.decay_to_median(median_seconds, now)
    return tuple(
        _shrink_to_median(server.service_seconds(median_seconds, now), median_seconds, count)
        * server.slowdown_ratio(now)
        for server, (_seconds, count) in zip(servers, totals, strict=True)
    )


def _shrink_to_median(seconds: float, median_seconds: float, responses: float) -> float:
    """Move an estimate towards the median, the more so the larger its expected noise is.

    Small differences between backends with few responses are thereby ignored.
    """
    distance = math.log(seconds / median_seconds)
    noise = TIME_VARIANCE / (responses + PRIOR_RESPONSES)
    kept_fraction = distance**2 / (distance**2 + noise)
    maximum_distance = math.log(MAXIMUM_MEDIAN_RATIO)
    return median_seconds * math.exp(
        min(maximum_distance, max(-maximum_distance, distance * kept_fraction))
    )
