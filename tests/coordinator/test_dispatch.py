"""Engine streams are divided by the jobs' shares; unused ones may be borrowed."""

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
TOTAL_STREAMS = 2 * CONCURRENCY


class FakeJob(msgspec.Struct):
    """A job that requests more samples than there are streams."""

    job: Job
    wanted: int = 1_000
    batches_ahead: int = 0
    granted: int = 0
    stream_limit: float = 0.0
    engines: Counter[str] = msgspec.field(default_factory=Counter)

    def streaming(self) -> int:
        return self.granted

    def stream_requests(self, context: Context, served_version: int) -> list[StreamRequest]:
        slots = range(self.granted, self.granted + self.wanted)
        return [StreamRequest(self.batches_ahead, 0, 10.0, 0, slot) for slot in slots]

    def start_stream(self, context: Context, request: StreamRequest, engine: Engine) -> bool:
        self.granted += 1
        self.engines[engine.backend.backend_id] += 1
        return True


def _set_stream_limits(*fake_jobs: FakeJob, others: tuple[Job, ...] = ()) -> list[int]:
    driver = CoordinatorDriver(
        make_job(phase=JobPhase.PAUSED),
        pool=engine_pool(2),
        generation=GenerationSettings(engine_concurrency=CONCURRENCY),
    )
    context, pool = driver.daemon._context, driver.daemon._work.pool(POOL)
    assert pool is not None
    jobs = (*(fake_job.job for fake_job in fake_jobs), *others)
    dispatch(context, pool, fake_jobs, jobs, context.view.weights[MODEL])
    return [fake_job.granted for fake_job in fake_jobs]


def _job(name: str, share: float) -> Job:
    return make_job(name=name, share=share)


def test_busy_jobs_get_streams_by_their_shares() -> None:
    assert _set_stream_limits(FakeJob(_job("a", 3.0)), FakeJob(_job("b", 1.0))) == [12, 4]


def test_an_early_batch_does_not_use_another_job_s_share() -> None:
    soon, later = FakeJob(_job("a", 1.0)), FakeJob(_job("b", 1.0), batches_ahead=1)
    granted = _set_stream_limits(soon, later)
    # The job whose batch is due first borrows while a quarter of the pool is free, no more.
    assert granted[0] <= 0.75 * TOTAL_STREAMS
    assert sum(granted) == TOTAL_STREAMS


def test_a_single_busy_job_borrows_all_but_a_quarter_of_the_pool() -> None:
    lone, idle = FakeJob(_job("a", 1.0)), FakeJob(_job("b", 1.0), wanted=0)
    assert _set_stream_limits(lone, idle) == [TOTAL_STREAMS * 3 // 4, 0]


def test_jobs_led_by_other_coordinators_keep_their_share() -> None:
    assert _set_stream_limits(FakeJob(_job("a", 1.0)), others=(_job("b", 3.0),)) == [
        TOTAL_STREAMS * 3 // 4
    ]
    assert _set_stream_limits(FakeJob(_job("a", 1.0)), others=()) == [TOTAL_STREAMS]


def test_the_engines_are_loaded_evenly() -> None:
    fake_job = FakeJob(_job("a", 1.0), wanted=10)
    _set_stream_limits(fake_job)
    assert sorted(fake_job.engines.values()) == [5, 5]
