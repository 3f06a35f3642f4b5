"""Limits the bytes of the batch jobs that keepers hold, so that none runs out of memory.

The leader decides before it proposes a job. A replica holds the requests of all items while one of
them may still run (`state_machine`); after that they are dropped, and the job counts no longer.
"""

from collections.abc import Mapping

from merlinstand.batch_calls.calls import NoRoom
from merlinstand.batch_calls.jobs import BatchJob
from merlinstand.batch_jobs.state_machine import JobState
from merlinstand.decisions.return_order import ReturnOrder

MINIMUM_RETRY_AFTER_SECONDS = 1.0
"""Smallest Retry-After: jobs take seconds."""
USUAL_JOB_SECONDS = 5.0
"""How long a job that fills the room is assumed to be open."""


class JobRoom:
    """Decides whether a new job fits beside the open ones."""

    def __init__(self, maximum_bytes: int) -> None:
        """Start without jobs.

        Args:
            maximum_bytes: Maximum size of the open jobs; 0 for no limit.
        """
        self._maximum_bytes = maximum_bytes
        self._sizes: dict[str, int] = {}
        """Sizes of the open jobs, by id."""
        self._returns = ReturnOrder(MINIMUM_RETRY_AFTER_SECONDS, USUAL_JOB_SECONDS)

    def find_shortage(
        self, job: BatchJob, jobs: Mapping[str, JobState], now: float
    ) -> NoRoom | None:
        """Return the reply to a job that does not fit; None if it fits, or if it is the only one.

        Args:
            job: The new job.
            jobs: All jobs by id.
            now: Local time in seconds.
        """
        if not self._maximum_bytes:
            return None
        self._sizes = {
            job_id: self._sizes.get(job_id) or job_bytes(state.job)
            for job_id, state in jobs.items()
            if state.is_open
        }
        held = sum(self._sizes.values())
        size = job_bytes(job)
        if not held or held + size <= self._maximum_bytes:
            return None
        retry_after = self._returns.retry_after_seconds(now, size / self._maximum_bytes)
        detail = f"open jobs hold {held} of {self._maximum_bytes} bytes, this job has {size}"
        return NoRoom(detail, round(retry_after, 3))


def job_bytes(job: BatchJob) -> int:
    """Return the size of a job's requests, in bytes, without the overhead of its objects."""
    scoring = sum(len(item.scoring.body) for item in job.items if item.scoring is not None)
    return scoring + sum(len(item.body) for item in job.items)
