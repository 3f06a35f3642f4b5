"""From the end of a request to the notice that the embedding daemon is given."""

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
"""Seconds until a request without answer may be sent again. Chosen, not measured."""


def finished_notice(finished: FinishedRequest) -> Notice:
    """Tell how a command or query ended."""
    error: MerlinstandError | None = None
    if finished.timed_out:
        error = CommandUnresolvedError(
            detail="no answer in time", retry_after_seconds=UNRESOLVED_RETRY_SECONDS
        )
    if isinstance(finished.content, Query):
        if error is None and finished.answer is None:
            error = NotFoundError(detail="no such thing")
        return QueryFinished(query_id=finished.request_id, answer=finished.answer, error=error)
    return CommandFinished(
        command_id=finished.request_id,
        command=finished.content,
        outcome=finished.outcome,
        revision=finished.revision,
        error=error,
    )
