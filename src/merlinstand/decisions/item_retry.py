"""Retry or give up, for items of batch jobs: what follows when a run or a scoring call fails.

For: the leading keeper. Whole requests and streams go by `retry`, which also says how long an
engine may be silent and by which answers it has certainly not run an item.

A keeper never gives an accepted item up for want of an answer: only answers that say that the item
itself can't be done end it. Everything else starts it again, with the events that it has, unless
weights changed under a text that must come from one version.

Plain values in, a typed decision out. The leading keeper's runner of items and its scoring act on
what is returned; nothing here knows their state. The reasons are those of the log lines
`item.run_ended` and `item.done`.
"""

from collections.abc import Sequence
from http import HTTPStatus

import msgspec

RETRY_PAUSE_SECONDS = 0.05
"""Seconds until an item looks for an engine again, or until its result is proposed again: as long
as a tick of the keeper, so that what fails at once does not fail at each event. Chosen, not
measured."""
REFUSAL_PAUSE_SECONDS = 0.1
"""Seconds for which no run begins at an engine that refused one without running it: a few events'
time, in which a slot may come free. Chosen, not measured."""
SCORING_ROUND_TIMEOUT_SECONDS = 3.0
"""Longest time of one round of scoring tries, in seconds; then the item waits for the next round.
Chosen, not measured."""
MINIMUM_SCORING_PAUSE_SECONDS = 0.2
"""Shortest time in seconds between two rounds of scoring tries, long beside one call (45 ms; see
`scoring_queue`). Chosen, not measured."""
MAXIMUM_SCORING_PAUSE_SECONDS = 2.0
"""Longest pause in seconds before the next round, whatever a refusal asks for: a call that is
refused for longer is looked at again after this time, since it may be cleared by then. Chosen, not
measured."""
_SUCCESS = range(200, 300)
"""Statuses of a scoring service's answer that may carry a score."""


class Requeue(msgspec.Struct, frozen=True):
    """Give the present run up; the item waits for an engine again."""

    reason: str
    pause_seconds: float
    """Until it may start."""
    is_text_discarded: bool = False
    """Whether its text starts anew; else it goes on after its last whole event."""


class Terminate(msgspec.Struct, frozen=True):
    """List the item as terminated."""

    reason: str


class AcceptScore(msgspec.Struct, frozen=True):
    """List the item's text with this score."""

    score: str


class RetryScoring(msgspec.Struct, frozen=True):
    """Score the item again."""

    pause_seconds: float


AFTER_MALFORMED_STREAM = Requeue("bad_stream", RETRY_PAUSE_SECONDS)
"""The stream held something that is no event, or events out of order."""
AFTER_MOVE = Requeue("slow_engine", 0.0)
"""Another engine was found that will end the text sooner; see `run_moves`."""
JOB_EXPIRED = Terminate("queue_time")
"""The job was accepted too long ago; see `job_lifetime`."""


def counts_as_failure(status: int) -> bool:
    """Whether an answer counts towards the failures after which an item is terminated."""
    return status == HTTPStatus.INTERNAL_SERVER_ERROR


def after_not_run(status: int) -> Requeue:
    """An engine refused the item without running it."""
    return Requeue(f"not_run_{status}", RETRY_PAUSE_SECONDS)


def after_refusal(status: int, failures: int, maximum_attempts: int | None) -> Requeue | Terminate:
    """An engine took the item and answered with something other than a stream.

    Args:
        status: Of the answer.
        failures: Answers that count as failures, this one among them.
        maximum_attempts: After how many of them the item is terminated; None if it has no route
            any more, and then it is not.
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
    """An engine takes the item on; None if the run goes on.

    Args:
        version: Weight version that it runs under; 0 if it did not say.
        minimum_version: Oldest version that the job allows.
        text_versions: Versions that made the text so far.
        is_single_version: Whether a text must come from one version.
    """
    if version < minimum_version:
        return Requeue("version_too_old", RETRY_PAUSE_SECONDS)
    if is_single_version and list(text_versions) not in ([], [version]):
        return Requeue("version_changed", 0.0, is_text_discarded=True)
    return None


def after_events(text_versions: Sequence[int], is_single_version: bool) -> Requeue | None:
    """Events came; None if the run goes on.

    Args:
        text_versions: Versions that made the text so far, each once.
        is_single_version: Whether a text must come from one version.
    """
    if is_single_version and len(text_versions) > 1:
        return Requeue("version_changed", 0.0, is_text_discarded=True)
    return None


def after_stream_end(event_count: int, has_partial_event: bool) -> Requeue | None:
    """A stream ended; None if the text is whole.

    Args:
        event_count: Whole events of the text.
        has_partial_event: Whether bytes of an unfinished event follow them.
    """
    if has_partial_event or not event_count:
        return Requeue("cut_short", RETRY_PAUSE_SECONDS)
    return None


def after_broken_call(phase: str, reason: str) -> Requeue:
    """A call ended without the end of its stream.

    Args:
        phase: How far the call had come.
        reason: Why it ended.
    """
    return Requeue(f"{phase}_{reason}", RETRY_PAUSE_SECONDS)


def after_scoring(
    status: int, score: str, failures: int, maximum_attempts: int, retry_after_seconds: float
) -> AcceptScore | Terminate | RetryScoring:
    """A scoring call ended.

    Args:
        status: Of its answer; 0 if no whole answer came.
        score: Signature that the answer bears; empty if none.
        failures: Answers of 500 to all calls of this item so far. A try whose answer was lost
            proves no failure: the item can't be terminated for it.
        maximum_attempts: After how many failures the item is terminated.
        retry_after_seconds: What a refusal asks to wait; 0 if it was none.
    """
    if status in _SUCCESS and score:
        return AcceptScore(score)
    if failures >= maximum_attempts:
        return Terminate("scoring_failed")
    pause = min(retry_after_seconds, MAXIMUM_SCORING_PAUSE_SECONDS)
    return RetryScoring(max(MINIMUM_SCORING_PAUSE_SECONDS, pause))
