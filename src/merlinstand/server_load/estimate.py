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
from merlinstand.server_load.decaying_sum import WINDOW_SECONDS, DecayingSum, kept_share
from merlinstand.server_load.queueing import TIME_VARIANCE, slots_at_work
from merlinstand.server_load.reports import ReportedLoad, ServerTally, is_plausible

FIRST_SERVICE_SECONDS = 0.1
"""Taken for a server's time while none of its service has answered."""
NEWEST_SECONDS = 0.15
"""Requests at a server are counted over this time: queues come and go in less than the window."""
PRIOR_ANSWERS = 1.0
"""The earlier estimate counts as much as this many answers."""
FORGET_HALF_LIFE_SECONDS = 3.0
"""In this time an estimate without news moves half of the way to the median, in proportion: a
server that had stopped answering must answer some requests before it gets its full share."""
LEAST_SERVICE_SECONDS = 0.0001
LONGEST_SERVICE_SECONDS = 600.0
"""The median lies between these, whatever gateways count."""
LARGEST_RATIO = 30.0
"""An estimate lies within this ratio of the median, so that it can come back."""
REPORTED_FRESH_SECONDS = 0.3
"""What a server says of itself is used for this long: it changes many times a second."""
TOLD_SECONDS = 2.0
"""A server that has said nothing of itself for this long doesn't tell its load."""
LEAST_ANSWERS_PER_SECOND = 0.5
"""Below this a server counts as one that doesn't answer."""
BELIEVED_QUEUE = 2.0
"""Requests of others for each slot that a server is believed to have, at most."""
LARGEST_PACE_RATIO = 3.0
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
        self._counted_at = now
        self._busy_seconds = 0.0
        self._answers = 0.0
        self._held_seconds: float | None = None
        """The earlier estimate."""
        self._settled_at = now
        self._reported: ReportedLoad | None = None
        self._reported_at = float("-inf")
        self._newest_busy = DecayingSum(now, NEWEST_SECONDS)
        self._pace_sum = DecayingSum(now)
        self._pace_count = DecayingSum(now)

    @property
    def slots(self) -> int:
        """Requests that it works on at once; 0 if unknown."""
        if self.registered_slots > 0 or self._reported is None:
            return self.registered_slots
        return self._reported.slots

    def take(self, tally: ServerTally, weight: float, now: float) -> None:
        """Take in what a gateway counted.

        Args:
            tally: Its counts.
            weight: How much of them lies in the time that is looked at, 0 to 1.
            now: Local time.
        """
        self._pass_to(now)
        self._busy_seconds += tally.in_flight_seconds * weight
        self._answers += tally.answered * weight
        self._newest_busy.add(tally.in_flight_seconds * weight, now)
        if tally.reported is not None and is_plausible(tally.reported):
            self._reported = tally.reported
            self._reported_at = now
            self._pace_sum.add(tally.reported.slowdown, now)
            self._pace_count.add(1.0, now)

    def _pass_to(self, now: float) -> None:
        """Let time pass: what leaves the window goes into the earlier estimate."""
        left = 1.0 - kept_share(now - self._counted_at)
        self._counted_at = max(self._counted_at, now)
        if self._held_seconds is not None:
            work, answers = self._work_seconds() * left, self._answers * left
            held = PRIOR_ANSWERS * self._held_seconds
            self._held_seconds = (held + work) / (PRIOR_ANSWERS + answers)
        self._busy_seconds *= 1.0 - left
        self._answers *= 1.0 - left

    def _work_seconds(self) -> float:
        """Time that its slots worked within the window."""
        if self.slots <= 0:
            return self._busy_seconds
        in_flight = self._busy_seconds / WINDOW_SECONDS
        return slots_at_work(in_flight, self.slots) * WINDOW_SECONDS

    def in_flight(self, now: float) -> float:
        """Mean number of requests there.

        A server that says that it has more than gateways count works for others, too: it is
        believed up to a bound. One that says less isn't believed.
        """
        counted = self._newest_busy.per_second(now)
        if self._reported is None or now - self._reported_at > REPORTED_FRESH_SECONDS:
            return counted
        reported = float(self._reported.running + self._reported.waiting)
        return max(counted, min(reported, counted + BELIEVED_QUEUE * self.slots))

    def tells_load(self, now: float) -> bool:
        """Whether the server says with its answers how loaded it is."""
        return now - self._reported_at <= TOLD_SECONDS

    def hides_load(self, now: float) -> bool:
        """Whether it answers without saying how loaded it is; also false if it doesn't answer."""
        return not self.tells_load(now) and self.answers_per_second(now) >= LEAST_ANSWERS_PER_SECOND

    def answers_per_second(self, now: float) -> float:
        """Whole answers that gateways get from it."""
        self._pass_to(now)
        return self._answers / WINDOW_SECONDS

    def evidence(self, now: float) -> tuple[float, float]:
        """Give the seconds that its slots worked within the window, and its answers in it."""
        self._pass_to(now)
        return self._work_seconds(), self._answers

    def service_seconds(self, prior_seconds: float, now: float) -> float:
        """Time that a request takes once it runs, at the mean pace of the window.

        Args:
            prior_seconds: Taken for the earlier estimate while there is none.
            now: Local time.
        """
        self._pass_to(now)
        held = prior_seconds if self._held_seconds is None else self._held_seconds
        return (self._work_seconds() + PRIOR_ANSWERS * held) / (self._answers + PRIOR_ANSWERS)

    def settle(self, median_seconds: float, now: float) -> None:
        """Move the earlier estimate towards the median, for the time since the last call."""
        held = median_seconds if self._held_seconds is None else self._held_seconds
        passed = max(0.0, now - self._settled_at)
        self._settled_at = max(self._settled_at, now)
        ratio = (held / median_seconds) ** (0.5 ** (passed / FORGET_HALF_LIFE_SECONDS))
        ratio = min(LARGEST_RATIO, max(1.0 / LARGEST_RATIO, ratio))
        self._held_seconds = median_seconds * ratio

    def pace_ratio(self, now: float) -> float:
        """How long work takes there now, against the mean of the window; 1.0 if unknown."""
        if self._reported is None or now - self._reported_at > REPORTED_FRESH_SECONDS:
            return 1.0
        mean = self._pace_sum.value(now) / self._pace_count.value(now)
        ratio = self._reported.slowdown / mean
        return min(LARGEST_PACE_RATIO, max(1.0 / LARGEST_PACE_RATIO, ratio))


