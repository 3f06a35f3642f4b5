"""Errors for trainers whose request got no batch, with the delay before they should retry.

Every error with a retry delay is created here. The delay is sent exactly in the body
(`retry_after_seconds`), and in the `Retry-After` header in seconds with two decimals
(`Context.refuse`). The same request may always be sent again. The functions are pure.
"""

from merlinstand.coordinator.errors import NoLeaseError, NotReadyError

PAUSED_RETRY_SECONDS = 2.0
"""Retry delay for a paused job. An operator must resume the job first, so frequent retries are
useless."""

NO_LEASE_RETRY_SECONDS = 0.5
"""Retry delay if no coordinator is known to lead the job."""

NOT_READY_RETRY_SECONDS = 0.05
"""Retry delay if the batch is not ready: the request was already held for
`GenerationSettings.pull_hold_seconds`, or the batch became too old during its commit."""

LEDGER_REFUSED_RETRY_SECONDS = 0.2
"""Retry delay after the ledger refused the batch: time for the configuration, which coordinators
pull four times a second, to catch up."""


def job_paused() -> NotReadyError:
    """Return the error for a job that an operator paused."""
    return NotReadyError(detail="the job is paused", retry_after_seconds=PAUSED_RETRY_SECONDS)


def batch_not_ready() -> NotReadyError:
    """Return the error for a request that was held for the maximum time."""
    return NotReadyError(
        detail="the batch is not ready", retry_after_seconds=NOT_READY_RETRY_SECONDS
    )


def batch_outdated() -> NotReadyError:
    """Return the error for a batch that may exceed its staleness bound after its commit.

    A newer version may have been published during the commit. Staleness is checked again when the
    trainer retries.
    """
    return NotReadyError(
        detail="the batch may have grown too old on its way",
        retry_after_seconds=NOT_READY_RETRY_SECONDS,
    )


def ledger_refused(code: str) -> NotReadyError:
    """Return the error for a batch that the ledger refused.

    Args:
        code: Error code of the ledger.
    """
    return NotReadyError(detail=code, retry_after_seconds=LEDGER_REFUSED_RETRY_SECONDS)


def lease_lost(reason: str) -> NoLeaseError:
    """Return the error for waiting trainers whose job this coordinator no longer leads.

    Args:
        reason: Why the lease was lost, as readable text.
    """
    return NoLeaseError(
        detail=f"this coordinator no longer leads the job ({reason})",
        retry_after_seconds=NO_LEASE_RETRY_SECONDS,
    )


def not_ready_to_lead() -> NoLeaseError:
    """Return the error for a readiness check while no new work may be taken."""
    return NoLeaseError(
        detail="no proof of the newest configuration, or stopping",
        retry_after_seconds=NO_LEASE_RETRY_SECONDS,
    )


def no_leader_known(job: str) -> NoLeaseError:
    """Return the error for a job whose coordinator is unknown.

    Args:
        job: The job's name.
    """
    return NoLeaseError(
        detail=f"no coordinator is known to lead {job}",
        retry_after_seconds=NO_LEASE_RETRY_SECONDS,
    )
