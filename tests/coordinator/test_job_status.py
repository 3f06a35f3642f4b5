"""`GET /v1/jobs` shows why a job's demand cannot be met, with its demand and capacity."""

from typing import Any

import pytest

from merlinstand.configuration.objects import JobPhase
from merlinstand.coordinator.settings import GenerationSettings
from tests.coordinator.driver import CoordinatorDriver, make_job

STEP_SECONDS = 10


def _status(driver: CoordinatorDriver) -> dict[str, Any]:
    answer = driver.answer_to(driver.post("/v1/jobs", b"", method="GET"))
    assert answer is not None
    assert answer[0] == 200
    (job,) = answer[1]["jobs"]
    return dict(job)


@pytest.mark.parametrize(
    ("changes", "code"),
    [
        ({}, ""),
        ({"prompts": ()}, "no_prompts"),
        ({"model": "another"}, "wrong_pool"),
        ({"phase": JobPhase.PAUSED, "prompts": ()}, ""),
    ],
)
def test_a_job_whose_demand_cannot_be_met_shows_the_reason(
    changes: dict[str, Any], code: str
) -> None:
    driver = CoordinatorDriver(make_job(**changes))
    assert _status(driver)["problem"] == code


def test_a_pool_without_serving_engines_is_reported() -> None:
    driver = CoordinatorDriver()
    for backend in driver.pool.backends:
        driver.serve(backend.backend_id, 1, state="failed")
    driver.tick(1.0)
    assert _status(driver)["problem"] == "no_engines"


def _run_one_step(concurrency: int, tokens: int) -> CoordinatorDriver:
    """Run one step of 10 s with a batch of 4 samples of `tokens` tokens, each made in 1 s."""
    generation = GenerationSettings(engine_concurrency=concurrency)
    driver = CoordinatorDriver(make_job(maximum_tokens=10_000), generation=generation)
    first = driver.ask(0, "a")
    for _ in range(30):
        started = driver.open_streams()
        driver.tick(1.0)
        for stream in started:
            driver.complete(stream, version=1, tokens=tokens)
        driver.settle()
        if driver.answer_to(first) is not None:
            break
    driver.batch_of(first)
    for _ in range(STEP_SECONDS):
        driver.tick(1.0)
    driver.ask(1, "b", last_nonce="a")
    for stream in driver.open_streams():
        driver.complete(stream, version=1, tokens=tokens)
    driver.settle()
    return driver


def test_demand_and_capacity_are_reported_for_a_job_without_problem() -> None:
    status = _status(_run_one_step(concurrency=8, tokens=100))
    assert status["problem"] == ""
    # A batch of 4 samples of 100 tokens every 10 s.
    assert status["needed_tokens_per_second"] == pytest.approx(40.0, rel=0.2)
    assert status["capacity_tokens_per_second"] > status["needed_tokens_per_second"]


def test_a_job_beyond_its_share_reports_demand_and_capacity() -> None:
    driver = _run_one_step(concurrency=8, tokens=100)
    busy = make_job(maximum_tokens=10_000, batch_size=4_000)
    driver.configure(busy)
    status = _status(driver)
    assert status["problem"] == "too_little_capacity"
    assert status["needed_tokens_per_second"] > status["capacity_tokens_per_second"]
    assert f"{status['needed_tokens_per_second']:.0f} tokens/s" in status["detail"]
