"""What readers of results get, and those that wait for a first one.

Every keeper gives pages of what is committed; readers wait in the leading one, in `gateway_calls`.
"""

import msgspec

from merlinstand.batch_calls.calls import ResultsPage
from merlinstand.batch_calls.jobs import ItemResult
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.common.ids import RequestId

MAXIMUM_PAGE_BYTES = 900_000
"""Characters of text in one page of results, counted unpacked; one result is given however long it
is. Chosen, not measured."""


class ResultsWaiter(msgspec.Struct, frozen=True):
    """A reader that waits for a first result."""

    request_id: RequestId
    job_id: str
    position: int
    """Of the first result that it lacks."""
    until: float
    """Local time at which it is answered without one."""


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
