"""How long requests take at the servers of one service, from what all gateways count.

For each server: the sum of their requests' time in flight over a window is the mean number there,
N; answers over the window are its rate, X. With b slots at work, which follow from N (`queueing`),
a request takes `b / X` once it runs. A few answers tell little, so an earlier estimate counts as
one answer more; that estimate takes in what leaves the window, and moves towards the median of the
servers as time passes. A server that holds requests and answers none therefore becomes slow within
the window, and one that is sent nothing is trusted again step by step. Soft state of the control
leader, of one start of a server; times are local ones in seconds.
"""

import math
from collections.abc import Sequence

from merlinstand.common.median import median
from merlinstand.server_load.decaying_sum import WINDOW_SECONDS, DecayingSum, decay_factor
from merlinstand.server_load.queueing import TIME_VARIANCE, busy_slots
from merlinstand.server_load.reports import ReportedLoad, ServerTally, is_plausible

DEFAULT_SERVICE_SECONDS = 0.1
"""Taken for a server's time while none of its service has answered."""
IN_FLIGHT_WINDOW_SECONDS = 0.15
"""Requests at a server are counted over this time: queues come and go in less than the window."""
PRIOR_RESPONSES = 1.0
"""The earlier estimate counts as much as this many answers."""
ESTIMATE_HALF_LIFE_SECONDS = 3.0
"""In this time an estimate without news moves half of the way to the median, in proportion: a
server that had stopped answering must answer some requests before it gets its full share."""
MINIMUM_SERVICE_SECONDS = 0.0001
MAXIMUM_SERVICE_SECONDS = 600.0
"""The median lies between these, whatever gateways count."""
MAXIMUM_MEDIAN_RATIO = 30.0
"""An estimate lies within this ratio of the median, so that it can come back."""
REPORTED_LOAD_TTL_SECONDS = 0.3
"""What a server says of itself is used for this long: it changes many times a second."""
REPORTING_TIMEOUT_SECONDS = 2.0
"""A server that has said nothing of itself for this long doesn't tell its load."""
MINIMUM_RESPONSES_PER_SECOND = 0.5
"""Below this a server counts as one that doesn't answer."""
MAXIMUM_UNCOUNTED_PER_SLOT = 2.0
"""Requests of others for each slot that a server is believed to have, at most."""
MAXIMUM_SLOWDOWN_RATIO = 3.0
"""A pace changes an estimate by no more than this factor: it is the server's own word."""


