"""Gives work to the engines of a pool: soonest batch first, jobs by their shares."""

from collections.abc import Callable, Iterable, Sequence
from typing import Protocol

import msgspec

from merlinstand.configuration.objects import Job, JobPhase, Weights
from merlinstand.coordinator.context import Context
from merlinstand.coordinator.engines import Engine, EnginePool
from merlinstand.coordinator.generation import Generation

BORROWING_FREE_SHARE = 0.25
"""A job may exceed its share of a pool while at least so much of the pool is free."""


class Wish(msgspec.Struct, frozen=True):
    """One sample that a job wants to begin or resume."""

    round: int
    minimum_version: int
    expected_tokens: float
    expirations: int
    slot: int
    generation: Generation | None = None
    """Set for a resumption."""


class WishingJob(Protocol):
    """A job as the dispatcher sees it."""

    @property
    def job(self) -> Job:
        """Its configuration."""
        ...

    def streaming(self) -> int:
        """Return its streams in progress."""
        ...

    def wishes(self, context: Context) -> Sequence[Wish]:
        """Return what it wants to begin, of any order."""
        ...

    def grant(self, context: Context, wish: Wish, engine: Engine) -> bool:
        """Begin a wish on an engine; returns False if it cannot begin now."""
        ...


def dispatch(
    context: Context,
    pool: EnginePool,
    jobs: Sequence[WishingJob],
    all_jobs: Iterable[Job],
    weights: Weights | None,
) -> None:
    """Hand out what the pool's engines have room for.

    Args:
        context: Shared state.
        pool: The engines.
        jobs: Jobs led by this coordinator on this pool.
        all_jobs: Every configured job, whoever leads it.
        weights: Published weights of the pool's model.
    """
    serving = [
        engine for engine in pool.engines.values() if pool.serves(engine, weights, context.now)
    ]
    if not serving:
        return
    queues = {index: _sorted_wishes(job.wishes(context)) for index, job in enumerate(jobs)}
    limits = [_limit(context, pool, job.job, all_jobs, serving) for job in jobs]
    while any(queues.values()):
        index = min(
            (index for index in queues if queues[index]),
            key=lambda index: (
                queues[index][0].round,
                jobs[index].streaming() / _share(jobs[index]),
            ),
        )
        wish = queues[index].pop(0)
        if jobs[index].streaming() >= limits[index]():
            queues[index] = []
            continue
        engine = _choose(context, serving, wish)
        if engine is not None:
            jobs[index].grant(context, wish, engine)


def _sorted_wishes(wishes: Sequence[Wish]) -> list[Wish]:
    """Order a job's wishes: soonest batch, expired before, then longest expected first."""
    return sorted(
        wishes,
        key=lambda wish: (wish.round, -wish.expirations, -wish.expected_tokens, wish.slot),
    )


def _choose(context: Context, serving: Sequence[Engine], wish: Wish) -> Engine | None:
    concurrency = context.settings.generation.engine_concurrency
    fitting = [
        engine
        for engine in serving
        if engine.active_version >= wish.minimum_version and engine.work(context.now) < concurrency
    ]
    if not fitting:
        return None
    return min(fitting, key=lambda engine: (engine.work(context.now), engine.backend.backend_id))


def _limit(
    context: Context,
    pool: EnginePool,
    job: Job,
    all_jobs: Iterable[Job],
    serving: Sequence[Engine],
) -> Callable[[], float]:
    """Return a function giving the most streams that a job may have now."""
    capacity = context.settings.generation.engine_concurrency * len(serving)
    shares = sum(
        max(other.share, 0.0)
        for other in all_jobs
        if other.pool == pool.pool.name and other.phase is JobPhase.RUNNING
    )
    own_limit = max(1.0, capacity * max(job.share, 0.0) / shares) if shares > 0 else capacity

    def limit() -> float:
        work = sum(engine.work(context.now) for engine in serving)
        may_borrow = capacity - work > BORROWING_FREE_SHARE * capacity
        return float(capacity) if may_borrow else own_limit

    return limit


def _share(job: WishingJob) -> float:
    return max(job.job.share, 1e-6)
