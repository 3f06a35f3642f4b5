"""Estimates how long requests take at the backends of one service, from what all gateways count.

For each backend, the time integral of its requests in flight over a window gives their mean number
N, and the responses in the window give its rate X. With b busy slots, which follow from N
(`queueing`), a request takes `b / X` once it runs.

A few responses say little, so a prior estimate counts as one more response. The prior absorbs what
leaves the window and decays towards the median of the backends. A backend that holds requests and
responds to none therefore becomes slow within the window, and one that is sent nothing regains its
share gradually. The estimates are soft state of the control leader for one run of a backend. Times
are local, in seconds.
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
"""Window over which requests in flight are averaged: queues appear and vanish faster than
`WINDOW_SECONDS`."""
PRIOR_RESPONSES = 1.0
"""The prior estimate counts as this many responses."""
ESTIMATE_HALF_LIFE_SECONDS = 3.0
"""Time in which an estimate without new counts moves half of the way to the median, by ratio: a
backend that had stopped responding must serve some requests before it gets its full share."""
MINIMUM_SERVICE_SECONDS = 0.0001
MAXIMUM_SERVICE_SECONDS = 600.0
"""The median is clamped to these bounds, whatever gateways count."""
MAXIMUM_MEDIAN_RATIO = 30.0
"""An estimate stays within this ratio of the median, so that it can recover."""
REPORTED_LOAD_TTL_SECONDS = 0.3
"""A backend's reported load is used for this long, since it changes many times a second."""
REPORTING_TIMEOUT_SECONDS = 2.0
"""A backend without a report for this long counts as one that does not report its load."""
MINIMUM_RESPONSES_PER_SECOND = 0.5
"""Below this rate a backend counts as unresponsive."""
MAXIMUM_UNCOUNTED_PER_SLOT = 2.0
"""Limit on requests of other senders, for each slot, that a backend's report is credited with."""
MAXIMUM_SLOWDOWN_RATIO = 3.0
"""A reported slowdown changes an estimate by at most this factor, because the backend may be
wrong."""


class ServerEstimate:
    """Estimate of one backend."""

    def __init__(self, slots: int, now: float) -> None:
        """Create without counts.

        Args:
            slots: Requests that it runs at once, as registered; 0 if unknown.
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
        """Requests that it runs at once, as registered or reported; 0 if unknown."""
        if self.registered_slots > 0 or self._reported is None:
            return self.registered_slots
        return self._reported.slots

    def add_counts(self, tally: ServerTally, weight: float, now: float) -> None:
        """Add what a gateway counted.

        Args:
            tally: Its counts.
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
        """Advance to a time: what leaves the window is absorbed by the prior estimate."""
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
        """Return the time that its slots were busy within the window."""
        if self.slots <= 0:
            return self._in_flight_seconds
        in_flight = self._in_flight_seconds / WINDOW_SECONDS
        return busy_slots(in_flight, self.slots) * WINDOW_SECONDS

    def in_flight(self, now: float) -> float:
        """Return the mean number of requests there.

        A backend that reports more than the gateways count also serves other senders and is
        credited with these up to a limit. A report of less is ignored.
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
        """Return whether it responds without reporting its load; False if it does not respond."""
        return (
            not self.reports_load(now)
            and self.responses_per_second(now) >= MINIMUM_RESPONSES_PER_SECOND
        )

    def responses_per_second(self, now: float) -> float:
        """Return the rate of complete responses that gateways get from it."""
        self._advance(now)
        return self._responses / WINDOW_SECONDS

    def window_totals(self, now: float) -> tuple[float, float]:
        """Return the busy slot time in seconds and the responses within the window."""
        self._advance(now)
        return self._work_seconds(), self._responses

    def service_seconds(self, default_seconds: float, now: float) -> float:
        """Return the time that a request takes once it runs, averaged over the window.

        Args:
            default_seconds: Used as the prior estimate while there is none.
            now: Local time.
        """
        self._advance(now)
        prior_seconds = default_seconds if self._prior_seconds is None else self._prior_seconds
        return (self._work_seconds() + PRIOR_RESPONSES * prior_seconds) / (
            self._responses + PRIOR_RESPONSES
        )

    def decay_to_median(self, median_seconds: float, now: float) -> None:
        """Move the prior estimate towards the median, for the time since the last call."""
        prior_seconds = median_seconds if self._prior_seconds is None else self._prior_seconds
        elapsed_seconds = max(0.0, now - self._decayed_at)
        self._decayed_at = max(self._decayed_at, now)
        ratio = (prior_seconds / median_seconds) ** (
            0.5 ** (elapsed_seconds / ESTIMATE_HALF_LIFE_SECONDS)
        )
        ratio = min(MAXIMUM_MEDIAN_RATIO, max(1.0 / MAXIMUM_MEDIAN_RATIO, ratio))
        self._prior_seconds = median_seconds * ratio

    def slowdown_ratio(self, now: float) -> float:
        """Return the latest slowdown divided by its mean in the window; 1.0 if unknown."""
        if self._reported is None or now - self._reported_at > REPORTED_LOAD_TTL_SECONDS:
            return 1.0
        mean = self._slowdown_sum.value(now) / self._slowdown_count.value(now)
        ratio = self._reported.slowdown / mean
        return min(MAXIMUM_SLOWDOWN_RATIO, max(1.0 / MAXIMUM_SLOWDOWN_RATIO, ratio))


def estimate_service(servers: Sequence[ServerEstimate], now: float) -> tuple[float, ...]:
    """Return the current service time in seconds at each backend of a service.

    Args:
        servers: All that receive requests, with known slots; at least one.
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
    """Shrink an estimate's distance from the median by its expected noise.

    Small differences between backends with few responses are thereby ignored.
    """
    distance = math.log(seconds / median_seconds)
    noise = TIME_VARIANCE / (responses + PRIOR_RESPONSES)
    kept_fraction = distance**2 / (distance**2 + noise)
    maximum_distance = math.log(MAXIMUM_MEDIAN_RATIO)
    return median_seconds * math.exp(
        min(maximum_distance, max(-maximum_distance, distance * kept_fraction))
    )
