"""What follows when a run or a scoring call of a batch item fails: requeue, retry or terminate.

Used by the leading keeper; `retry` has the rules for complete requests and streams. A missing
response never terminates an accepted item; only a response does that says that the item itself
cannot be processed. After any other failure the item is requeued and keeps the events received so
far, unless the weights changed and its text must come from a single version. The reasons appear in
the log events `item.run_ended` and `item.done`.
"""

from collections.abc import Sequence
from http import HTTPStatus

import msgspec

RETRY_PAUSE_SECONDS = 0.05
"""Pause before an item is scheduled again, or before its result is proposed again. Equals the
keeper's tick interval, so that an immediate failure is not repeated at each event."""
REFUSAL_PAUSE_SECONDS = 0.1
"""Pause before the next run at an engine that refused a run without executing it, so that a slot
can become free."""
SCORING_ROUND_TIMEOUT_SECONDS = 3.0
"""Timeout of one round of scoring attempts, after which the item waits for the next round."""
MINIMUM_SCORING_PAUSE_SECONDS = 0.2
"""Minimum pause between two rounds of scoring attempts; long compared with one call (45 ms; see
`scoring_queue`)."""
MAXIMUM_SCORING_PAUSE_SECONDS = 2.0
"""Maximum pause before the next round, even if a refusal has a longer Retry-After, since the cause
of the refusal may be gone by then."""
_SUCCESS_STATUSES = range(200, 300)
"""Statuses of responses from a scoring service that may carry a score."""


class Requeue(msgspec.Struct, frozen=True):
    """End the present run and queue the item for another one."""

    reason: str
    pause_seconds: float
    """Time until the next run may start."""
    is_text_discarded: bool = False
    """Whether the item's text starts again from the beginning; otherwise the next run continues
    after the last complete event."""


class Terminate(msgspec.Struct, frozen=True):
    """Record the item as terminated."""

    reason: str


class AcceptScore(msgspec.Struct, frozen=True):
    """Record the item's text as its result, with this score."""

    score: str


class RetryScoring(msgspec.Struct, frozen=True):
    """Score the item again after a pause."""

    pause_seconds: float


AFTER_MALFORMED_STREAM = Requeue("bad_stream", RETRY_PAUSE_SECONDS)
"""The stream contained something that is not an event, or events out of order."""
AFTER_NO_EVENT = Requeue("no_event", RETRY_PAUSE_SECONDS)
"""The stream contained comments or events without an id, but for long no event of the text."""
AFTER_TOO_MANY_EVENTS = Requeue("too_many_events", RETRY_PAUSE_SECONDS, is_text_discarded=True)
"""The text has more events than the item allows tokens, so its engine does not end it."""
AFTER_MOVE = Requeue("slow_engine", 0.0)
"""Another engine is expected to complete the text sooner; see `run_moves`."""
JOB_EXPIRED = Terminate("queue_time")
"""The job was accepted too long ago; see `job_lifetime`."""


def counts_as_failure(status: int) -> bool:
    """Return whether a response counts towards the failures after which an item is terminated."""
    return status == HTTPStatus.INTERNAL_SERVER_ERROR


def after_not_run(status: int) -> Requeue:
    """Return what follows after an engine refused the item without running it."""
    return Requeue(f"not_run_{status}", RETRY_PAUSE_SECONDS)


def after_refusal(status: int, failures: int, maximum_attempts: int | None) -> Requeue | Terminate:
    """Return what follows after an engine accepted the item but responded without a stream.

    Args:
        status: HTTP status of the response.
        failures: Responses that count as failures, including this one.
        maximum_attempts: Number of failures after which the item is terminated; None if the item no
            longer has a route, in which case failures do not terminate it.
    """
    if status == HTTPStatus.UNPROCESSABLE_ENTITY:
        return Terminate("unprocessable")
    is_exhausted = maximum_attempts is not None and failures >= maximum_attempts
    if counts_as_failure(status) and is_exhausted:
        return Terminate("failed")
    return Requeue(f"status_{status}", RETRY_PAUSE_SECONDS)


def after_stream_start(
    version: int, minimum_version: int, text_versions: Sequence[int], is_single_version: bool
) -> Requeue | None:
    """Return what follows after an engine began a stream; None if the run continues.

    Args:
        version: Weight version that the run uses; 0 if the engine did not report any.
        minimum_version: Oldest version that the job allows.
        text_versions: Versions that produced the text so far.
        is_single_version: Whether a text must come from one version.
    """
    if version < minimum_version:
        return Requeue("version_too_old", RETRY_PAUSE_SECONDS)
    if is_single_version and list(text_versions) not in ([], [version]):
        return Requeue("version_changed", 0.0, is_text_discarded=True)
    return None


def after_events(
    text_versions: Sequence[int],
    is_single_version: bool,
    event_count: int,
    maximum_tokens: int,
    seconds_since_event: float,
    event_timeout_seconds: float,
) -> Requeue | None:
    """Return what follows after data arrived; None if the run continues.

    Args:
        text_versions: Versions that produced the text so far, each once.
        is_single_version: Whether a text must come from one version.
        event_count: Number of events of the text; each holds one token or more.
        maximum_tokens: Maximum number of tokens; 0 if unknown.
        seconds_since_event: Time since the last event of the text, or since the run's start.
        event_timeout_seconds: A longer time ends the run.
    """
    if 0 < maximum_tokens < event_count:
        return AFTER_TOO_MANY_EVENTS
    if seconds_since_event > event_timeout_seconds:
        return AFTER_NO_EVENT
    if is_single_version and len(text_versions) > 1:
        return Requeue("version_changed", 0.0, is_text_discarded=True)
    return None


def after_stream_end(event_count: int, has_partial_event: bool) -> Requeue | None:
    """Return what follows after a stream ended; None if the text is complete.

    Args:
        event_count: Number of complete events of the text.
        has_partial_event: Whether the stream ended within an event.
    """
    if has_partial_event or not event_count:
        return Requeue("cut_short", RETRY_PAUSE_SECONDS)
    return None


def after_broken_call(phase: str, reason: str) -> Requeue:
    """Return what follows after a call ended before the end of its stream.

    Args:
        phase: Phase that the call had reached.
        reason: Why the call ended.
    """
    return Requeue(f"{phase}_{reason}", RETRY_PAUSE_SECONDS)


def after_scoring(
    status: int, score: str, failures: int, maximum_attempts: int, retry_after_seconds: float
) -> AcceptScore | Terminate | RetryScoring:
    """Return what follows after a scoring call ended.

    Args:
        status: HTTP status of the response; 0 if no complete response arrived.
        score: Signature in the response; empty if none.
        failures: Number of responses with status 500 to this item's scoring calls so far. Attempts
            without a response are not counted: they don't prove that the item itself fails.
        maximum_attempts: Number of failures after which the item is terminated.
        retry_after_seconds: Retry-After of the response if it is a refusal, otherwise 0.
    """
    if status in _SUCCESS_STATUSES and score:
        return AcceptScore(score)
    if failures >= maximum_attempts:
        return Terminate("scoring_failed")
    pause = min(retry_after_seconds, MAXIMUM_SCORING_PAUSE_SECONDS)
    return RetryScoring(max(MINIMUM_SCORING_PAUSE_SECONDS, pause))
