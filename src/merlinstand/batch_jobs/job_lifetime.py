"""Decides when the items of a job expire and when a job is deleted (pure functions).

The leading keeper's daemon uses it at each tick. Ages are measured in group time, the replicated
clock of the consensus group, so that they stay consistent when the leader changes.
"""

from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.cluster.routes import Route

DELETION_DELAY_SECONDS = 5.0
"""Jobs are kept for this long after the end of their retention (`result_retention_seconds`)."""


def is_expired(job: JobState, route: Route | None, group_time: float) -> bool:
    """Return whether the items of a job that have no result yet are to be terminated.

    Args:
        job: The job.
        route: Route of the job; None if the route no longer exists, in which case items do not
            expire.
        group_time: Current group time in seconds.
    """
    if not job.is_open or route is None:
        return False
    return group_time - job.accepted_at > route.maximum_queue_seconds


def is_deletable(job: JobState, retention_seconds: float, group_time: float) -> bool:
    """Return whether a job may be deleted: it has been ended, and its retention period is over.

    Args:
        job: The job.
        retention_seconds: Time after the acceptance of a job during which its results stay
            readable.
        group_time: Current group time in seconds.
    """
    return (
        job.is_ended and group_time - job.accepted_at > retention_seconds + DELETION_DELAY_SECONDS
    )
