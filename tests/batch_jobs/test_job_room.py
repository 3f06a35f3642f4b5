"""Batch jobs that don't fit beside the open ones are rejected, with a time to come back."""

from merlinstand.batch_calls.calls import NoRoom
from merlinstand.batch_calls.jobs import BatchItem, BatchJob, ScoringCall
from merlinstand.batch_jobs.job_room import JobRoom, job_bytes
from merlinstand.batch_jobs.state_machine import JobState

LIMIT_BYTES = 100


def make_job(name: str, size: int) -> BatchJob:
    scoring = ScoringCall("s", "h", "/", b"x" * 10)
    item = BatchItem(item_id="i", path="/", headers={}, body=b"x" * (size - 10), scoring=scoring)
    return BatchJob(job_id=name, host="h", path="/", items=(item,))


def make_jobs(*sizes: int) -> dict[str, JobState]:
    return {f"{n}": JobState(make_job(f"{n}", size), 0.0) for n, size in enumerate(sizes)}


def test_size_counts_items_and_scoring_calls() -> None:
    assert job_bytes(make_job("a", 30)) == 30


def test_only_job_is_accepted_however_large() -> None:
    assert JobRoom(LIMIT_BYTES).find_shortage(make_job("a", 1000), {}, 0.0) is None


def test_job_that_fits_is_accepted() -> None:
    room = JobRoom(LIMIT_BYTES)
    assert room.find_shortage(make_job("a", 40), make_jobs(30, 30), 0.0) is None


def test_jobs_that_do_not_fit_return_one_after_the_other() -> None:
    room = JobRoom(LIMIT_BYTES)
    replies = [room.find_shortage(make_job("a", 41), make_jobs(60), 7.0) for _ in range(2)]
    first, second = (reply for reply in replies if isinstance(reply, NoRoom))
    assert 0.0 < first.retry_after_seconds < second.retry_after_seconds
    assert "60 of 100 bytes" in first.detail


def test_jobs_that_have_ended_do_not_count() -> None:
    room = JobRoom(LIMIT_BYTES)
    jobs = make_jobs(90)
    assert room.find_shortage(make_job("a", 20), jobs, 0.0) is not None
    jobs["0"].is_ended = True
    assert room.find_shortage(make_job("a", 200), jobs, 0.0) is None


def test_no_limit() -> None:
    assert JobRoom(0).find_shortage(make_job("a", 10**6), make_jobs(10**6), 0.0) is None
