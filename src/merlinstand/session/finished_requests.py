"""Converts a finished request to the notice for the embedding daemon."""

from merlinstand.common.errors import MerlinstandError, NotFoundError
from merlinstand.control.queries import Query
from merlinstand.session.notices import (
    CommandFinished,
    CommandUnresolvedError,
    Notice,
    QueryFinished,
)
from merlinstand.session.request_sender import FinishedRequest

UNRESOLVED_RETRY_SECONDS = 1.0
"""Retry delay of a request that timed out."""


def finished_notice(finished: FinishedRequest) -> Notice:
    """Return the notice for a finished command or query."""
    error: MerlinstandError | None = None
    if finished.timed_out:
        error = CommandUnresolvedError(
            detail="no reply before the timeout", retry_after_seconds=UNRESOLVED_RETRY_SECONDS
        )
    if isinstance(finished.content, Query):
        if error is None and finished.answer is None:
            error = NotFoundError(detail="the queried object does not exist")
        return QueryFinished(query_id=finished.request_id, answer=finished.answer, error=error)
    return CommandFinished(
        command_id=finished.request_id,
        command=finished.content,
        outcome=finished.outcome,
        revision=finished.revision,
        error=error,
    )
