"""Removes the stored requests of a job once none of its items can run any more.

A keeper retains a job for two minutes after its acceptance, so that its results can be read. Paths,
headers and bodies, which cause most of the growth of the keeper's memory, are no longer needed
then: a body is read only for an item without a result in an open job.
"""

import msgspec

from merlinstand.batch_calls.jobs import BatchItem, BatchJob

_NO_HEADERS: dict[str, str] = {}
"""Shared by all items; items are never modified."""


def strip_requests(job: BatchJob) -> BatchJob:
    """Return the job without its items' paths, headers and bodies."""
    return msgspec.structs.replace(job, items=tuple(_without_request(item) for item in job.items))


def _without_request(item: BatchItem) -> BatchItem:
    return BatchItem(
        item_id=item.item_id,
        path="",
        headers=_NO_HEADERS,
        body=b"",
        maximum_tokens=item.maximum_tokens,
        expected_tokens=item.expected_tokens,
        group=item.group,
    )