class ServerEstimate:
    """What is known of one server."""

    def __init__(self, slots: int, now: float) -> None:
        """Begin with nothing known.

        Args:
            slots: Requests that it works on at once, as registered; 0 if unknown.
            now: Local time.
        """
        self.registered_slots = slots
        self._advanced_at = now
        self._in_flight_seconds = 0.0
        self._responses = 0.0
        self._prior_seconds: float | None = None
        """The earlier estimate."""
        self._decayed_at = now
        self._reported: ReportedLoad | None = None
        self._reported_at = float("-inf")
        self._recent_in_flight = DecayingSum(now, IN_FLIGHT_WINDOW_SECONDS)
        self._slowdown_sum = DecayingSum(now)
        self._slowdown_count = DecayingSum(now)

    @property
    def slots(self) -> int:
        """Requests that it works on at once; 0 if unknown."""
        if self.registered_slots > 0 or self._reported is None:
            return self.registered_slots
        return self._reported.slots

    def add_counts(self, tally: ServerTally, weight: float, now: float) -> None:
        """Take in what a gateway counted.

        Args:
            tally: Its counts.
            weight: How much of them lies in the time that is looked at, 0 to 1.
            now: Local time.
        """
        self._advance(now)
        self._in_flight_seconds += tally.in_flight_seconds * weight
        self._responses += tally.answered * weight
        self._recent_in_flight.add(tally.in_flight_seconds * weight, now)
        if tally.reported is not None and is_plausible(tally.reported):
            self._reported = tally.reported
            self._reported_at = now
            self._slowdown_sum.add(tally.reported.slowdown, now)
            self._slowdown_count.add(1.0, now)

    def _advance(self, now: float) -> None:
        """Let time pass: what leaves the window goes into the earlier estimate."""
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
        """Time that its slots worked within the window."""
        if self.slots <= 0:
            return self._in_flight_seconds
        in_flight = self._in_flight_seconds / WINDOW_SECONDS
        return busy_slots(in_flight, self.slots) * WINDOW_SECONDS

    def in_flight(self, now: float) -> float:
        """Mean number of requests there.

        A server that says that it has more than gateways count works for others, too: it is
        believed up to a bound. One that says less isn't believed.
        """
        counted = self._recent_in_flight.per_second(now)
        if self._reported is None or now - self._reported_at > REPORTED_LOAD_TTL_SECONDS:
            return counted
        reported = float(self._reported.running + self._reported.waiting)
        return max(counted, min(reported, counted + MAXIMUM_UNCOUNTED_PER_SLOT * self.slots))

    def reports_load(self, now: float) -> bool:
        """Whether the server says with its answers how loaded it is."""
        return now - self._reported_at <= REPORTING_TIMEOUT_SECONDS

    def omits_load(self, now: float) -> bool:
        """Whether it answers without saying how loaded it is; also false if it doesn't answer."""
        return (
            not self.reports_load(now)
            and self.responses_per_second(now) >= MINIMUM_RESPONSES_PER_SECOND
        )

    def responses_per_second(self, now: float) -> float:
        """Whole answers that gateways get from it."""
        self._advance(now)
        return self._responses / WINDOW_SECONDS

    def window_totals(self, now: float) -> tuple[float, float]:
        """Give the seconds that its slots worked within the window, and its answers in it."""
        self._advance(now)
        return self._work_seconds(), self._responses

    def service_seconds(self, default_seconds: float, now: float) -> float:
        """Time that a request takes once it runs, at the mean pace of the window.

        Args:
            prior_seconds: Taken for the earlier estimate while there is none.
            now: Local time.
        """
        self._advance(now)
        prior_seconds = default_seconds if self._prior_seconds is None else self._prior_seconds
        return (self._work_seconds() + PRIOR_RESPONSES * prior_seconds) / (
            self._responses + PRIOR_RESPONSES
        )

    def decay_to_median(self, median_seconds: float, now: float) -> None:
        """Move the earlier estimate towards the median, for the time since the last call."""
        prior_seconds = median_seconds if self._prior_seconds is None else self._prior_seconds
        elapsed_seconds = max(0.0, now - self._decayed_at)
        self._decayed_at = max(self._decayed_at, now)
        ratio = (prior_seconds / median_seconds) ** (
            0.5 ** (elapsed_seconds / ESTIMATE_HALF_LIFE_SECONDS)
        )
        ratio = min(MAXIMUM_MEDIAN_RATIO, max(1.0 / MAXIMUM_MEDIAN_RATIO, ratio))
        self._prior_seconds = median_seconds * ratio

    def slowdown_ratio(self, now: float) -> float:
        """How long work takes there now, against the mean of the window; 1.0 if unknown."""
        if self._reported is None or now - self._reported_at > REPORTED_LOAD_TTL_SECONDS:
            return 1.0
        mean = self._slowdown_sum.value(now) / self._slowdown_count.value(now)
        ratio = self._reported.slowdown / mean
        return min(MAXIMUM_SLOWDOWN_RATIO, max(1.0 / MAXIMUM_SLOWDOWN_RATIO, ratio))


def estimate_service(servers: Sequence[ServerEstimate], now: float) -> tuple[float, ...]:
    """Give the present time that a request takes at each server of a service.

    Args:
        servers: All that take requests, with known slots; at least one.
        now: Local time.
    """
    totals = [server.window_totals(now) for server in servers]
    work = sum(seconds for seconds, _answers in totals)
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
    """Draw an estimate towards the median by as much as it may be off by chance.

    Small differences between servers with few answers count as none.
    """
    distance = math.log(seconds / median_seconds)
    noise = TIME_VARIANCE / (responses + PRIOR_RESPONSES)
    kept_fraction = distance**2 / (distance**2 + noise)
    maximum_distance = math.log(MAXIMUM_MEDIAN_RATIO)
    return median_seconds * math.exp(
        min(maximum_distance, max(-maximum_distance, distance * kept_fraction))
    )
