"""Samples that would be delivered stale are restarted on newer weights, with spare capacity."""

from collections.abc import Sequence

from merlinstand.configuration.objects import Job
from merlinstand.coordinator.refresh import Restartable, RestartBudget, Window
from tests.coordinator.driver import CoordinatorDriver, make_job
from tests.coordinator.engine_side import Stream

STEP_SECONDS = 60


def _straggler_after_a_publication(
    tokens: int, others: Sequence[Job] = ()
) -> tuple[CoordinatorDriver, Stream]:
    """Return a driver and a sample of version 1 that missed its batch; version 2 is published."""
    driver = CoordinatorDriver(make_job(maximum_tokens=10_000), other_jobs=others)
    first = driver.ask(0, "a")
    driver.tick()
    straggler = driver.open_streams()[-1]
    driver.chunk(straggler, tokens, version=1)
    for _ in range(3):
        started = driver.open_streams()
        driver.tick()
        for stream in started:
            if stream is not straggler:
                driver.complete(stream, version=1, tokens=50)
        driver.tick()
    driver.batch_of(first)
    for _ in range(STEP_SECONDS):
        driver.tick(1.0)
    driver.publish(2)
    driver.batch_of(_second_batch(driver))
    return driver, straggler


def _swap(driver: CoordinatorDriver) -> None:
    driver.serve_all(2)
    for _ in range(3):
        driver.tick()


def _second_batch(driver: CoordinatorDriver) -> str:
    second = driver.ask(1, "b", last_nonce="a")
    driver.settle()
    return second


def _assert_restarted(driver: CoordinatorDriver, straggler: Stream) -> None:
    again = [s for s in driver.open_streams() if _slot_name(s) == _slot_name(straggler)]
    assert [stream.request["resume"] for stream in again] == [None]
    assert again[0].request["seed"] == straggler.request["seed"]


def _slot_name(stream: Stream) -> str:
    return stream.request_id.split("~")[0]


def test_a_short_straggler_is_restarted_on_the_new_weights() -> None:
    driver, straggler = _straggler_after_a_publication(tokens=10)
    _swap(driver)
    assert straggler.request_id in driver.cancelled_requests
    _assert_restarted(driver, straggler)


def test_a_sample_finished_just_after_its_batch_was_delivered_is_restarted() -> None:
    driver, straggler = _straggler_after_a_publication(tokens=10)
    driver.end(straggler)
    driver.settle()
    _swap(driver)
    _assert_restarted(driver, straggler)


def test_a_long_straggler_is_not_restarted() -> None:
    driver, straggler = _straggler_after_a_publication(tokens=5_000)
    _swap(driver)
    assert straggler in driver.open_streams()
    assert straggler.request_id not in driver.cancelled_requests


def test_a_straggler_is_not_restarted_without_spare_capacity() -> None:
    # The job's share generates about 190 tokens before the next batch is due, which needs 200.
    # Samples of the delivered batch are kept until it is acknowledged, but do not count for the
    # next one.
    big = make_job(name="big", model="another", share=2_000.0)
    driver, straggler = _straggler_after_a_publication(tokens=10, others=[big])
    _swap(driver)
    assert straggler in driver.open_streams()
    assert straggler.request_id not in driver.cancelled_requests


def _single(slot: int, done_tokens: int) -> Restartable:
    return Restartable((slot,), done_tokens, float(done_tokens))


def _choose(candidates: list[Restartable], window: Window) -> list[int]:
    return RestartBudget().choose(candidates, window, version=2)


def test_the_shortest_samples_are_restarted_within_the_spare_tokens() -> None:
    candidates = [_single(1, 600), _single(2, 10), _single(3, 400)]
    window = Window(stream_tokens=1000.0, streams=3.0, needed_tokens=1000.0)
    assert window.spare_tokens == 500.0
    assert _choose(candidates, window) == [2, 3]
    busy = Window(stream_tokens=1000.0, streams=2.0, needed_tokens=2000.0)
    assert _choose(candidates, busy) == []


def test_the_budget_holds_for_all_engines_that_swap_before_one_batch() -> None:
    window = Window(stream_tokens=1000.0, streams=3.0, needed_tokens=1000.0)
    budget = RestartBudget()
    assert budget.choose([_single(1, 300)], window, version=2) == [1]
    assert budget.choose([_single(2, 300)], window, version=2) == []
    assert budget.choose([_single(2, 300)], window, version=3) == [2]


def test_a_sample_that_would_not_finish_in_time_is_not_restarted() -> None:
    window = Window(stream_tokens=1000.0, streams=100.0, needed_tokens=0.0)
    too_long = Restartable((1,), 10, 701.0)
    assert _choose([too_long, Restartable((2, 3), 500, 700.0)], window) == [2, 3]


def test_no_sample_is_restarted_when_the_batch_is_due() -> None:
    window = Window(stream_tokens=-5.0, streams=10.0, needed_tokens=0.0)
    assert _choose([_single(1, 10)], window) == []