def estimate_service(servers: Sequence[ServerEstimate], now: float) -> tuple[float, ...]:
    """Give the present time that a request takes at each server of a service.

    Args:
        servers: All that take requests, with known slots; at least one.
        now: Local time.
    """
    evidence = [server.evidence(now) for server in servers]
    work = sum(seconds for seconds, _answers in evidence)
    answers = sum(count for _seconds, count in evidence)
    first = (work + FIRST_SERVICE_SECONDS) / (answers + 1.0)
    middle = median(server.service_seconds(first, now) for server in servers)
    middle = min(LONGEST_SERVICE_SECONDS, max(LEAST_SERVICE_SECONDS, middle))
    for server in servers:
        server.settle(middle, now)
    return tuple(
        _without_noise(server.service_seconds(middle, now), middle, count) * server.pace_ratio(now)
        for server, (_seconds, count) in zip(servers, evidence, strict=True)
    )


def _without_noise(seconds: float, median_seconds: float, answers: float) -> float:
    """Draw an estimate towards the median by as much as it may be off by chance.

    Small differences between servers with few answers count as none.
    """
    distance = math.log(seconds / median_seconds)
    noise = TIME_VARIANCE / (answers + PRIOR_ANSWERS)
    kept = distance**2 / (distance**2 + noise)
    furthest = math.log(LARGEST_RATIO)
    return median_seconds * math.exp(min(furthest, max(-furthest, distance * kept)))
