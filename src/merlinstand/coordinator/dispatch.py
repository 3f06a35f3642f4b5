"""Assigns generations to the engines of a pool: earliest batch first, jobs by their shares.

`dispatch` repeats the following until no job requests a stream:

1. The next job is the one whose first request is for the earliest batch; if several are, the one
   that uses the smallest part of its share.
2. A job at its stream limit gets no more streams in this round, unless more than
   `BORROWING_FREE_SHARE` of the pool's streams are free. The limit is the job's share of all
   streams, relative to the shares of all running jobs of the pool, including those led by other
   coordinators; at least one stream.
3. The stream is assigned to the least loaded engine that serves a version new enough for the batch
   and has a free stream (`EngineCapacity`). If there is none, the request is dropped; the next plan
   makes it again.

Each engine has `GenerationSettings.engine_concurrency` streams for this coordinator.
"""

import heapq
from collections import deque
from collections.abc import Iterable, Sequence
from typing import Protocol

import msgspec

from merlinstand.configuration.objects import Job, JobPhase, Weights
from merlinstand.coordinator.context import Context
from merlinstand.coordinator.engines import Engine, EnginePool
from merlinstand.coordinator.generation import Generation

BORROWING_FREE_SHARE = 0.25
"""A job may exceed its share of a pool while more than this part of the pool's streams is free.
Idle engines are used, and a job that becomes active again finds free streams immediately."""

SMALLEST_SHARE = 1e-6
"""Minimum share that is used for any job: avoids a division by zero, and is small enough to take
nothing from other jobs."""


class StreamRequest(msgspec.Struct, frozen=True):
    """A sample that a job wants to start or resume on an engine now."""

    batches_ahead: int
    """Number of batches that are due before the sample's batch; 0 for every resumed sample."""
    minimum_version: int
    """Oldest version that the engine may serve."""
    expected_tokens: float
    """Expected number of tokens still to be generated; 0 if the prompt is not known."""
    restarts: int
    """How often the sample was restarted; samples with more restarts go first."""
    slot: int
    generation: Generation | None = None
    """The generation to resume; None for a new sample."""


class DispatchedJob(Protocol):
    """The interface of a job that the dispatcher uses."""

    stream_limit: float
    """Limit on concurrent streams; set by the dispatcher."""

    @property
    def job(self) -> Job:
        """The job's configuration."""
        ...

    def streaming(self) -> int:
        """Return the number of streams in progress."""
        ...

    def stream_requests(self, context: Context, served_version: int) -> Sequence[StreamRequest]:
        """Return the requests that need no newer version than `served_version`, unordered."""
        ...

    def start_stream(self, context: Context, request: StreamRequest, engine: Engine) -> bool:
        """Start a stream on an engine; returns False if it cannot start now."""
        ...


class EngineCapacity:
    """Free streams of the serving engines, least loaded first."""

    def __init__(self, serving: Sequence[Engine], concurrency: int, now: float) -> None:
        """Read the engines' load once; `record_stream` updates it from then on."""
        self.total_streams = concurrency * len(serving)
        self._concurrency = concurrency
        self._requests = {
            engine.backend.backend_id: engine.estimated_requests(now) for engine in serving
        }
        self._by_version: dict[int, list[tuple[float, str]]] = {}
        self._engines = {engine.backend.backend_id: engine for engine in serving}
        for engine in serving:
            entry = (self._requests[engine.backend.backend_id], engine.backend.backend_id)
            heapq.heappush(self._by_version.setdefault(engine.active_version, []), entry)

    @property
    def newest_version(self) -> int:
        """Newest version that any engine serves."""
        return max(self._by_version, default=0)

    @property
    def free_streams(self) -> float:
        """Number of free streams on all engines."""
        return self.total_streams - sum(self._requests.values())

    def choose(self, minimum_version: int) -> Engine | None:
        """Return the least loaded engine with a free stream and at least a given version."""
        tops = [
            (heap[0], version)
            for version, heap in self._by_version.items()
            if version >= minimum_version
        ]
        if not tops:
            return None
        (requests, backend_id), _version = min(tops)
        return self._engines[backend_id] if requests < self._concurrency else None

    def record_stream(self, engine: Engine) -> None:
        """Count another stream on an engine that `choose` returned."""
        backend_id = engine.backend.backend_id
        self._requests[backend_id] += 1.0
        entry = (self._requests[backend_id], backend_id)
        heapq.heapreplace(self._by_version[engine.active_version], entry)


