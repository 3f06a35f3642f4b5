"""Which texts of unfinished items go to the log, and what a result leaves out for it (pure rules).

Used by the leading keeper's runner at each tick and when it lists a result. Items that take long
would end last again if a new leader began them anew, so the log is given the text that they gain
while they run; most items end before their first part is due. What was weighed and measured:
docs/DECISIONS/0011-kept-texts.md and docs/DECIDING.md, rounds 3 and 6.
"""

from collections.abc import Iterable

import msgspec

from merlinstand.batch_calls.jobs import ItemResult, ResultState
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.kept_text import TextCheckpoint, TextPart
from merlinstand.batch_jobs.state_machine import ListResult

CHECKPOINT_INTERVAL_SECONDS = 0.3
"""Text of an item that is being generated is given to the log this often, in seconds. A text
crosses between zones once however often its parts are sent; the figure bounds what is made again
after a loss of the leader. 0.3 s in place of 1 s was no dearer (docs/DECIDING.md)."""
KEPT_CHARACTERS_A_TICK = 256 * 1024
"""Characters given to the log at one tick, about: the item that reaches it is the last, more waits
for the next tick. Bounds one entry of the log. Chosen, not measured."""


class DueText(msgspec.Struct, frozen=True):
    """The text that an item gained since its last part."""

    run: ItemRun
    part: TextPart


def texts_due(runs: Iterable[ItemRun], interval_seconds: float, now: float) -> list[DueText]:
    """Choose the texts for the log's next entry.

    Args:
        runs: Items without a result.
        interval_seconds: Time between two parts of one item; `KEEP_TEXT_SECONDS`.
        now: Local time.
    """
    due: list[DueText] = []
    size = 0
    for run in runs:
        if not is_text_due(run, interval_seconds, now):
            continue
        part = run.next_part()
        due.append(DueText(run, part))
        size += part.size
        if size >= KEPT_CHARACTERS_A_TICK:
            break
    return due


def is_text_due(run: ItemRun, interval_seconds: float, now: float) -> bool:
    """Whether an item is being generated and has events that the log was not given for a while."""
    has_grown = run.phase is RunPhase.GENERATING and run.text.last_event_id > run.kept_events
    return has_grown and now - run.kept_at >= interval_seconds


def listing_of(run: ItemRun, result: ItemResult, kept: TextCheckpoint | None) -> ListResult:
    """Give the command that lists a result; what the log holds of the text is not sent again.

    Only if all that was given to the log is applied here already: then nothing on its way
    can change the beginning before the command itself is applied.

    Args:
        run: The item.
        result: Its result, with the whole text.
        kept: The beginning of its text that is applied here; None if there is none.
    """
    events = run.kept_events
    is_success = result.state is ResultState.SUCCEEDED
    if not (is_success and events and kept is not None and len(kept.event_data) == events):
        return ListResult(run.job_id, result)
    beginning = "\n".join(kept.event_data)
    if not run.text.text.startswith(beginning):
        return ListResult(run.job_id, result)
    return ListResult(run.job_id, run.succeeded_after(beginning), events)
