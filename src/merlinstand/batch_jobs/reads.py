"""Readers that wait in the leading keeper for results."""

import msgspec

from merlinstand.batch_calls.calls import ResultsPage
from merlinstand.batch_calls.jobs import ItemResult
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.common.ids import RequestId

MAXIMUM_PAGE_BYTES = 900_000
"""Text of one page of results; one result is given however long it is."""


class ResultsWaiter(msgspec.Struct, frozen=True):
    """A reader that waits for a first result."""

    request_id: RequestId
    job_id: str
    position: int
    until: float


def results_page(job: JobState, position: int) -> ResultsPage:
    """Give the results from a position on, as far as they fit one page."""
    results: list[ItemResult] = []
    size = 0
    for result in job.results[position:]:
        size += result.length
        if results and size > MAXIMUM_PAGE_BYTES:
            break
        results.append(result)
    return ResultsPage(len(job.job.items), position, tuple(results))