def dispatch(
    context: Context,
    pool: EnginePool,
    jobs: Sequence[DispatchedJob],
    all_jobs: Iterable[Job],
    weights: Weights | None,
) -> None:
    """Assign requested streams while the pool's engines have capacity.

    Args:
        context: State shared by the coordinator's components.
        pool: The engines.
        jobs: Jobs led by this coordinator on this pool.
        all_jobs: All configured jobs, including those led by other coordinators.
        weights: Published weights of the pool's model.
    """
    now = context.now
    serving = [engine for engine in pool.engines.values() if pool.serves(engine, weights, now)]
    engine_capacity = EngineCapacity(serving, context.settings.generation.engine_concurrency, now)
    limits = _set_stream_limits(engine_capacity, pool, jobs, all_jobs)
    if engine_capacity.free_streams < 1.0:
        return
    queues = [_request_queue(job, context, engine_capacity.newest_version) for job in jobs]
    while True:
        index = _next_job(queues, jobs)
        if index is None:
            return
        request = queues[index].popleft()
        may_borrow = (
            engine_capacity.free_streams > BORROWING_FREE_SHARE * engine_capacity.total_streams
        )
        if jobs[index].streaming() >= max(1.0, limits[index]) and not may_borrow:
            queues[index].clear()
            continue
        engine = engine_capacity.choose(request.minimum_version)
        if engine is not None and jobs[index].start_stream(context, request, engine):
            engine_capacity.record_stream(engine)


def _next_job(queues: Sequence[deque[StreamRequest]], jobs: Sequence[DispatchedJob]) -> int | None:
    """Return the index of the next job: earliest batch, then smallest used part of its share."""
    waiting = [index for index, queue in enumerate(queues) if queue]
    return min(
        waiting,
        key=lambda index: (queues[index][0].batches_ahead, _share_usage(jobs[index])),
        default=None,
    )


def _set_stream_limits(
    engine_capacity: EngineCapacity,
    pool: EnginePool,
    jobs: Sequence[DispatchedJob],
    all_jobs: Iterable[Job],
) -> list[float]:
    """Set and return each job's stream limit, by its share of the serving engines."""
    shares = _total_share(pool, all_jobs)
    for job in jobs:
        job.stream_limit = engine_capacity.total_streams * _share(job) / max(shares, _share(job))
    return [job.stream_limit for job in jobs]


def _request_queue(
    job: DispatchedJob, context: Context, newest_version: int
) -> deque[StreamRequest]:
    """Sort a job's requests: earliest batch, most restarts, then longest expected first."""
    ordered = sorted(
        job.stream_requests(context, newest_version),
        key=lambda request: (
            request.batches_ahead,
            -request.restarts,
            -request.expected_tokens,
            request.slot,
        ),
    )
    return deque(ordered)


def _share_usage(job: DispatchedJob) -> float:
    """Return a job's streams relative to its share."""
    return job.streaming() / _share(job)


def _total_share(pool: EnginePool, all_jobs: Iterable[Job]) -> float:
    return sum(
        max(other.share, SMALLEST_SHARE)
        for other in all_jobs
        if other.pool == pool.pool.name and other.phase is JobPhase.RUNNING
    )


def _share(job: DispatchedJob) -> float:
    return max(job.job.share, SMALLEST_SHARE)
