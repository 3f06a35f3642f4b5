"""Compares ways of choosing a replica on virtual time: load, prefix affinity, subset sizes.

    python -m benchmarks.replica_choice [--seeds 5]

The router's own code before a model of servers with a few workers and a queue each, one in eight
three times slower than the rest. Arrivals and work are the same for all ways under one seed.
"""

import argparse
import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from itertools import accumulate
from random import Random

import msgspec

from merlinstand.configuration.objects import Backend, Pool, PoolKind
from merlinstand.routing.affinity import PromptAffinity, prompt_affinity
from merlinstand.routing.membership import ReplicaState
from merlinstand.routing.router import CallResult, PoolRouter
from merlinstand.routing.settings import RouterSettings
from merlinstand.routing.status import ServiceStatus

ZONE = "hall-a"
WORKERS = 4
MEAN_SECONDS = 0.02
SLOW_EVERY = 8
SLOW_FACTOR = 3.0
LOAD = 0.7
"""Work asked for, as a share of what all servers can do."""
SECONDS = 30.0
STATUS_SECONDS = 0.5
STATUS_LAG_SECONDS = 0.5
PREFIXES = 400
"""Drawn by a Zipf law of exponent 0.8."""
CACHED_PREFIXES = 24
"""Prefixes that one server holds."""
MISS_FACTOR = 2.0
"""Work of a request whose prefix is not held, against one whose prefix is."""


_NAMES = [f"{number:05d}" * 60 for number in range(PREFIXES)]
_WEIGHTS = list(accumulate(1.0 / (rank + 1) ** 0.8 for rank in range(PREFIXES)))


class Way(msgspec.Struct, frozen=True, kw_only=True):
    """One way of choosing."""

    name: str
    round_robin: bool = False
    reports: bool = True
    report_share: float = RouterSettings().load_report_share
    affinity: bool = False
    prefixes: bool = False
    gateways: int = 3
    servers: int = 16
    subset_size: int = 16


class Request(msgspec.Struct, frozen=True):
    """One request."""

    gateway: int
    arrived_at: float
    work_seconds: float
    prefix: str


class Server:
    """A few workers and a queue."""

    def __init__(self, slow: bool) -> None:
        """Start idle."""
        self.factor = SLOW_FACTOR if slow else 1.0
        self.running = 0
        self.queue: deque[Request] = deque()
        self.cache: OrderedDict[str, None] = OrderedDict()
        self.hits = 0

    def work_seconds(self, request: Request, prefixes: bool) -> float:
        """Return how long a worker is busy with a request."""
        seconds = request.work_seconds * self.factor
        if not prefixes:
            return seconds
        hit = request.prefix in self.cache
        self.cache[request.prefix] = None
        self.cache.move_to_end(request.prefix)
        if len(self.cache) > CACHED_PREFIXES:
            self.cache.popitem(last=False)
        self.hits += hit
        return seconds if hit else seconds * MISS_FACTOR


