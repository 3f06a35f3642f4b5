"""Expiry of a job's items and deletion of jobs."""

import msgspec
import pytest

from merlinstand.batch_calls.jobs import BatchItem, BatchJob
from merlinstand.batch_jobs.job_lifetime import DELETION_DELAY_SECONDS, is_deletable, is_expired
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.cluster.routes import Route
from tests.batch_jobs.test_runner_scheduling import ROUTE

LIMITED_ROUTE = msgspec.structs.replace(ROUTE, maximum_queue_seconds=60.0)
ACCEPTED_AT = 100.0


def job(is_ended: bool = False) -> JobState:
    item = BatchItem(item_id="i", path="/l/", headers={}, body=b"")
    accepted = BatchJob(job_id="j", host="h", path="/l/", items=(item,))
    return JobState(accepted, ACCEPTED_AT, is_ended=is_ended)


@pytest.mark.parametrize(
    ("age", "is_ended", "route", "expected"),
    [
        pytest.param(60.0, False, LIMITED_ROUTE, False, id="within the queue time"),
        pytest.param(60.5, False, LIMITED_ROUTE, True, id="expired"),
        pytest.param(60.5, True, LIMITED_ROUTE, False, id="ended job"),
        pytest.param(60.5, False, None, False, id="route removed"),
    ],
)
def test_unfinished_items_expire_after_the_maximum_queue_time(
    age: float, is_ended: bool, route: Route | None, expected: bool
) -> None:
    assert is_expired(job(is_ended), route, ACCEPTED_AT + age) is expected


@pytest.mark.parametrize(
    ("age", "is_ended", "expected"),
    [
        pytest.param(120.0 + DELETION_DELAY_SECONDS, True, False, id="within the retention"),
        pytest.param(120.5 + DELETION_DELAY_SECONDS, True, True, id="after the retention"),
        pytest.param(120.5 + DELETION_DELAY_SECONDS, False, False, id="not ended"),
    ],
)
def test_ended_jobs_are_deletable_after_their_retention(
    age: float, is_ended: bool, expected: bool
) -> None:
    assert is_deletable(job(is_ended), 120.0, ACCEPTED_AT + age) is expected
