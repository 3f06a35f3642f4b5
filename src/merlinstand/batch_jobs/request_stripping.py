"""What is kept of a job's items once none of them may run any more.

A keeper keeps a job for two minutes after it was sent, so that its results can be read. Paths,
headers and bodies of its items are needed by nobody then: a body is given only of an item that is
not listed, in a job that is not ended. They were most of what a keeper grew by.
"""

import msgspec

from merlinstand.batch_calls.jobs import BatchItem, BatchJob

_NO_HEADERS: dict[str, str] = {}
"""One for all items; nobody writes into an item."""


def strip_requests(job: BatchJob) -> BatchJob:
    """Give the job with items that can be counted and listed, but no longer run."""
    return msgspec.structs.replace(job, items=tuple(_shed(item) for item in job.items))


def _shed(item: BatchItem) -> BatchItem:
    return BatchItem(
        item_id=item.item_id,
        path="",
        headers=_NO_HEADERS,
        body=b"",
        tokens=item.tokens,
        expected_tokens=item.expected_tokens,
        group=item.group,
    )
