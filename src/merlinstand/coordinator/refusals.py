"""What a trainer without a batch is answered, and after how many seconds it should ask again.

Every refusal that names a time is made here. The time goes out twice: exactly in the body
(`retry_after_seconds`), and as `Retry-After` in seconds with two decimals (`Context.refuse`).
Nothing is lost by any of them: the same request may be sent again. The functions are pure.
"""

from merlinstand.coordinator.errors import NoLeaseError, NotReadyError

PAUSED_RETRY_SECONDS = 2.0
"""Seconds until a trainer asks again for a batch of a paused job: an operator must resume the job
first, so nothing is gained by asking often. Chosen, not measured."""

NO_LEASE_RETRY_SECONDS = 0.5
"""Seconds until a trainer asks again where no coordinator is known to lead its job. Chosen, not
measured."""

NOT_READY_RETRY_SECONDS = 0.05
"""Seconds until a trainer asks again whose batch is not there: its request was already held for
`GenerationSettings.pull_hold_seconds`, or the batch was there and grew too old on its way. Chosen,
not measured."""

LEDGER_REFUSED_RETRY_SECONDS = 0.2
"""Seconds until a trainer asks again after the ledger refused its batch: time for the
configuration, which coordinators pull four times a second, to catch up. Chosen, not measured."""


def job_paused() -> NotReadyError:
    """Refuse a batch of a job that an operator paused."""
    return NotReadyError(detail="the job is paused", retry_after_seconds=PAUSED_RETRY_SECONDS)


def batch_not_ready() -> NotReadyError:
    """Refuse after a request was held as long as requests are."""
    return NotReadyError(
        detail="the batch is not ready", retry_after_seconds=NOT_READY_RETRY_SECONDS
    )


def batch_outdated() -> NotReadyError:
    """Refuse a batch that may exceed its staleness bound, since its commit took so long.

    A newer version may be published meanwhile; staleness is judged again when the trainer asks.
    """
    return NotReadyError(
        detail="the batch may have grown too old on its way",
        retry_after_seconds=NOT_READY_RETRY_SECONDS,
    )


def ledger_refused(code: str) -> NotReadyError:
    """Refuse a batch that the ledger refused.

    Args:
        code: Code of the ledger's refusal.
    """
    return NotReadyError(detail=code, retry_after_seconds=LEDGER_REFUSED_RETRY_SECONDS)


def lease_lost(reason: str) -> NoLeaseError:
    """Refuse the trainers that wait here for a job which is no longer led here.

    Args:
        reason: Why the lease is gone, for people.
    """
    return NoLeaseError(
        detail=f"this coordinator no longer leads the job ({reason})",
        retry_after_seconds=NO_LEASE_RETRY_SECONDS,
    )


def not_ready_to_lead() -> NoLeaseError:
    """Answer a readiness check while this coordinator may take no new work."""
    return NoLeaseError(
        detail="no proof of the newest configuration, or stopping",
        retry_after_seconds=NO_LEASE_RETRY_SECONDS,
    )


def no_leader_known(job: str) -> NoLeaseError:
    """Refuse a batch of a job whose coordinator is not known here.

    Args:
        job: The job's name.
    """
    return NoLeaseError(
        detail=f"no coordinator is known to lead {job}",
        retry_after_seconds=NO_LEASE_RETRY_SECONDS,
    )
