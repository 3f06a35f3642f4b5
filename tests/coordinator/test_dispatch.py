"""Places on a pool's engines are shared by the jobs' shares; what nobody wants may be borrowed."""

from collections import Counter

import msgspec

from merlinstand.configuration.objects import Job, JobPhase
from merlinstand.coordinator.context import Context
from merlinstand.coordinator.dispatch import StreamRequest, dispatch
from merlinstand.coordinator.engines import Engine
from merlinstand.coordinator.settings import GenerationSettings
from tests.coordinator.driver import CoordinatorDriver, engine_pool, make_job
from tests.coordinator.names import MODEL, POOL

CONCURRENCY = 8
PLACES = 2 * CONCURRENCY


class Wisher(msgspec.Struct):
    """A job that wants more samples than there are places."""

    job: Job
    wanted: int = 1_000
    round: int = 0
    granted: int = 0
    stream_limit: float = 0.0
    engines: Counter[str] = msgspec.field(default_factory=Counter)

    def streaming(self) -> int:
        return self.granted

    def stream_requests(self, context: Context, served_version: int) -> list[StreamRequest]:
        slots = range(self.granted, self.granted + self.wanted)
        return [StreamRequest(self.round, 0, 10.0, 0, slot) for slot in slots]

    def grant(self, context: Context, request: StreamRequest, engine: Engine) -> bool:
        self.granted += 1
        self.engines[engine.backend.backend_id] += 1
        return True


def _share_out(*wishers: Wisher, others: tuple[Job, ...] = ()) -> list[int]:
    driver = CoordinatorDriver(
        make_job(phase=JobPhase.PAUSED),
        pool=engine_pool(2),
        generation=GenerationSettings(engine_concurrency=CONCURRENCY),
    )
    context, pool = driver.daemon._context, driver.daemon._work.pool(POOL)
    assert pool is not None
    jobs = (*(wisher.job for wisher in wishers), *others)
    dispatch(context, pool, wishers, jobs, context.view.weights[MODEL])
    return [wisher.granted for wisher in wishers]


def _job(name: str, share: float) -> Job:
    return make_job(name=name, share=share)


def test_busy_jobs_get_places_by_their_shares() -> None:
    assert _share_out(Wisher(_job("a", 3.0)), Wisher(_job("b", 1.0))) == [12, 4]


def test_a_soon_batch_does_not_take_another_job_s_share() -> None:
    soon, later = Wisher(_job("a", 1.0)), Wisher(_job("b", 1.0), round=1)
    granted = _share_out(soon, later)
    # The job whose batch is due first borrows while a quarter of the pool is free, no more.
    assert granted[0] <= 0.75 * PLACES
    assert sum(granted) == PLACES


def test_a_lone_job_borrows_but_leaves_a_quarter_of_the_pool() -> None:
    lone, quiet = Wisher(_job("a", 1.0)), Wisher(_job("b", 1.0), wanted=0)
    assert _share_out(lone, quiet) == [PLACES * 3 // 4, 0]


def test_jobs_led_by_other_coordinators_keep_their_share() -> None:
    assert _share_out(Wisher(_job("a", 1.0)), others=(_job("b", 3.0),)) == [PLACES * 3 // 4]
    assert _share_out(Wisher(_job("a", 1.0)), others=()) == [PLACES]


def test_the_engines_are_loaded_evenly() -> None:
    wisher = Wisher(_job("a", 1.0), wanted=10)
    _share_out(wisher)
    assert sorted(wisher.engines.values()) == [5, 5]
