"""Decides which texts are checkpointed, and whether a result omits them (pure functions).

The leading keeper's runner calls this module at each tick and when it proposes a result; the result
omits the checkpointed start of its text, which the log already contains. Without checkpoints, a new
leader would restart every unfinished item, and the longest items, on which a job waits, would lose
the most. Most items complete before their first checkpoint is due. See
docs/DECISIONS/0011-kept-texts.md and docs/DECIDING.md.
"""

from collections.abc import Iterable

import msgspec

from merlinstand.batch_calls.jobs import ItemResult, ResultState
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.kept_text import TextCheckpoint, TextPart
from merlinstand.batch_jobs.state_machine import ListResult

CHECKPOINT_INTERVAL_SECONDS = 0.3
"""Interval between checkpoints of an item that is being generated; bounds the text that is
generated again after the loss of the leader. Traffic between zones does not depend on the interval,
since each event is sent once."""
MAXIMUM_CHECKPOINT_CHARACTERS = 256 * 1024
"""Approximate limit of the characters checkpointed in one tick, to bound the size of a log entry.
The part that reaches it is still included; further items wait for the next tick."""


class DueCheckpoint(msgspec.Struct, frozen=True):
    """A part of an item's text that is due to be checkpointed."""

    run: ItemRun
    part: TextPart


def find_due_checkpoints(
    runs: Iterable[ItemRun], interval_seconds: float, now: float
) -> list[DueCheckpoint]:
    """Return the parts of texts for the next checkpoint entry of the log.

    Args:
        runs: Unfinished items.
        interval_seconds: Minimum time between two checkpoints of an item, normally
            `CHECKPOINT_INTERVAL_SECONDS`.
        now: Local time in seconds.
    """
    due: list[DueCheckpoint] = []
    size = 0
    for run in runs:
        if not is_checkpoint_due(run, interval_seconds, now):
            continue
        part = run.next_checkpoint_part()
        due.append(DueCheckpoint(run, part))
        size += part.size
        if size >= MAXIMUM_CHECKPOINT_CHARACTERS:
            break
    return due


def is_checkpoint_due(run: ItemRun, interval_seconds: float, now: float) -> bool:
    """Return whether an item is being generated, has new events and was not checkpointed lately."""
    has_grown = (
        run.phase is RunPhase.GENERATING and run.text.last_event_id > run.checkpointed_events
    )
    return has_grown and now - run.checkpointed_at >= interval_seconds


def make_list_command(
    run: ItemRun, result: ItemResult, checkpoint: TextCheckpoint | None
) -> ListResult:
    """Return the command that commits a result, without the text that the log already contains.

    The checkpointed prefix is omitted only if all checkpoints that were proposed are applied here;
    otherwise a checkpoint that is still in flight could change the prefix before the command is
    applied.

    Args:
        run: The item.
        result: Its result, with the complete text.
        checkpoint: The applied checkpoint of its text; None if there is none.
    """
    events = run.checkpointed_events
    is_success = result.state is ResultState.SUCCEEDED
    if not (
        is_success and events and checkpoint is not None and len(checkpoint.event_data) == events
    ):
        return ListResult(run.job_id, result)
    prefix = "\n".join(checkpoint.event_data)
    if not run.text.text.startswith(prefix):
        return ListResult(run.job_id, result)
    return ListResult(run.job_id, run.make_succeeded_result_after(prefix), events)
