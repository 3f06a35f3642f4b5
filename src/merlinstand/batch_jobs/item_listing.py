"""Lists the results of items: proposes them to the log until they have their positions.

Part of the leading keeper's runner of items. Owns nothing beside the runs' own fields; a result
that can't be proposed now is proposed again when the runner's tick finds its pause over.
"""

from merlinstand.batch_calls.jobs import ItemResult
from merlinstand.batch_jobs.item_context import ItemContext
from merlinstand.batch_jobs.item_run import ItemRun, RunPhase
from merlinstand.batch_jobs.text_keeping import listing_of
from merlinstand.decisions.item_retry import RETRY_PAUSE_SECONDS
from merlinstand.kernel.effects import Effect, LogEvent


class ItemListing:
    """Listings of one leadership."""

    def __init__(self, context: ItemContext) -> None:
        """Begin without results.

        Args:
            context: Of the runner of items.
        """
        self._jobs = context.jobs
        self._list_result = context.propose_result

    def finish(self, run: ItemRun, result: ItemResult, reason: str, now: float) -> list[Effect]:
        """An item is done: log it and propose its result.

        Args:
            run: The item; no call of it is under way.
            result: With the whole text.
            reason: Why it was terminated; empty if it succeeded.
            now: Local time.
        """
        run.phase = RunPhase.LISTING
        run.result = result
        fields = {
            "item": run.item.item_id,
            "job": run.job_id,
            "state": result.state.value,
            "reason": reason,
            "events": run.text.last_event_id,
            "group": run.item.group,
            "backend": run.backend_id or "",
            **run.timings(now),
        }
        return [LogEvent("item.done", fields), *self.propose(run, now)]

    def propose(self, run: ItemRun, now: float) -> list[Effect]:
        """Propose the result of an item that is done, or let it wait if that can't be done now."""
        run.wait_until = 0.0
        if run.result is None:
            return []
        kept = self._jobs.jobs[run.job_id].text_checkpoints.get(run.item.item_id)
        effects = self._list_result(listing_of(run, run.result, kept), now)
        if effects is None:
            run.wait_until = now + RETRY_PAUSE_SECONDS
            return []
        return effects
