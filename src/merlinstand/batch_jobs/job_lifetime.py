"""How long a job's items are run, and how long a job is kept (pure decisions).

Used by the leading keeper's daemon at each tick. Times are in the group's own time, so that every
leader measures a job by the same clock.
"""

from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.cluster.routes import Route

DELETION_DELAY_SECONDS = 5.0
"""Jobs are kept for this many seconds longer than promised (`result_retention_seconds`). Chosen,
not measured."""


def is_expired(job: JobState, route: Route | None, group_time: float) -> bool:
    """Whether the items of a job that have no result yet are to be terminated.

    Args:
        job: A kept job.
        route: The job's; None if there is none any more, and then its items are kept.
        group_time: Present time in seconds.
    """
    if not job.is_open or route is None:
        return False
    return group_time - job.accepted_at > route.maximum_queue_seconds


def is_deletable(job: JobState, retention_seconds: float, group_time: float) -> bool:
    """Whether nobody may ask for a job any more: it was ended, and its time is over.

    Args:
        job: A kept job.
        retention_seconds: How long after its job was accepted a result stays readable.
        group_time: Present time in seconds.
    """
    return (
        job.is_ended and group_time - job.accepted_at > retention_seconds + DELETION_DELAY_SECONDS
    )