class World:
    """Gateways, servers and requests under one way of choosing."""

    def __init__(self, way: Way, seed: int) -> None:
        """Lay everything out."""
        self._way = way
        self._random = Random(f"{seed}/arrivals")
        pool = Pool(
            name="pool",
            kind=PoolKind.SERVICE,
            maximum_concurrency=10_000,
            backends=tuple(
                Backend(f"server-{number}", f"10.0.0.{number}:80", ZONE)
                for number in range(way.servers)
            ),
        )
        self._servers = {
            backend.backend_id: Server(number % SLOW_EVERY == SLOW_EVERY - 1)
            for number, backend in enumerate(pool.backends)
        }
        names = [f"gateway-{number}" for number in range(way.gateways)]
        settings = RouterSettings(subset_size=way.subset_size, load_report_share=way.report_share)
        self._routers = [
            PoolRouter(name, ZONE, Random(f"{seed}/{name}"), settings) for name in names
        ]
        for router in self._routers:
            router.configure(pool, {}, {ZONE: names})
        self._turns = [0] * way.gateways
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = 0
        self._affinities: dict[str, PromptAffinity] = {}
        self.times: list[float] = []

    def run(self) -> list[float]:
        """Run to the end; return all times in order."""
        speed = sum(WORKERS / server.factor for server in self._servers.values())
        factor = (1.0 + MISS_FACTOR) / 2.0 if self._way.prefixes else 1.0
        rate = LOAD * speed / (MEAN_SECONDS * factor)
        at = 0.0
        while (at := at + self._random.expovariate(rate)) < SECONDS:
            prefix = self._random.choices(_NAMES, cum_weights=_WEIGHTS)[0]
            gateway = self._random.randrange(self._way.gateways)
            work_seconds = self._random.expovariate(1.0 / MEAN_SECONDS)
            request = Request(gateway, at, work_seconds, prefix)
            self._at(at, lambda now, request=request: self._arrive(request, now))  # type: ignore[misc]
        if self._way.reports:
            self._at(STATUS_SECONDS, self._report)
        while self._events:
            now, _, act = heapq.heappop(self._events)
            act(now)
        self.times.sort()
        return self.times

    @property
    def hit_share(self) -> float:
        """Share of requests whose prefix was held."""
        return sum(server.hits for server in self._servers.values()) / len(self.times)

    def _at(self, at: float, act: Callable[[float], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, act))

    def _arrive(self, request: Request, now: float) -> None:
        router = self._routers[request.gateway]
        if self._way.round_robin:
            names = list(router.replicas)
            self._turns[request.gateway] += 1
            backend_id = names[self._turns[request.gateway] % len(names)]
        else:
            affinity = self._affinity(request.prefix) if self._way.affinity else None
            backend_id = router.choose(now, affinity=affinity).unwrap().backend_id
        router.call_started(backend_id, now)
        server = self._servers[backend_id]
        if server.running < WORKERS:
            self._begin(backend_id, server, request, now)
        else:
            server.queue.append(request)

    def _affinity(self, prefix: str) -> PromptAffinity:
        if prefix not in self._affinities:
            self._affinities[prefix] = prompt_affinity(prefix)
        return self._affinities[prefix]

    def _begin(self, backend_id: str, server: Server, request: Request, now: float) -> None:
        server.running += 1
        seconds = server.work_seconds(request, self._way.prefixes)
        self._at(now + seconds, lambda end: self._end(backend_id, server, request, end))

    def _end(self, backend_id: str, server: Server, request: Request, now: float) -> None:
        server.running -= 1
        self.times.append(now - request.arrived_at)
        self._routers[request.gateway].call_finished(backend_id, CallResult.SUCCESS, now)
        if server.queue:
            self._begin(backend_id, server, server.queue.popleft(), now)

    def _report(self, now: float) -> None:
        """Every server's load becomes known to every gateway that uses it, some time later."""
        for backend_id, server in self._servers.items():
            load = server.running + len(server.queue)
            status = ServiceStatus(state=ReplicaState.READY, reported_at=now, in_flight=load)
            for router in self._routers:
                if backend_id in router.replicas:
                    self._at(
                        now + STATUS_LAG_SECONDS,
                        lambda at, router=router, name=backend_id, status=status: (  # type: ignore[misc]
                            router.status_received(name, status, at, at)
                        ),
                    )
        if now < SECONDS:
            self._at(now + STATUS_SECONDS, self._report)


def _load_ways(gateways: int) -> tuple[Way, ...]:
    return (
        Way(name="round robin", gateways=gateways, round_robin=True),
        Way(name="two choices, own requests", gateways=gateways, reports=False),
        Way(name="two choices, reports as they come", gateways=gateways, report_share=1.0),
        Way(name="two choices, reports averaged", gateways=gateways),
    )


WAYS = {
    "load, 3 gateways": _load_ways(3),
    "load, 24 gateways": _load_ways(24),
    "prefixes": (
        Way(name="by load alone", prefixes=True),
        Way(name="bounded-load affinity", prefixes=True, affinity=True),
    ),
    "subsets of 64 servers, 12 gateways": tuple(
        Way(name=f"{size} each", gateways=12, servers=64, subset_size=size)
        for size in (6, 8, 16, 32, 64)
    ),
}


def main() -> None:
    """Run every way under every seed and print means."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    seeds = parser.parse_args().seeds
    for question, ways in WAYS.items():
        print(question)
        baseline: list[float] = []
        for way in ways:
            worlds = [World(way, seed) for seed in range(seeds)]
            p99s = []
            p50s = []
            for world in worlds:
                times = world.run()
                p50s.append(times[len(times) // 2])
                p99s.append(times[int(len(times) * 0.99)])
            baseline = baseline or p99s
            ratios = sorted(own / other for own, other in zip(p99s, baseline, strict=True))
            line = (
                f"  {way.name:46} p50 {sum(p50s) / seeds:.4f} p99 {sum(p99s) / seeds:.4f} s,"
                f" p99 against the first {ratios[0]:.2f} to {ratios[-1]:.2f}"
            )
            if way.prefixes:
                line += f", held {sum(world.hit_share for world in worlds) / seeds:.2f}"
            print(line, flush=True)


if __name__ == "__main__":
    main()
