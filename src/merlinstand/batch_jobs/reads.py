"""Pages of results, and reads that wait for a result.

Every keeper can return pages of committed results; reads wait only at the leader, in
`gateway_calls`.
"""

import msgspec

from merlinstand.batch_calls.calls import ResultsPage
from merlinstand.batch_calls.jobs import ItemResult
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.common.ids import RequestId

MAXIMUM_PAGE_CHARACTERS = 900_000
"""Maximum characters of uncompressed text in one page of results. A page has at least one result,
whatever its length."""


class ResultsWaiter(msgspec.Struct, frozen=True):
    """A read call that waits for a result at its position."""

    request_id: RequestId
    job_id: str
    position: int
    """Position of the first result that the reader does not have."""
    deadline_at: float
    """Local time at which the read gets an empty page if there is no result yet."""


def make_results_page(job: JobState, position: int) -> ResultsPage:
    """Return the results from a position on that fit into one page."""
    results: list[ItemResult] = []
    size = 0
    for result in job.results[position:]:
        size += result.length
        if results and size > MAXIMUM_PAGE_CHARACTERS:
            break
        results.append(result)
    return ResultsPage(len(job.job.items), position, tuple(results))
