"""Measures what floods of one and of two callers do to another caller's lookups.

    python -m benchmarks.flood [--seeds 10] [--places 2 8]

The gateway's own reducer before a pool at its concurrency limit; the servers answer after a
lognormal time whatever their load. Figures are virtual seconds: the machine's load does not matter.
"""

import argparse
import heapq
from collections import Counter
from collections.abc import Sequence
from random import Random

import msgspec

from merlinstand.common.ids import CallId, RequestId
from merlinstand.configuration.objects import Limits
from merlinstand.gateway.agenda import AGENDA_TIMER
from merlinstand.gateway.settings import RequestSettings
from merlinstand.kernel.effects import CancelCall, Effect, Respond, SetTimer, StartCall
from merlinstand.kernel.events import CallResponded, Event, RequestReceived, TimerFired
from tests.gateway.driver import GatewayDriver, service_pool

SERVERS = 3
SERVICE_MEDIAN_SECONDS = 0.004
SERVICE_SIGMA = 0.5
SERVICE_MEAN_SECONDS = SERVICE_MEDIAN_SECONDS * 1.133
"""Of the lognormal: median * exp(sigma**2 / 2)."""
QUIET_PER_SECOND = 50.0
FLOOD_SHARE = 1.5
"""Lookups that each flood sends, as a multiple of what the pool can serve."""
FIRST_FLOOD_SECONDS = 2.0
"""The pool is busy for so long before the quiet caller comes and is measured."""
SECOND_FLOOD_SECONDS = 12.0
"""Another caller's flood begins."""
END_SECONDS = 22.0
STARTS_SECONDS = {
    "first-flood": 0.0,
    "quiet": FIRST_FLOOD_SECONDS,
    "second-flood": SECOND_FLOOD_SECONDS,
}
BEGIN = 101.0
UNLIMITED_PER_SECOND = 1e9


class Figures(msgspec.Struct, frozen=True):
    """What the quiet caller saw."""

    p50_seconds: float
    p99_seconds: float
    refused_share: float


class World:
    """A gateway, its servers, and two callers."""

    def __init__(self, seed: int, places: int, flood_per_second: float) -> None:
        """Plan the first arrivals."""
        limits = [
            Limits(
                caller=name,
                requests_per_second=UNLIMITED_PER_SECOND,
                tokens_per_second=UNLIMITED_PER_SECOND,
            )
            for name in STARTS_SECONDS
        ]
        pool = service_pool(count=SERVERS, maximum_concurrency=places)
        requests = RequestSettings(hedge_factor=0.0)
        self._gateway = GatewayDriver([pool], limits=limits, requests=requests).gateway
        # One source for each use: the quiet caller's arrivals are the same in paired runs.
        self._arrivals = {name: Random(f"{seed}/{name}") for name in STARTS_SECONDS}
        self._service = Random(f"{seed}/service")
        self._rates = {name: flood_per_second for name in STARTS_SECONDS}
        self._rates["quiet"] = QUIET_PER_SECOND
        self._events: list[tuple[float, int, Event | str]] = []
        self._number = 0
        self._sent_at: dict[str, float] = {}
        self._cancelled: set[CallId] = set()
        self._timer_at: float | None = None
        self.times: list[float] = []
        self.refused = 0
        self._requests: Counter[str] = Counter()
        self._seed = seed
        self._end = BEGIN + END_SECONDS
        for name, rate in self._rates.items():
            if rate > 0.0:
                self._plan(BEGIN + STARTS_SECONDS[name], name)

    def run(self) -> Figures:
        """Run to the end."""
        while self._events:
            now, _, event = heapq.heappop(self._events)
            if isinstance(event, str):
                self._arrive(event, now)
                continue
            if isinstance(event, CallResponded) and event.call_id in self._cancelled:
                self._cancelled.discard(event.call_id)
                continue
            if isinstance(event, TimerFired):
                if self._timer_at != now:
                    continue
                self._timer_at = None
            self._perform(self._gateway.reduce(event, now), now)
        self.times.sort()
        count = len(self.times)
        asked = count + self.refused
        return Figures(
            self.times[count // 2], self.times[int(count * 0.99)], self.refused / max(1, asked)
        )

    def _plan(self, at: float, event: Event | str) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, event))

    def _arrive(self, caller: str, now: float) -> None:
        following = now + self._arrivals[caller].expovariate(self._rates[caller])
        if following < self._end:
            self._plan(following, caller)
        self._requests[caller] += 1
        endpoint_id = RequestId(f"{caller}-{self._requests[caller]}")
        headers = {"x-caller": caller, "x-request-id": endpoint_id}
        self._sent_at[endpoint_id] = now
        received = RequestReceived(endpoint_id, "GET", "/shop-api/a", headers, b"", "10.8.0.1")
        self._perform(self._gateway.reduce(received, now), now)

    def _perform(self, effects: Sequence[Effect], now: float) -> None:
        for effect in effects:
            if isinstance(effect, StartCall):
                if effect.path != "/a":
                    continue
                request_id = effect.headers["x-request-id"]
                answer = CallResponded(effect.call_id, 200, {"x-request-id": request_id}, b"{}")
                self._plan(now + self._service_seconds(request_id), answer)
            elif isinstance(effect, CancelCall):
                self._cancelled.add(effect.call_id)
            elif isinstance(effect, SetTimer) and effect.name == AGENDA_TIMER:
                self._timer_at = now + effect.delay_seconds
                self._plan(self._timer_at, TimerFired(AGENDA_TIMER))
            elif isinstance(effect, Respond):
                self._answered(effect, now)

    def _service_seconds(self, request_id: str) -> float:
        # The quiet caller's requests take the same time in paired runs.
        quiet = request_id.startswith("quiet")
        source = Random(f"{self._seed}/{request_id}") if quiet else self._service
        return source.lognormvariate(0.0, SERVICE_SIGMA) * SERVICE_MEDIAN_SECONDS

    def _answered(self, effect: Respond, now: float) -> None:
        sent_at = self._sent_at.pop(effect.request_id)
        if not effect.request_id.startswith("quiet"):
            return
        if effect.status == 200:
            self.times.append(now - sent_at)
        else:
            self.refused += 1


def main() -> None:
    """Run pairs over seeds and print one line for each number of places."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--places", type=int, nargs="+", default=[2, 8])
    arguments = parser.parse_args()
    for places in arguments.places:
        capacity = SERVERS * places / SERVICE_MEAN_SECONDS
        ratios = []
        pairs = []
        for seed in range(arguments.seeds):
            calm = World(seed, places, 0.0).run()
            flooded = World(seed, places, FLOOD_SHARE * capacity).run()
            pairs.append((calm, flooded))
            ratios.append(flooded.p99_seconds / calm.p99_seconds)
        ratios.sort()
        calm_p99 = sum(calm.p99_seconds for calm, _ in pairs) / len(pairs)
        flood_p99 = sum(flooded.p99_seconds for _, flooded in pairs) / len(pairs)
        refused = sum(flooded.refused_share for _, flooded in pairs) / len(pairs)
        print(
            f"places={places} capacity/s={capacity:.0f} p99 alone={calm_p99:.5f}"
            f" flooded={flood_p99:.5f} s, ratio mean={sum(ratios) / len(ratios):.3f}"
            f" worst={ratios[-1]:.3f}, refused share={refused:.4f}"
        )


if __name__ == "__main__":
    main()
